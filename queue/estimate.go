package queue

import (
	"slices"
	"time"
)

const (
	// estimateWindow is the number of service times that the estimate covers.
	estimateWindow = 64
	// estimateStep is the number of new service times after which it is renewed.
	estimateStep = 16
	// estimateRank picks the tenth percentile of the window. A middle value
	// would drop fast requests of a pool that has slow ones too; the minimum
	// would drop none after a single failure that takes no time.
	estimateRank = estimateWindow / 10
)

// estimate is a running estimate of the time in which a request can be served.
// It is zero until the first step.
type estimate struct {
	ring  [estimateWindow]time.Duration
	work  [estimateWindow]time.Duration
	count int
	value time.Duration
}

// add takes one service time into account.
func (e *estimate) add(d time.Duration) {
	e.ring[e.count%estimateWindow] = d
	e.count++
	if e.count%estimateStep != 0 {
		return
	}
	e.work = e.ring
	known := e.work[:min(e.count, estimateWindow)]
	slices.Sort(known)
	e.value = known[len(known)*estimateRank/estimateWindow]
}
