package pick

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// verdictLife is the time after which verdicts end when no set follows.
	verdictLife = 10 * time.Second
	// judgeSilence is the time after which another judge may take over: three
	// of its periods of one second.
	judgeSilence = 3 * time.Second
)

// verdictState holds the verdict set that a pool uses: always that of one
// judge, never the union of two, which together could name more targets than
// either of them has evidence for.
type verdictState struct {
	judge    model.HostID
	run      model.Incarnation
	seq      uint64
	heard    time.Time
	verdicts map[model.TargetID]model.Verdict
	suspects map[model.TargetID]bool
	grade    []graded // reused by honour
}

// graded is a target with a verdict.
type graded struct {
	target   *target
	severity float32
}

// apply takes over a verdict set and reports whether it did.
func (q *pool) apply(set *model.VerdictSet, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.accepts(set, now) {
		return false
	}
	q.judge, q.run, q.seq, q.heard = set.Judge, set.Run, set.Seq, now
	q.verdicts = make(map[model.TargetID]model.Verdict, len(set.List))
	q.suspects = make(map[model.TargetID]bool)
	for _, v := range set.List {
		if v.Finding == model.FindSuspect {
			q.suspects[v.Target] = true
			continue
		}
		if v.Domain != "" && v.Domain != q.self.Domain {
			continue
		}
		if old, ok := q.verdicts[v.Target]; ok && worse(&old, &v) {
			continue
		}
		q.verdicts[v.Target] = v
	}
	q.rebuild(now)
	return true
}

func worse(a, b *model.Verdict) bool {
	if a.Finding == model.FindDraining || b.Finding == model.FindDraining {
		return a.Finding == model.FindDraining
	}
	return a.Severity > b.Severity
}

// accepts prefers the live judge with the lowest rank.
func (q *pool) accepts(set *model.VerdictSet, now time.Time) bool {
	switch {
	case q.judge == "" || now.Sub(q.heard) >= judgeSilence:
		return true
	case set.Judge == q.judge:
		return set.Run != q.run || set.Seq > q.seq
	default:
		return model.Rank(set.Judge, string(q.id)) < model.Rank(q.judge, string(q.id))
	}
}

// expire ends the verdicts of a judge that was lost.
func (q *pool) expire(now time.Time) {
	if end := q.heard.Add(verdictLife); !now.Before(end) {
		clear(q.verdicts)
		clear(q.suspects)
	} else if len(q.verdicts)+len(q.suspects) > 0 {
		q.wake(end)
	}
}

// honour decides which verdicts keep new work away from their targets. The
// targets of the own region and those of the others are separate sets, because
// the latter cannot replace the former.
func (q *pool) honour(now time.Time) {
	for _, near := range []bool{true, false} {
		q.honourSet(now, near)
	}
}

// honourSet takes the verdicts worst first, while the targets that remain keep
// the floor's share of the slots. Leaving and draining targets count as lost.
func (q *pool) honourSet(now time.Time, near bool) {
	total, rest := model.Slots(0), model.Slots(0)
	q.grade = q.grade[:0]
	for _, t := range q.targets {
		if !t.member || near != (t.conf.Region == q.self.Region) {
			continue
		}
		total += t.conf.Slots
		v, bad := q.verdicts[t.conf.ID]
		if bad && v.Finding == model.FindDraining {
			t.drainUntil(q.heard.Add(verdictLife))
		}
		if !t.closed(now) {
			rest += t.conf.Slots
		}
		if bad && v.Finding != model.FindDraining {
			q.grade = append(q.grade, graded{target: t, severity: v.Severity})
			continue
		}
		if t.out {
			t.out, t.ramp, t.since = false, returning, now
		}
	}
	slices.SortFunc(q.grade, func(a, b graded) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.target.conf.ID, b.target.conf.ID))
	})
	keep := model.Slots(float64(q.floor)*float64(total) + 0.999999)
	open := true
	for _, g := range q.grade {
		t := g.target
		if t.closed(now) {
			t.out = false
			continue
		}
		open = open && rest-t.conf.Slots >= keep
		t.out = open
		if open {
			rest -= t.conf.Slots
		} else {
			t.ramp = warm // the floor needs its full capacity
		}
	}
}
