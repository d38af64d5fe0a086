package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbdrift.example/model"
)

// Explain returns the delay after which a request would be hedged, and what would refuse it
// then apart from the retry budget. It changes nothing.
func (s *Set) Explain(now time.Time, id model.PoolID, k Key, f Facts, bound time.Duration) (delay time.Duration, r Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = bound
	if l := s.latencies[k]; l != nil {
		clone := *l
		clone.current, clone.previous = hdrhistogram.Import(l.current.Export()), hdrhistogram.Import(l.previous.Export())
		if quantile, ok := clone.quantile(now, s.policy.Quantile); ok {
			delay = min(quantile, bound)
		}
	}
	p := s.pools[id]
	if p == nil {
		p = new(pool)
	}
	if p.account-lateReserve < 1 {
		delay = bound // it would be refused before that
	}
	if r = p.refusal(f); r == Allowed && p.account < 1 {
		r = OverShare
	}
	return delay, r
}
