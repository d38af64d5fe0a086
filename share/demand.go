package share

import (
	"math"
	"time"
)

const (
	// fastSpan is short against the settling time of shares (3 s): it shows a
	// customer that moved to another region.
	fastSpan = 500 * time.Millisecond
	// slowSpan averages out the noise of a steady split.
	slowSpan = 3 * time.Second
)

// Demand estimates requests per second as exponentially decaying counts over a
// short and a long time. The zero value is ready for use.
type Demand struct {
	fast, slow float64
	last       time.Time
}

// Add counts n requests.
func (d *Demand) Add(now time.Time, n int) {
	d.decay(now)
	d.fast += float64(n)
	d.slow += float64(n)
}

func (d *Demand) decay(now time.Time) {
	gap := float64(now.Sub(d.last))
	if gap <= 0 {
		return
	}
	d.fast *= math.Exp(-gap / float64(fastSpan))
	d.slow *= math.Exp(-gap / float64(slowSpan))
	d.last = now
}

// Rate returns the recent demand in requests per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.fast / fastSpan.Seconds()
}

// Rates returns the recent and the longer-term demand.
func (d *Demand) Rates(now time.Time) Rates {
	return Rates{Fast: d.Rate(now), Slow: d.slow / slowSpan.Seconds()}
}

// Rates is the demand for a customer in a region in requests per second.
type Rates struct {
	Fast float64 `cbor:"1,keyasint"` // over the last half second
	Slow float64 `cbor:"2,keyasint"` // over the last few seconds
}
