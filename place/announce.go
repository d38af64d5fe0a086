package place

import (
	"math"
	"time"

	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// Announcement is what a target says about itself in one response.
type Announcement struct {
	Leaving    bool          // it leaves and wants no new requests
	Limited    bool          // it names a limit
	Limit      model.Rate    // the limit for all daemons together, if Limited
	RetryAfter time.Duration // time for which it wants no requests from this daemon; 0: none
	SentAt     time.Time     // when the request was sent
}

// announced is what a target has said about itself so far.
type announced struct {
	leavingSince time.Time    // when it first said that it leaves; zero: it has not
	pausedUntil  time.Time    // until when it wants no requests from this daemon
	pacer        *limit.Pacer // of the limit that it named; nil: none
	limit        model.Rate
	limitSince   time.Time // when this daemon learned of the limit
}

// announcedMemory is the time for which it is remembered what a target announced after
// it was last listed: longer than a target that leaves still serves.
const announcedMemory = 10 * time.Minute

// formerTarget is what a target announced that may not be listed any more.
type formerTarget struct {
	startedAt  int64 // start time of the incarnation, as in model.Instance
	announced  announced
	lastListed time.Time // or the time of the announcement, if it came later
}

// isLeaving reports whether the target must get no new requests, since it is listed as
// leaving or said so itself. The caller holds the balancer's lock.
func (t *Target) isLeaving() bool { return t.Leaving || !t.announced.leavingSince.IsZero() }

// acceptsRequests reports whether the target neither leaves nor wants a pause. The
// caller holds the balancer's lock.
func (t *Target) acceptsRequests(now time.Time) bool {
	return !t.isLeaving() && !now.Before(t.announced.pausedUntil)
}

// PauseLeft returns the time until one of the targets that may get the request takes
// requests again, if all that don't leave want a pause, or else 0.
func (b *Balancer) PauseLeft(now time.Time, r *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[r.Pool]
	if p == nil {
		return 0
	}
	left := time.Duration(0)
	for _, t := range p.targets {
		if t.isLeaving() || !r.allows(t) || b.evacuation.domains[t.Domain] {
			continue
		}
		pause := max(t.announced.pausedUntil.Sub(now), 0)
		if pause == 0 {
			return 0
		}
		if left == 0 || pause < left {
			left = pause
		}
	}
	return left
}

// recordAnnounced remembers what the listed targets announced, and forgets that of targets
// that were last listed long ago. The caller holds b.mu.
func (b *Balancer) recordAnnounced(now time.Time) {
	for _, t := range b.targets {
		b.remember(now, t)
	}
	for id, f := range b.former {
		if now.Sub(f.lastListed) > announcedMemory {
			delete(b.former, id)
		}
	}
}

// remember remembers what a target announced, unless that of a later incarnation is known.
// The caller holds b.mu.
func (b *Balancer) remember(now time.Time, t *Target) {
	if t.announced != (announced{}) && t.StartedAt >= b.former[t.ID].startedAt {
		b.former[t.ID] = formerTarget{startedAt: t.StartedAt, announced: t.announced, lastListed: now}
	}
}

// restoreAnnounced restores what a target announced that is listed again. The caller
// holds the balancer's lock.
func (t *Target) restoreAnnounced() {
	if f, ok := t.balancer.former[t.ID]; ok && f.startedAt == t.StartedAt {
		t.announced = f.announced
	}
}

// AddRemoteLeaving records that the incarnation of a target that started at startedAt
// said to another daemon that it leaves.
func (b *Balancer) AddRemoteLeaving(now time.Time, id model.TargetID, startedAt int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil && t.StartedAt == startedAt {
		if t.announced.leavingSince.IsZero() {
			t.announced.leavingSince = now
		}
		return
	}
	f := b.former[id]
	if startedAt < f.startedAt {
		return
	}
	if startedAt > f.startedAt {
		f = formerTarget{startedAt: startedAt}
	}
	if f.announced.leavingSince.IsZero() {
		f.announced.leavingSince = now
	}
	f.lastListed = now
	b.former[id] = f
}

// current returns the state of the same incarnation that is listed now. If the entry has
// lapsed since a request was sent, it is t itself. The caller holds the balancer's lock.
func (t *Target) current() *Target {
	if listed := t.balancer.targets[t.ID]; listed != nil && listed.StartedAt == t.StartedAt {
		return listed
	}
	return t
}

// News tells which parts of an announcement are new.
type News struct {
	Leaving   bool
	Listed    bool  // the list says that the target leaves
	StartedAt int64 // of the incarnation, as in model.Instance
	Limit     bool  // a limit, another one, or none any more
}

// Announce records an announcement of the target to this daemon.
func (t *Target) Announce(now time.Time, a Announcement) News {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	t = t.current()
	news := t.applyAnnouncement(now, a)
	if b.targets[t.ID] == nil {
		b.remember(now, t)
	}
	return news
}

// applyAnnouncement changes the state of the target. The caller holds the balancer's lock.
func (t *Target) applyAnnouncement(now time.Time, a Announcement) News {
	news := News{Listed: t.Leaving, StartedAt: t.StartedAt}
	if a.Leaving && t.announced.leavingSince.IsZero() {
		t.announced.leavingSince, news.Leaving = now, true
	}
	if until := now.Add(a.RetryAfter); until.After(t.announced.pausedUntil) {
		t.announced.pausedUntil = until
	}
	switch {
	case a.Limited:
		news.Limit = t.setLimit(now, a.Limit)
	case t.announced.pacer != nil && a.SentAt.After(t.announced.limitSince):
		// An answer to an earlier request may be older than the limit.
		news.Limit = true
		t.announced.pacer = nil
	}
	return news
}

// limitPrecision is the difference, in requests per second, up to which two limits are
// the same: reports hold thousandths.
const limitPrecision = 0.001

// setLimit sets the limit that the target named, and reports whether it is another one
// than before. The caller holds the balancer's lock.
func (t *Target) setLimit(now time.Time, rate model.Rate) (changed bool) {
	known := &t.announced
	switch {
	case known.pacer == nil:
		known.pacer = limit.NewPacer(now, float64(rate), t.balancer.fleetShare)
		known.limitSince = now
	case math.Abs(float64(known.limit-rate)) > limitPrecision:
		known.pacer.SetRate(now, float64(rate))
	default:
		return false
	}
	known.limit = rate
	return true
}

// SetRemoteLimit sets the limit that a target named to another daemon; limited is false
// if it names none any more.
func (b *Balancer) SetRemoteLimit(now time.Time, id model.TargetID, limited bool, rate model.Rate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil {
		return
	}
	if !limited {
		t.announced.pacer = nil
		return
	}
	t.setLimit(now, rate)
}

// AddRemoteDemand counts requests of other daemons that would have used a target with a
// limit, or came to its pool while targets were cold.
func (b *Balancer) AddRemoteDemand(now time.Time, id model.TargetID, wanted limit.Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil {
		return
	}
	if t.announced.pacer != nil {
		t.announced.pacer.AddRemote(now, 0, wanted)
	}
	if b.coldRule(t.Pool) != nil {
		b.pools[t.Pool].coldDemand.classes(now, wanted)
	}
}

// SetFleetShare sets the share of the fleet that is reachable from this daemon, from 0
// to 1. It uses that share of the targets' limits.
func (b *Balancer) SetFleetShare(now time.Time, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share == b.fleetShare {
		return
	}
	if b.fleetShare > 0 {
		// The demand of the hosts that are no longer heard is not that of this part of the
		// fleet, and those that are heard again have one before they report it.
		for _, p := range b.pools {
			p.coldDemand.scale(share / b.fleetShare)
		}
	}
	b.fleetShare = share
	for _, t := range b.targets {
		for _, p := range []*limit.Pacer{t.announced.pacer, t.cold.pacer} {
			if p != nil {
				p.SetFleetShare(now, share)
			}
		}
	}
}

// LeavingFor returns the time since the target first said that it leaves, and false if
// it has not.
func (t *Target) LeavingFor(now time.Time) (time.Duration, bool) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t = t.current()
	if t.announced.leavingSince.IsZero() {
		return 0, false
	}
	return now.Sub(t.announced.leavingSince), true
}
