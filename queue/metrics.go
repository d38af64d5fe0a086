package queue

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// warnInterval is the minimum time between two log lines of one pool about
// refused requests.
const warnInterval = 10 * time.Second

// waitBuckets are the buckets of the histogram of waiting times.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// counters are the metrics of one queue.
type counters struct {
	waiting tally.Gauge
	wait    tally.Histogram
	busy    tally.Counter
	late    tally.Counter
	left    tally.Counter
}

func newCounters(s tally.Scope, pool model.PoolID) counters {
	s = s.SubScope("queue").Tagged(map[string]string{"pool": string(pool)})
	return counters{
		waiting: s.Gauge("waiting"),
		wait:    s.Histogram("wait", waitBuckets),
		busy:    s.Counter("busy"),
		late:    s.Counter("late"),
		left:    s.Counter("left"),
	}
}

func (c *counters) recordWait(d time.Duration) { c.wait.RecordDuration(d) }

// countRefusal counts a refused request and logs a warning if the queue is full.
func (q *Queue) countRefusal(id model.CustomerID, err error) {
	switch fault.KindOf(err) {
	case fault.KindTimeout:
		q.counters.late.Inc(1)
	case KindBusy:
		q.counters.busy.Inc(1)
		q.warnFull(id)
	default:
		q.counters.left.Inc(1)
	}
}

// warnFull logs the customer whose request was refused, at most once per
// warnInterval.
func (q *Queue) warnFull(id model.CustomerID) {
	now := q.settings.clock()
	last := q.lastWarning.Load()
	if now.UnixNano()-last < int64(warnInterval) || !q.lastWarning.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	q.settings.log.Warn().Str("pool", string(q.pool)).Str("customer", string(id)).Int("waiting", q.Waiting()).
		Msg("the pool's queue is full; lower the customer's rate or add targets to the pool")
}
