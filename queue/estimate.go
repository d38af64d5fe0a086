package queue

import (
	"slices"
	"time"
)

const (
	// estimateWindow is the number of service times that the estimate covers.
	estimateWindow = 64
	// estimateInterval is the number of new service times after which the estimate
	// is recomputed.
	estimateInterval = 16
	// estimateRank is the index of the tenth percentile in the sorted window. The
	// median would drop fast requests of a pool that also has slow ones; the
	// minimum would drop none after a single failure that takes no time.
	estimateRank = estimateWindow / 10
)

// estimate is a running estimate of the service time of a request. It is zero
// until estimateInterval service times were added.
type estimate struct {
	samples [estimateWindow]time.Duration
	sorted  [estimateWindow]time.Duration
	count   int
	current time.Duration
}

// add adds a measured service time.
func (e *estimate) add(d time.Duration) {
	e.samples[e.count%estimateWindow] = d
	e.count++
	if e.count%estimateInterval != 0 {
		return
	}
	e.sorted = e.samples
	measured := e.sorted[:min(e.count, estimateWindow)]
	slices.Sort(measured)
	e.current = measured[len(measured)*estimateRank/estimateWindow]
}
