package queue

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// alarmPause is the shortest time between two log lines of one pool about
// refused requests.
const alarmPause = 10 * time.Second

// waitBuckets are the bounds of the histogram of waiting times.
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

func (c *counters) waited(d time.Duration) { c.wait.RecordDuration(d) }

// refused counts a refused request and warns about a full queue.
func (q *Queue) refused(id model.CustomerID, err error) {
	switch fault.KindOf(err) {
	case fault.Late:
		q.counters.late.Inc(1)
	case KindBusy:
		q.counters.busy.Inc(1)
		q.alarm(id)
	default:
		q.counters.left.Inc(1)
	}
}

// alarm names the customer whose request was refused.
func (q *Queue) alarm(id model.CustomerID) {
	now := q.settings.clock()
	last := q.alarmed.Load()
	if now.UnixNano()-last < int64(alarmPause) || !q.alarmed.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	q.settings.log.Warn().Str("pool", string(q.pool)).Str("customer", string(id)).Int("waiting", q.Waiting()).
		Msg("the pool's queue is full; lower the customer's rate or add targets to the pool")
}
