package judge

import (
	"time"

	"rhubarbdrift.example/model"
)

// decide compares the tests of a target with their limits and reports whether
// a verdict changed.
func (d *docket) decide(s *subject, domain int, now time.Time) bool {
	changed := false
	for _, c := range [2]int{0, 1 + domain} {
		// The cell of a single failure domain equals that of the pool.
		if s.out(c) || c > 0 && len(d.domains) < 2 {
			continue
		}
		for k := range s.cells[c].tests {
			limit := d.limit(s, c, k, now)
			score, base := d.score(s, c, k)
			if score < limit || d.excuse(s, k, now) {
				continue
			}
			d.eject(s, c, k, score, base, now)
			changed = true
			break
		}
	}
	failed := s.cells[0].tests[failing].Score()
	slowed, _ := d.score(s, 0, slow)
	// One reporter's failures are bounded to nothing until another reports as
	// well, so suspicion uses the score before its bounds.
	doubt := d.judge.limits.Suspect
	if s.suspect {
		doubt /= calmShare
	}
	suspect := !s.out(0) && (max(failed, slowed) >= doubt || s.partly(now))
	changed = changed || suspect != s.suspect
	s.suspect = suspect
	return changed
}

// excuse reports whether the failures are those of a customer that fails on many
// targets, and leaves them out from then on.
func (d *docket) excuse(s *subject, k int, now time.Time) bool {
	if k != failing {
		return false
	}
	guilty := d.customers.culprit(s, d.totals[0].recent[failing].N, now)
	if guilty == nil {
		return false
	}
	guilty.sick = now.Add(customerPause)
	// Its past failures are in the tests of all targets, which start again.
	for _, s := range d.subjects {
		for i := range s.cells {
			s.cells[i].tests[failing].Reset()
		}
	}
	return true
}

// sick counts the reporters that find most of their targets bad.
func (d *docket) sick() (n float64) {
	for _, r := range d.reporters {
		if r.sick {
			n++
		}
	}
	return n
}

func (d *docket) limit(s *subject, c, k int, now time.Time) float64 {
	limit := d.judge.limits.Failing
	if k == slow {
		limit = d.judge.limits.Slow
	}
	for i := range s.cells {
		// Less evidence suffices where another failure domain found the target
		// bad already, and after a return.
		b := &s.cells[i].ban
		if b.out {
			return limit / 3
		}
		if i == c && b.times > 0 && now.Sub(b.ended) < relapse {
			return limit / 2
		}
	}
	return limit
}

// score returns the score of a test after its bounds, and the base rate.
func (d *docket) score(s *subject, c, k int) (score, base float64) {
	t := &s.cells[c].tests[k]
	if t.Score() <= 0 {
		return 0, 0
	}
	base = d.base(s, c, k)
	score = t.Score()
	if d.totals[c].active >= leastReporters {
		score = t.Capped()
	}
	return min(score, t.Rebased(base, d.totals[c].total[k])), base
}

// eject gives a verdict for all daemons, or for one failure domain if only its
// daemons find the target bad.
func (d *docket) eject(s *subject, c, k int, score, base float64, now time.Time) {
	t := &s.cells[c].tests[k]
	if c == 0 && len(d.domains) > 1 {
		for at := range d.domains {
			if t.Alone(func(r *reporter) bool { return r.domain == at }) {
				c = 1 + at
				break
			}
		}
	}
	v := model.Verdict{
		Target: s.id, Finding: model.FindFailing, Severity: float32(min(1, t.Bad/max(1, t.N))),
		Answers: int(t.N), Bad: int(t.Bad), Base: float32(base), Score: float32(score),
	}
	if c > 0 {
		v.Domain = d.domains[c-1]
	}
	if k == slow {
		// A late answer is better than a failed one.
		v.Finding, v.Severity = model.FindSlow, v.Severity/2
	}
	s.eject(c, &v, d.judge.random, now)
	for i := range s.cells {
		d.totals[i].recent.Add(&s.cells[i].recent, -1)
		s.cells[i].recent = sums{}
	}
}
