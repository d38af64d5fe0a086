package share

import (
	"math"
	"time"
)

const (
	// fastWindow is the decay time of the recent demand. It is short compared with
	// the settling time of shares (3 s), so that a customer that moves to another
	// region is noticed early.
	fastWindow = 500 * time.Millisecond
	// slowWindow is the decay time of the longer-term demand. It averages out the
	// noise of a steady split between regions.
	slowWindow = 3 * time.Second
)

// Demand estimates requests per second by two exponentially decaying counts, with
// a decay time of 0.5 s and 3 s. The zero value is ready for use. It must not be
// used concurrently.
type Demand struct {
	fastCount, slowCount float64
	decayedAt            time.Time
}

// Add counts n requests at now.
func (d *Demand) Add(now time.Time, n int) {
	d.decay(now)
	d.fastCount += float64(n)
	d.slowCount += float64(n)
}

// decay applies the time since the last call to both counts. An earlier time has
// no effect.
func (d *Demand) decay(now time.Time) {
	elapsed := float64(now.Sub(d.decayedAt))
	if elapsed <= 0 {
		return
	}
	d.fastCount *= math.Exp(-elapsed / float64(fastWindow))
	d.slowCount *= math.Exp(-elapsed / float64(slowWindow))
	d.decayedAt = now
}

// Rate returns the recent demand in requests per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.fastCount / fastWindow.Seconds()
}

// Rates returns the recent and the longer-term demand in requests per second.
func (d *Demand) Rates(now time.Time) DemandRates {
	return DemandRates{Fast: d.Rate(now), Slow: d.slowCount / slowWindow.Seconds()}
}

// DemandRates is the demand of one customer in one region in requests per second.
type DemandRates struct {
	Fast float64 `cbor:"1,keyasint"` // with a decay time of 0.5 s
	Slow float64 `cbor:"2,keyasint"` // with a decay time of 3 s
}
