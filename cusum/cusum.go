// Package cusum tests whether an item is worse than the others of its group.
//
// A Test sums the log likelihood ratios of the observed rate of bad events,
// under the hypothesis of a bad item against the rate of the other items, and
// restarts at 0 (a CUSUM test, E. S. Page 1954). It remembers how much each
// reporter contributed, so that one reporter alone cannot decide.
//
// # Usage
//
//	var t cusum.Test[*Reporter]
//	t.Add(from, cusum.Counts{N: 12, Bad: 3}, base, group)
//	if min(t.Capped(), t.Rebased(base, group)) >= limit { ... }
package cusum

import "math"

const (
	// badRate is the failure rate of the hypothesis that a target is bad.
	badRate = 0.4
	// LeastBase is the least base rate: with a lower one, two failures in a row
	// of a healthy target would count as much as five.
	LeastBase = 0.02
	// priorEvents is the weight, in events, of the long-run base rate against
	// that of the other targets since a test began to rise.
	priorEvents = 20
	// partShare bounds one reporter's evidence to a third of the whole, which
	// is half of the rest.
	partShare = 0.5
	// aloneRest is the evidence of the other reporters below which one group of
	// them alone finds the item bad: two good events.
	aloneRest = -0.9
	// controlEvents is the number of events of the other items since the
	// restart that a decision needs. Without it the first of several items
	// that become bad together would be found bad alone.
	controlEvents = 10
	// controlPrior is the weight, in events, of the base rate against those events.
	controlPrior = 6
	// mostBase is the rate of the other items above which the group is in
	// trouble and none of its items is found bad.
	mostBase = 0.35
)

// Counts are numbers of events and of the bad ones among them.
type Counts struct{ N, Bad float64 }

// Add adds the counts o, times the factor.
func (c *Counts) Add(o Counts, factor float64) {
	c.N += factor * o.N
	c.Bad += factor * o.Bad
}

// Scale multiplies the counts.
func (c *Counts) Scale(factor float64) {
	c.N *= factor
	c.Bad *= factor
}

// Base returns the rate of the counts without those of one item, at least
// LeastBase.
func (c *Counts) Base(own Counts) float64 {
	n, bad := max(0, c.N-own.N), max(0, c.Bad-own.Bad)
	return max(LeastBase, (bad+priorEvents*LeastBase)/(n+priorEvents))
}

// part is the evidence of one reporter in a test.
type part[R comparable] struct {
	from  R
	value float64
}

// Test is a CUSUM test. Its zero value is ready for use.
type Test[R comparable] struct {
	Counts // since the restart

	score float64
	group Counts // of the whole group at the restart
	parts []part[R]
}

// Score returns the sum of the log likelihood ratios.
func (t *Test[R]) Score() float64 { return t.score }

// Reset restarts the test.
func (t *Test[R]) Reset() {
	t.score, t.Counts = 0, Counts{}
	t.parts = t.parts[:0]
}

// alternative returns the rate of the hypothesis that the item is bad.
func alternative(base float64) float64 {
	return max(badRate, min(1.6*base, (1+base)/2))
}

// ratio returns the log likelihood ratio of the counts.
func ratio(c Counts, base float64) float64 {
	p := alternative(base)
	return c.Bad*math.Log(p/base) + (c.N-c.Bad)*math.Log((1-p)/(1-base))
}

// Add takes the events that one reporter counted. The base is the rate of the
// other items; group are the counts of all items before these events.
func (t *Test[R]) Add(from R, c Counts, base float64, group Counts) {
	if t.score <= 0 && c.Bad == 0 {
		return
	}
	value := ratio(c, base)
	if t.score <= 0 {
		if value <= 0 {
			return
		}
		t.Reset()
		t.group = group
	}
	t.score += value
	t.Counts.Add(c, 1)
	if t.score <= 0 {
		t.Reset()
		return
	}
	for i := range t.parts {
		if t.parts[i].from == from {
			t.parts[i].value += value
			return
		}
	}
	t.parts = append(t.parts, part[R]{from: from, value: value})
}

// Drop removes the evidence of a reporter that is not trusted.
func (t *Test[R]) Drop(from R) {
	for i := range t.parts {
		if t.parts[i].from != from {
			continue
		}
		t.score -= t.parts[i].value
		t.parts[i] = t.parts[len(t.parts)-1]
		t.parts = t.parts[:len(t.parts)-1]
		break
	}
	if t.score <= 0 {
		t.Reset()
	}
}

// Capped returns the score with one reporter counting for at most a third.
func (t *Test[R]) Capped() float64 {
	top := 0.0
	for _, p := range t.parts {
		top = max(top, p.value)
	}
	rest := t.score - top
	if top <= rest*partShare {
		return t.score
	}
	return max(0, rest*(1+partShare))
}

// Rebased returns the score against the rate of the other items since the
// restart, if they did worse than the base, and 0 while they had few events.
// The group are the counts of all items now.
func (t *Test[R]) Rebased(base float64, group Counts) float64 {
	n, bad := group.N-t.group.N-t.N, group.Bad-t.group.Bad-t.Bad
	if n < controlEvents {
		return 0
	}
	now := (max(0, bad) + controlPrior*base) / (n + controlPrior)
	if max(now, base) > mostBase {
		return 0
	}
	if now <= base {
		return t.score
	}
	return min(t.score, ratio(t.Counts, now))
}

// Alone reports whether the reporters for which in is true find the item bad
// and the others do not.
func (t *Test[R]) Alone(in func(R) bool) bool {
	own, others := 0.0, 0.0
	for _, p := range t.parts {
		if in(p.from) {
			own += p.value
		} else {
			others += p.value
		}
	}
	return own > 0 && others <= aloneRest
}
