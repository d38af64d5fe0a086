// Package health estimates the probability that a target is currently unhealthy
// from the outcomes of exchanges with it.
//
// The estimate is a hidden Markov model with two states, healthy and unhealthy.
// Targets change between the states at random, as in gray failures, which begin
// without notice and end by themselves after some seconds. Each observation
// updates the probability by the ratio of its likelihoods in the two states.
// Without observations the probability decays to its long-run average, so an
// unused target is tried again.
//
// The likelihoods of the healthy state are derived from the whole pool: when
// most requests to a pool fail, a failure says little about one target.
//
// # Usage
//
//	var e health.Estimate
//	e.Add(now, health.Failed, baseline) // baseline is the *health.Baseline of the target's pool
//	risk := e.FailureProbability(now)           // probability that the next request fails
package health

import (
	"math"
	"time"
)

const (
	// unhealthyRate is the rate per second at which a healthy target becomes
	// unhealthy: about once in 30 s in users' deployments.
	unhealthyRate = 1.0 / 30
	// recoveryRate is the rate per second at which an unhealthy target recovers:
	// gray failures in users' deployments last about 5 s.
	recoveryRate = 1.0 / 5
	// SteadyState is the share of time in which a target is unhealthy, and the
	// initial probability for a target without observations.
	SteadyState = unhealthyRate / (unhealthyRate + recoveryRate)
	// unhealthyErrorRate is the share of its requests that an unhealthy target fails.
	unhealthyErrorRate = 0.75
	// maxProbability keeps the probability away from 0 and 1, so that a single
	// observation can always change it.
	maxProbability = 0.998
)

// Observation is an observation of a target, made in one exchange.
type Observation uint8

// The observations, from best to worst.
const (
	// Good is a complete response in time.
	Good Observation = iota
	// Slow is a request that has taken longer than most requests do.
	Slow
	// Unreachable is a target that could not be reached or sent nothing. The cause may
	// be the network path rather than the target.
	Unreachable
	// Failed is an error response or another failure caused by the target.
	Failed
	observationCount
)

var observationNames = [observationCount]string{"good", "slow", "lost", "bad"}

// String returns the name used in logs.
func (o Observation) String() string {
	if o < observationCount {
		return observationNames[o]
	}
	return "invalid"
}

// unhealthyLikelihood is the probability of each observation at an unhealthy target.
var unhealthyLikelihood = [observationCount]float64{Good: 1 - unhealthyErrorRate, Slow: 0.6, Unreachable: 0.3, Failed: unhealthyErrorRate}

// minHealthyLikelihood is the lower bound of the probability of each observation
// at a healthy target: in users' deployments 1.2% of the requests fail, and 4%
// take three times the mean. Good has none: its probability follows from the others.
var minHealthyLikelihood = [observationCount]float64{Slow: 0.05, Unreachable: 0.04, Failed: 0.015}

// Baseline counts the observations of all targets of one pool. The counts decay
// exponentially with a time constant of 10 s.
type Baseline struct {
	counts  [observationCount]float64
	updated time.Time
}

// baselineTimeConstant is the time constant of the decay of a Baseline's counts. It
// covers some hundred exchanges of a small pool.
const baselineTimeConstant = 10 * time.Second

// minBaselineCount is the number of observations below which the pool's shares are ignored.
const minBaselineCount = 20

// Add counts count observations of the kind o.
func (b *Baseline) Add(now time.Time, o Observation, count float64) {
	if !b.updated.IsZero() {
		decay := math.Exp(-now.Sub(b.updated).Seconds() / baselineTimeConstant.Seconds())
		for i := range b.counts {
			b.counts[i] *= decay
		}
	}
	b.updated = now
	b.counts[o] += count
}

// healthyLikelihood returns the probability of the observation at a healthy target.
// It is at most that at an unhealthy one, except for Good.
func (b *Baseline) healthyLikelihood(o Observation) float64 {
	if o == Good {
		return 1 - max(b.healthyLikelihood(Failed), b.healthyLikelihood(Slow))
	}
	var sum float64
	for _, n := range b.counts {
		sum += n
	}
	if sum < minBaselineCount {
		return minHealthyLikelihood[o]
	}
	// Unhealthy targets raise the pool's share of failures. What excusedShare of the
	// targets would add is subtracted, so that a few unhealthy ones don't hide among
	// the others.
	return min(max(minHealthyLikelihood[o], b.counts[o]/sum-excusedShare*unhealthyLikelihood[o]), unhealthyLikelihood[o])
}

// excusedShare is the share of a pool's targets that may be unhealthy without
// raising the likelihoods of the healthy state.
const excusedShare = 0.25

// Estimate is the health estimate of one target. The zero value is a target without
// observations.
type Estimate struct {
	probability float64
	updated     time.Time
}

// Add updates the estimate by one observation. Baseline is that of the target's pool.
func (e *Estimate) Add(now time.Time, o Observation, baseline *Baseline) {
	probability := e.UnhealthyProbability(now)
	unhealthy, healthy := probability*unhealthyLikelihood[o], (1-probability)*baseline.healthyLikelihood(o)
	e.probability = min(max(unhealthy/(unhealthy+healthy), 1-maxProbability), maxProbability)
	e.updated = now
}

// UnhealthyProbability returns the probability that the target is unhealthy.
func (e *Estimate) UnhealthyProbability(now time.Time) float64 {
	if e.updated.IsZero() {
		return SteadyState
	}
	decay := math.Exp(-(unhealthyRate + recoveryRate) * max(0, now.Sub(e.updated).Seconds()))
	return SteadyState + (e.probability-SteadyState)*decay
}

// FailureProbability returns the probability that the next request to the target fails.
func (e *Estimate) FailureProbability(now time.Time) float64 {
	p := e.UnhealthyProbability(now)
	return p*unhealthyErrorRate + (1-p)*minHealthyLikelihood[Failed]
}
