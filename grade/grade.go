// Package grade estimates how likely a target is sick right now, from what
// exchanges with it showed.
//
// A target is either sound or sick and changes between the two at random, as
// gray failures do: they begin without notice and end by themselves after some
// seconds. Each observation moves the probability by the ratio of how often a
// sick and a sound target show it (a hidden Markov model with two states).
// Without observations the probability drifts to its long-run share, so a
// target that nobody uses is tried again.
//
// What a sound target shows is taken from the whole pool: when most of a pool
// fails, failures say little about one target.
//
// # Usage
//
//	var g grade.Grade
//	g.Add(now, grade.Bad, base) // base: of the pool
//	risk := g.Risk(now)         // probability that the next request fails
package grade

import (
	"math"
	"time"
)

const (
	// onset is how often a sound target turns sick, per second: about once in
	// 30 s for a target of the users' deployments.
	onset = 1.0 / 30
	// recovery is how often a sick target turns sound, per second: gray failures
	// of the users' targets last about 5 s.
	recovery = 1.0 / 5
	// LongRun is the share of time in which a target is sick, and the estimate
	// for a target of which nothing is known.
	LongRun = onset / (onset + recovery)
	// failing is the share of its requests that a sick target fails.
	failing = 0.75
	// certain bounds the probability away from 0 and 1, so that one observation
	// can always move it.
	certain = 0.998
)

// Sight is what one exchange showed.
type Sight uint8

// The sights, from the best to the worst.
const (
	// Good is a whole answer in time.
	Good Sight = iota
	// Slow is a request without an answer for longer than most need.
	Slow
	// Lost is a target that could not be reached or stayed silent. It may be
	// the path, not the target.
	Lost
	// Bad is a failure that the target answered or caused.
	Bad
	sights
)

var sightNames = [sights]string{"good", "slow", "lost", "bad"}

// String returns the name that logs use.
func (s Sight) String() string {
	if s < sights {
		return sightNames[s]
	}
	return "invalid"
}

// sick holds how often a sick target shows each sight.
var sick = [sights]float64{Good: 1 - failing, Slow: 0.6, Lost: 0.3, Bad: failing}

// floor holds how often a sound target shows each sight at least: the users'
// targets fail 1.2% of their requests, and 4% take three times the mean.
var floor = [sights]float64{Slow: 0.05, Lost: 0.04, Bad: 0.015}

// Base counts how often the targets of one pool show each sight, with a
// half-life of some seconds.
type Base struct {
	counts [sights]float64
	at     time.Time
}

// baseLife is the time in which old observations lose most of their weight:
// long enough for some hundred exchanges of a small pool.
const baseLife = 10 * time.Second

// minBase is the number of observations below which the pool says nothing.
const minBase = 20

// Add counts an observation.
func (b *Base) Add(now time.Time, s Sight, n float64) {
	if !b.at.IsZero() {
		keep := math.Exp(-now.Sub(b.at).Seconds() / baseLife.Seconds())
		for i := range b.counts {
			b.counts[i] *= keep
		}
	}
	b.at = now
	b.counts[s] += n
}

// share returns how often a sound target shows the sight.
func (b *Base) share(s Sight) float64 {
	if s == Good {
		return 1 - max(b.share(Bad), b.share(Slow))
	}
	var sum float64
	for _, n := range b.counts {
		sum += n
	}
	if sum < minBase {
		return floor[s]
	}
	// Sick targets raise the pool's share; what is left out of it keeps a pool
	// with a few sick targets from hiding them.
	return min(max(floor[s], b.counts[s]/sum-excused*sick[s]), sick[s])
}

// excused is the share of a pool that may be sick without raising what a sound
// target is expected to show.
const excused = 0.25

// Grade is the estimate of one target.
type Grade struct {
	p  float64
	at time.Time
}

// Add takes one observation into account.
func (g *Grade) Add(now time.Time, s Sight, base *Base) {
	p := g.P(now)
	likely, sound := p*sick[s], (1-p)*base.share(s)
	g.p = min(max(likely/(likely+sound), 1-certain), certain)
	g.at = now
}

// P returns the probability that the target is sick.
func (g *Grade) P(now time.Time) float64 {
	if g.at.IsZero() {
		return LongRun
	}
	fade := math.Exp(-(onset + recovery) * max(0, now.Sub(g.at).Seconds()))
	return LongRun + (g.p-LongRun)*fade
}

// Risk returns the probability that the next request to the target fails.
func (g *Grade) Risk(now time.Time) float64 {
	p := g.P(now)
	return p*failing + (1-p)*floor[Bad]
}
