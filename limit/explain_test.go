package limit

import (
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// discard drops reports.
type discard struct{}

func (discard) ReportCustomer(model.CustomerID, uint32, uint32) {}
func (discard) ReportPool(model.PoolID, uint32, uint32)         {}

// TestExplain guards against an explanation that uses tokens or changes what later requests
// get, and against one that differs from the next decision.
func TestExplain(t *testing.T) {
	customer, unseen := &model.Customer{ID: "c", Rate: 10, Burst: 10}, &model.Customer{ID: "new", Rate: 5, Burst: 5}
	for _, options := range [][]Option{nil, {WithWindows()}} {
		build := func() (*Set, time.Time) {
			now := time.Unix(1000, 0)
			s := NewSet(now, Allowance{Ratio: 0.1, Reserve: 10}, Tolerance{Window: 2 * time.Second, Share: 0.1, Slack: 2}, discard{}, options...)
			now = now.Add(time.Minute)
			s.AddRemoteCustomer(now, customer, Usage{Requests: 60, Granted: 60})
			s.CountRequest("p")
			return s, now
		}
		asked, now := build()
		untouched, _ := build()
		state := asked.Explain(now.Add(50*time.Millisecond), customer)
		asked.Explain(now, &model.Customer{ID: "c", Rate: 20, Burst: 1})
		test.Positive(t, asked.Explain(now, unseen).Admits)
		test.True(t, asked.CanRetry("p", 0) && asked.CanRetry("other", 0))
		test.True(t, reflect.DeepEqual(asked, untouched))
		test.EqOp(t, 0, state.Admits)
		test.Positive(t, state.RetryAfterMs)
		_, ok := asked.Admit(now.Add(50*time.Millisecond), customer)
		test.False(t, ok)
		test.EqOp(t, 1, asked.Explain(now.Add(time.Minute), customer).Admits)
	}
	pacer := NewPacer(time.Unix(0, 0), 10, 1)
	before, now := *pacer, time.Unix(1, 0)
	p := pacer.Probability(now, true, 0)
	test.EqOp(t, before, *pacer)
	test.True(t, ClonePacer(pacer).Admit(now, true, 0, p-0.001))
	test.False(t, ClonePacer(pacer).Admit(now, true, 0, p))
}
