package limit

import (
	"math"
	"time"
)

const (
	// coldBalanceTime is the time whose requests the account of a cold target's Pacer holds
	// in balance. It is longer than the delay of reports (0.6 s), so that the sends of all
	// daemons, which follow the account with that delay, do not oscillate.
	coldBalanceTime = 800 * time.Millisecond
	// minColdBalance is the smallest account in balance, in requests: one request changes
	// what a target with a low rate gets by at most a third.
	minColdBalance = 3.0
	// coldCapacity is the largest account, as a multiple of that in balance. It only has to
	// hold what the account deviates by: the rate of sends does not rise beyond coldPace.peak.
	coldCapacity = 1.5
	// coldDeviations is the number of standard deviations by which the requests of a second
	// may exceed their mean within the tolerance, as daemons don't see each other's requests
	// before they are reported. With 4, parts of a divided fleet exceeded it in simulations.
	coldDeviations = 4.5
	// minColdPeak and maxColdPeak bound the largest rate of sends, as a multiple of the rate
	// that is kept. Below minColdPeak an account would not recover what it holds too much.
	minColdPeak = 1.1
	maxColdPeak = 2.0
)

// ColdTolerance is the permitted overshoot of the limit for cold targets: in any second a
// cold target may receive Overshoot times its rate plus Slack requests of all daemons.
type ColdTolerance struct {
	Overshoot float64
	Slack     float64
}

// coldPace holds the rates of a cold target's Pacer, in requests per second of all daemons.
type coldPace struct {
	kept float64 // in the long run
	peak float64 // at any time
}

// pace returns the rates for a limit. The peak is the mean rate of random requests that
// stay within the tolerance: its root x solves x^2 + coldDeviations*x = Overshoot*rate + Slack.
// The rate that is kept is lower than the limit if the tolerance is too small for it.
func (c ColdTolerance) pace(rate float64) coldPace {
	root := (math.Sqrt(coldDeviations*coldDeviations+4*(c.Overshoot*rate+c.Slack)) - coldDeviations) / 2
	kept := max(min(rate, root*root/minColdPeak), MinRate)
	return coldPace{kept: kept, peak: min(max(root*root, minColdPeak*kept), maxColdPeak*kept)}
}

// Spare returns the requests beyond the rate of a second that the tolerance leaves, less a
// half for those that are not reported yet.
func (c ColdTolerance) Spare(rate float64) float64 {
	return max(c.Overshoot*rate+c.Slack-c.pace(rate).kept, 0) / 2
}

// NewPacer returns a Pacer for a cold target, whose account is in balance. Its daemon
// decides by Allowed and Take.
func (c ColdTolerance) NewPacer(now time.Time, rate, fleetShare float64) *Pacer {
	p := NewPacer(now, rate, fleetShare)
	c.SetRate(p, now, rate)
	p.tokens = p.balanced * fleetShare
	return p
}

// SetRate changes the rate of a Pacer that NewPacer returned. Its account stays.
func (c ColdTolerance) SetRate(p *Pacer, now time.Time, rate float64) {
	p.advance(now)
	pace := c.pace(rate)
	p.rate, p.peak = pace.kept, pace.peak
	p.balanced = max(minColdBalance, p.rate*coldBalanceTime.Seconds())
	p.tokens = min(p.tokens, p.capacity())
}

// Allowed returns the requests per second that the reachable daemons together may send now
// to a cold target.
func (p *Pacer) Allowed(now time.Time) float64 {
	p.advance(now)
	if p.fleetShare <= 0 {
		return 0
	}
	level := p.tokens / (p.balanced * p.fleetShare)
	return min(p.rate*max(level, 0), p.peak) * p.fleetShare
}

// Take counts a request that this daemon sends to a cold target.
func (p *Pacer) Take(now time.Time) {
	p.advance(now)
	p.tokens -= p.price()
}
