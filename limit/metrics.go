package limit

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/model"
)

// measureInterval is the time between two updates of the gauges of customers.
const measureInterval = time.Second

// customerMetrics measures the use of one customer's limit. A nil one measures nothing.
type customerMetrics struct {
	admitted tally.Counter // requests that this daemon admitted
	refused  tally.Counter // requests that this daemon refused
	used     tally.Gauge   // share of the window that the fleet used, as far as this daemon knows
}

// newCustomerMetrics returns the metrics of a customer, or nil without a scope.
func newCustomerMetrics(scope tally.Scope, id model.CustomerID) *customerMetrics {
	if scope == nil {
		return nil
	}
	scope = scope.SubScope("limit").Tagged(map[string]string{"customer": string(id)})
	return &customerMetrics{admitted: scope.Counter("admitted"), refused: scope.Counter("refused"), used: scope.Gauge("window_used")}
}

func (m *customerMetrics) count(admitted bool) {
	switch {
	case m == nil:
	case admitted:
		m.admitted.Inc(1)
	default:
		m.refused.Inc(1)
	}
}

// measure updates the gauges of all customers, at most once in measureInterval. The caller
// holds the lock.
func (s *Set) measure(now time.Time) {
	if s.scope == nil || now.Sub(s.measured) < measureInterval {
		return
	}
	s.measured = now
	for _, c := range s.customers {
		if w, ok := c.account.(*Window); ok {
			c.metrics.used.Update(w.Used(now))
		}
	}
}
