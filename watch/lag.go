package watch

import "time"

// MaxLag is the time from which a list that cannot be read counts as outdated.
const MaxLag = 4 * time.Second

// lag measures for how long the calls for a list have failed while another list is read. The age
// of that other list proves nothing about this one then. A list whose watch merely waits is not
// behind, although the version of the store rises: nothing of it has changed. A lag is not safe for
// concurrent use.
type lag struct {
	since  time.Duration // boot time of the last call of note without a failure
	behind time.Duration
}

// note records whether the calls for this list fail, when another list was read. Without further
// calls the lag does not grow: when the store answers nobody, no list is behind another.
func (l *lag) note(failing bool, now time.Duration) time.Duration {
	if !failing || l.since == 0 {
		l.since = now
	}
	l.behind = now - l.since
	return l.behind
}

// noteLag logs when the lag of this list exceeds MaxLag, and when it does not any more.
func (f *follower) noteLag(behind time.Duration) {
	late := behind > MaxLag
	if f.late.Swap(late) == late {
		return
	}
	gauge := 0.0
	if late {
		gauge = 1
	}
	f.outdatedLists.Tagged(map[string]string{"kind": string(f.kind)}).Gauge("outdated").Update(gauge)
	f.log.Warn().Str("kind", string(f.kind)).Bool("outdated", late).Dur("behind", behind).Msg("list compared with the store")
}
