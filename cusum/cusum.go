// Package cusum detects an item that is worse than the other items of its group.
//
// A Test is a CUSUM test (E. S. Page, 1954). It sums the log likelihood ratios of the
// observed events, for the hypothesis that the item is bad against the hypothesis that
// it has the base rate of the other items, and restarts when the sum falls to 0. It
// stores the contribution of each reporter, so that no reporter can decide alone.
//
// # Usage
//
//	var t cusum.Test[*Reporter]
//	t.Add(reporter, cusum.Counts{N: 12, Bad: 3}, base, group)
//	if min(t.CappedScore(), t.RebasedScore(base, group)) >= limit { ... }
package cusum

import "math"

const (
	// badRate is the lowest rate of bad events under the hypothesis that an item is bad.
	badRate = 0.4
	// MinBaseRate is the minimum base rate. The lower the base rate, the more a bad event
	// counts: at a base rate of 0.0002, two bad events in a row of a healthy item would
	// count as much as five at MinBaseRate.
	MinBaseRate = 0.02
	// priorEvents is the weight of MinBaseRate, in events, in the base rate that BaseRateWithout
	// estimates from the counts of the other items.
	priorEvents = 20
	// capRatio bounds the evidence of one reporter to half of that of all others, which
	// is a third of the total.
	capRatio = 0.5
	// aloneThreshold is the maximum sum of the contributions of all other reporters with
	// which one group of reporters alone finds the item bad. It is about the log
	// likelihood ratio of one good event.
	aloneThreshold = -0.4
	// minControlEvents is the number of events of the control group, the other items,
	// since the restart that a decision needs. Without it, the first of several items
	// that become bad together would be found bad alone.
	minControlEvents = 10
	// controlPriorEvents is the weight of the base rate, in events, against the events
	// of the control group since the restart.
	controlPriorEvents = 6
	// maxBaseRate is the rate of the other items above which the whole group is
	// considered bad, so that none of its items is found bad.
	maxBaseRate = 0.35
)

// Counts holds the number of events, N, and the number of bad ones among them. Both are
// fractional because they may decay.
type Counts struct{ N, Bad float64 }

// Add adds the counts o, multiplied by the factor.
func (c *Counts) Add(o Counts, factor float64) {
	c.N += factor * o.N
	c.Bad += factor * o.Bad
}

// Scale multiplies the counts by the factor.
func (c *Counts) Scale(factor float64) {
	c.N *= factor
	c.Bad *= factor
}

// Pair holds the counts for two tests of the same items. In package judge, the first
// test finds failing targets and the second one slow targets.
type Pair [2]Counts

// Add adds the counts o, multiplied by the factor.
func (p *Pair) Add(o *Pair, factor float64) {
	for k := range p {
		p[k].Add(o[k], factor)
	}
}

// Scale multiplies the counts by the factor.
func (p *Pair) Scale(factor float64) {
	for k := range p {
		p[k].Scale(factor)
	}
}

// BaseRateWithout returns the rate of bad events in the counts of a group, without the
// counts own of one of its items. It is at least MinBaseRate.
func (c *Counts) BaseRateWithout(own Counts) float64 {
	n, bad := max(0, c.N-own.N), max(0, c.Bad-own.Bad)
	return max(MinBaseRate, (bad+priorEvents*MinBaseRate)/(n+priorEvents))
}

// contribution is the evidence of one reporter in a test.
type contribution[R comparable] struct {
	reporter R
	llr      float64
}

// Test is a CUSUM test. Its zero value is ready for use.
type Test[R comparable] struct {
	Counts // events since the restart

	score          float64 // sum of the log likelihood ratios since the restart
	groupAtRestart Counts  // counts of all items at the restart
	contributions  []contribution[R]
}

// Score returns the sum of the log likelihood ratios.
func (t *Test[R]) Score() float64 { return t.score }

// Reset restarts the test.
func (t *Test[R]) Reset() {
	t.score, t.Counts = 0, Counts{}
	t.contributions = t.contributions[:0]
}

// alternative returns the rate of bad events under the hypothesis that the item is bad.
// It is higher than the base rate and lower than 1: badRate for base rates up to 0.25,
// then 1.6 times the base rate, but at most halfway between the base rate and 1.
func alternative(base float64) float64 {
	return max(badRate, min(1.6*base, (1+base)/2))
}

// logLikelihoodRatio returns the log likelihood ratio of the counts: positive values
// favour the hypothesis that the item is bad over the base rate.
func logLikelihoodRatio(c Counts, base float64) float64 {
	p := alternative(base)
	return c.Bad*math.Log(p/base) + (c.N-c.Bad)*math.Log((1-p)/(1-base))
}

// Add adds events that one reporter counted. Base is the rate of bad events of the other
// items, and group holds the cumulative counts of all items, without decay, before these
// events. RebasedScore subtracts the group of the restart from a later one.
func (t *Test[R]) Add(reporter R, c Counts, base float64, group Counts) {
	if t.score <= 0 && c.Bad == 0 {
		return
	}
	llr := logLikelihoodRatio(c, base)
	if t.score <= 0 {
		if llr <= 0 {
			return
		}
		t.Reset()
		t.groupAtRestart = group
	}
	t.score += llr
	t.Counts.Add(c, 1)
	if t.score <= 0 {
		t.Reset()
		return
	}
	for i := range t.contributions {
		if t.contributions[i].reporter == reporter {
			t.contributions[i].llr += llr
			return
		}
	}
	t.contributions = append(t.contributions, contribution[R]{reporter: reporter, llr: llr})
}

// Drop removes the evidence of a reporter from the score, for example of one that is not
// trusted. The counts keep its events.
func (t *Test[R]) Drop(reporter R) {
	for i := range t.contributions {
		if t.contributions[i].reporter != reporter {
			continue
		}
		t.score -= t.contributions[i].llr
		t.contributions[i] = t.contributions[len(t.contributions)-1]
		t.contributions = t.contributions[:len(t.contributions)-1]
		break
	}
	if t.score <= 0 {
		t.Reset()
	}
}

// CappedScore returns the score with the largest contribution of a reporter limited to a
// third of it. With a single reporter it is 0.
func (t *Test[R]) CappedScore() float64 {
	top := 0.0
	for _, c := range t.contributions {
		top = max(top, c.llr)
	}
	others := t.score - top
	if top <= others*capRatio {
		return t.score
	}
	return max(0, others*(1+capRatio))
}

// RebasedScore returns the score, recomputed against the rate of the other items since the
// restart if that is higher than the base. It returns 0 if they had too few events or
// are bad themselves. Group holds the present cumulative counts of all items, without
// decay: the counts since the restart are the difference from the group passed to Add.
func (t *Test[R]) RebasedScore(base float64, group Counts) float64 {
	n, bad := group.N-t.groupAtRestart.N-t.N, group.Bad-t.groupAtRestart.Bad-t.Bad
	if n < minControlEvents {
		return 0
	}
	rate := (max(0, bad) + controlPriorEvents*base) / (n + controlPriorEvents)
	if max(rate, base) > maxBaseRate {
		return 0
	}
	if rate <= base {
		return t.score
	}
	return min(t.score, logLikelihoodRatio(t.Counts, rate))
}

// OnlyReporters reports whether only the reporters for which match returns true find the
// item bad, while the others have evidence that it is good.
func (t *Test[R]) OnlyReporters(match func(R) bool) bool {
	own, others := 0.0, 0.0
	for _, c := range t.contributions {
		if match(c.reporter) {
			own += c.llr
		} else {
			others += c.llr
		}
	}
	return own > 0 && others <= aloneThreshold
}
