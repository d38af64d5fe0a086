package watch

import (
	"time"

	"rhubarbdrift.example/store"
)

// lag measures for how long a list has not reached a version of the store that another list has
// seen. The age of that other list proves nothing about this one. It is not safe for concurrent use.
type lag struct {
	missed store.Version // 0: none
	since  time.Duration // boot time at which it was seen
	behind time.Duration
}

// MaxLag is the lag above which a list counts as outdated. A list that stays behind is asked for
// again within two seconds.
const MaxLag = 4 * time.Second

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
	f.log.Warn().Str("kind", string(f.kind)).Bool("outdated", late).Dur("behind", behind).Msg("list compared with the store's version")
}

// note records that another list has seen a version while this one is complete up to known, and
// returns for how long it has been behind. Without further calls the lag does not grow: when the
// store answers nobody, no list is behind another.
func (l *lag) note(known, seen store.Version, now time.Duration) time.Duration {
	if l.missed <= known {
		l.missed, l.since = 0, now
		if seen > known {
			l.missed = seen
		}
	}
	l.behind = now - l.since
	return l.behind
}
