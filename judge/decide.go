package judge

import (
	"time"

	"rhubarbdrift.example/model"
)

// decide compares the scores of a target with their limits, for all reporters and for
// those of one failure domain. It reports whether a verdict changed.
func (p *poolState) decide(s *targetState, domain int, now time.Time) bool {
	changed := false
	for _, c := range [2]int{0, 1 + domain} {
		// With a single failure domain, its scope equals that of all reporters.
		if s.ejected(c) || c > 0 && len(p.domains) < 2 {
			continue
		}
		for k := range s.scopes[c].tests {
			limit := p.limit(s, c, k, now)
			score, base := p.score(s, c, k)
			if score < limit || p.blameCustomer(s, k, now) {
				continue
			}
			p.eject(s, c, k, score, base, now)
			changed = true
			break
		}
	}
	// The bounds of p.score reduce the score of a single reporter's failures to 0 until
	// another reporter sees failures too, so suspicion uses the unbounded score.
	failingScore := s.scopes[0].tests[failing].Score()
	slowScore, _ := p.score(s, 0, slow)
	suspectLimit := p.judge.thresholds.Suspect
	if s.suspect {
		suspectLimit /= suspectHysteresis
	}
	suspect := !s.ejected(0) && (max(failingScore, slowScore) >= suspectLimit || s.suspectElsewhere(now))
	changed = changed || suspect != s.suspect
	s.suspect = suspect
	return changed
}

// blameCustomer attributes the failures of a target to a customer whose requests fail on
// many targets, and reports whether there is one. It then ignores the failures of that
// customer for customerIgnoreTime and restarts the failing tests of all targets. For
// the slow test it does nothing.
func (p *poolState) blameCustomer(s *targetState, k int, now time.Time) bool {
	if k != failing {
		return false
	}
	blamed := p.customers.culprit(s, p.totals[0].recent[failing].N, now)
	if blamed == nil {
		return false
	}
	blamed.ignoredUntil = now.Add(customerIgnoreTime)
	// The tests of all targets contain past failures of the customer.
	for _, s := range p.targets {
		for i := range s.scopes {
			s.scopes[i].tests[failing].Reset()
		}
	}
	return true
}

// distrusted returns the number of reporters that find most of their targets bad.
func (p *poolState) distrusted() (n float64) {
	for _, r := range p.reporters {
		if r.distrusted {
			n++
		}
	}
	return n
}

// limit returns the score from which the target is ejected for a scope.
func (p *poolState) limit(s *targetState, c, k int, now time.Time) float64 {
	limit := p.judge.thresholds.Failing
	if k == slow {
		limit = p.judge.thresholds.Slow
	}
	for i := range s.scopes {
		// Less evidence suffices if the target is already ejected for another
		// failure domain, or has just returned.
		e := &s.scopes[i].ejection
		if e.ejected {
			return limit / 3
		}
		if i == c && e.times > 0 && now.Sub(e.ended) < relapseTime {
			return limit / 2
		}
	}
	return limit
}

// score returns the score of a test, bounded by CappedScore and RebasedScore, and the
// base rate: the rate of bad events of the other targets.
func (p *poolState) score(s *targetState, c, k int) (score, baseRate float64) {
	test := &s.scopes[c].tests[k]
	if test.Score() <= 0 {
		return 0, 0
	}
	baseRate = p.baseRate(s, c, k)
	score = test.Score()
	if p.totals[c].liveReporters >= minReporters {
		score = test.CappedScore()
	}
	return min(score, test.RebasedScore(baseRate, p.totals[c].cumulative[k])), baseRate
}

// eject ejects the target for scope c because of test k. Instead of all daemons (scope
// 0), it chooses one failure domain if only the reporters of that domain find the target
// bad.
func (p *poolState) eject(s *targetState, c, k int, score, base float64, now time.Time) {
	test := &s.scopes[c].tests[k]
	if c == 0 && len(p.domains) > 1 {
		for index := range p.domains {
			if test.OnlyReporters(func(r *reporter) bool { return r.domain == index }) {
				c = 1 + index
				break
			}
		}
	}
	v := model.Verdict{
		Target: s.id, Finding: model.FindingFailing, Severity: float32(min(1, test.Bad/max(1, test.N))),
		Answers: int(test.N), Bad: int(test.Bad), BaselineShare: float32(base), Score: float32(score),
	}
	if c > 0 {
		v.Domain = p.domains[c-1]
	}
	if k == slow {
		// A slow answer is less severe than a failed one.
		v.Finding, v.Severity = model.FindingSlow, v.Severity/2
	}
	s.eject(c, &v, p.judge.random, now)
	for i := range s.scopes {
		p.totals[i].recent.Add(&s.scopes[i].recent, -1)
		s.scopes[i].recent = testCounts{}
	}
}
