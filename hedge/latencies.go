package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbdrift.example/model"
)

const (
	// period is the time for which a histogram is filled. The quantile is that of the
	// current and the previous one, so of 15 to 30 s: a host sends a few requests a second
	// to a pool.
	period = 15 * time.Second
	// minSamples is the number of latencies below which the quantile is not used: of 40, two
	// are above the quantile 0.95.
	minSamples = 40
	// quantileAge is the time for which a quantile is used before it is computed again.
	quantileAge = 500 * time.Millisecond
	// maxLatency is the longest latency that is told from longer ones, in milliseconds, and
	// digits the precision. A histogram takes 10 KB.
	maxLatency = 60_000
	digits     = 2
)

// Key names the requests of a route to one of its pools.
type Key struct {
	Route model.RouteID
	Pool  model.PoolID
}

// latencies holds the recent latencies of one Key.
type latencies struct {
	current, previous *hdrhistogram.Histogram // in milliseconds
	began             time.Time               // when current was begun
	known             time.Duration           // quantile
	knownAt           time.Time
}

func newLatencies(now time.Time) *latencies {
	return &latencies{current: hdrhistogram.New(1, maxLatency, digits), previous: hdrhistogram.New(1, maxLatency, digits), began: now}
}

// rotate begins new histograms whose time has come.
func (l *latencies) rotate(now time.Time) {
	elapsed := now.Sub(l.began)
	if elapsed < period {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if elapsed >= 2*period {
		l.previous.Reset()
	}
	l.began = now
}

func (l *latencies) add(now time.Time, latency time.Duration) {
	l.rotate(now)
	// The value is in range, so there is no error.
	_ = l.current.RecordValue(min(max(latency.Milliseconds(), 1), maxLatency))
}

// quantile returns a quantile of the latencies, and false if too few are known.
func (l *latencies) quantile(now time.Time, q float64) (time.Duration, bool) {
	l.rotate(now)
	if l.current.TotalCount()+l.previous.TotalCount() < minSamples {
		return 0, false
	}
	if l.knownAt.IsZero() || now.Sub(l.knownAt) >= quantileAge {
		all := hdrhistogram.Import(l.current.Export())
		all.Merge(l.previous)
		l.known, l.knownAt = time.Duration(all.ValueAtQuantile(100*q))*time.Millisecond, now
	}
	return l.known, true
}
