package pick

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// verdictTTL is the time after which verdicts expire unless a new set arrives.
	verdictTTL = 10 * time.Second
	// judgeTimeout is the time without a verdict set after which sets of any other
	// judge are accepted: three of the periods of one second in which a judge
	// evaluates its verdicts. Package eject sends unchanged sets only every 3 s.
	judgeTimeout = 3 * time.Second
)

// verdictState holds the verdict set that a pool uses. The set always comes from
// one judge: the union of two sets could eject more targets than either judge
// has evidence for.
type verdictState struct {
	judge       model.HostID
	incarnation model.Incarnation
	seq         uint64
	receivedAt  time.Time
	verdicts    map[model.TargetID]model.Verdict
	suspects    map[model.TargetID]bool
	ranked      []rankedTarget // reused by updateEjectionsIn
}

// rankedTarget is a target with the severity of its verdict.
type rankedTarget struct {
	target   *target
	severity float32
}

// apply replaces the verdict set and reports whether it was accepted.
func (q *pool) apply(set *model.VerdictSet, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.accepts(set, now) {
		return false
	}
	q.judge, q.incarnation, q.seq, q.receivedAt = set.Judge, set.Run, set.Seq, now
	q.verdicts = make(map[model.TargetID]model.Verdict, len(set.Verdicts))
	q.suspects = make(map[model.TargetID]bool)
	for _, v := range set.Verdicts {
		if v.Finding == model.FindingSuspect {
			q.suspects[v.Target] = true
			continue
		}
		if v.Domain != "" && v.Domain != q.self.Domain {
			continue
		}
		if old, ok := q.verdicts[v.Target]; ok && moreSevere(&old, &v) {
			continue
		}
		q.verdicts[v.Target] = v
	}
	q.rebuild(now)
	return true
}

// moreSevere reports whether a takes precedence over b, a verdict on the same target.
// Draining takes precedence over all others; the floor does not apply to it.
func moreSevere(a, b *model.Verdict) bool {
	if a.Finding == model.FindingDraining || b.Finding == model.FindingDraining {
		return a.Finding == model.FindingDraining
	}
	return a.Severity > b.Severity
}

// accepts reports whether the set replaces the current one. Of several live
// judges, the one with the lowest rank is preferred.
func (q *pool) accepts(set *model.VerdictSet, now time.Time) bool {
	switch {
	case q.judge == "" || now.Sub(q.receivedAt) >= judgeTimeout:
		return true
	case set.Judge == q.judge:
		return set.Run != q.incarnation || set.Seq > q.seq
	default:
		return model.RendezvousHash(set.Judge, string(q.id)) < model.RendezvousHash(q.judge, string(q.id))
	}
}

// expire removes the verdicts of a judge that stopped sending sets.
func (q *pool) expire(now time.Time) {
	if expiry := q.receivedAt.Add(verdictTTL); !now.Before(expiry) {
		clear(q.verdicts)
		clear(q.suspects)
	} else if len(q.verdicts)+len(q.suspects) > 0 {
		q.scheduleRebuild(expiry)
	}
}

// updateEjections decides which verdicts eject their targets. Targets in the own
// region and in other regions are handled separately, because remote targets
// cannot replace local ones.
func (q *pool) updateEjections(now time.Time) {
	for _, ownRegion := range []bool{true, false} {
		q.updateEjectionsIn(now, ownRegion)
	}
}

// updateEjectionsIn ejects targets in order of severity, while the remaining ones
// keep the floor's share of the slots. Leaving and draining targets do not count
// as remaining.
func (q *pool) updateEjectionsIn(now time.Time, ownRegion bool) {
	total, remaining := model.Slots(0), model.Slots(0)
	q.ranked = q.ranked[:0]
	for _, t := range q.targets {
		if !t.inSubset || ownRegion != (t.config.Region == q.self.Region) {
			continue
		}
		total += t.config.Slots
		v, hasVerdict := q.verdicts[t.config.ID]
		if hasVerdict && v.Finding == model.FindingDraining {
			t.extendDrain(q.receivedAt.Add(verdictTTL))
		}
		if !t.unavailable(now) {
			remaining += t.config.Slots
		}
		if hasVerdict && v.Finding != model.FindingDraining {
			q.ranked = append(q.ranked, rankedTarget{target: t, severity: v.Severity})
			continue
		}
		if t.ejected {
			t.ejected, t.ramp, t.rampStart = false, returning, now
		}
	}
	slices.SortFunc(q.ranked, func(a, b rankedTarget) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.target.config.ID, b.target.config.ID))
	})
	minSlots := model.Slots(float64(q.floor)*float64(total) + 0.999999) // rounded up
	canEject := true
	for _, r := range q.ranked {
		t := r.target
		if t.unavailable(now) {
			t.ejected = false
			continue
		}
		canEject = canEject && remaining-t.config.Slots >= minSlots
		t.ejected = canEject
		if canEject {
			remaining -= t.config.Slots
		} else {
			t.ramp = warm // the floor needs its full capacity
		}
	}
}
