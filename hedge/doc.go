// Package hedge decides when a request that may be repeated is sent to a second target
// while the first one is slow. The delay is a quantile of the recent latencies of the
// route at its pool. The second send is allowed while the pool has spare capacity and all
// hosts together stay within a share of the pool's requests; see docs/design/hedge.md.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	s := hedge.NewSet(hedge.Policy{Share: 0.05, Quantile: 0.95}, report)
//	s.CountRequests(pool, 1)
//	delay := s.Delay(now, key, objective)
//	... // no response after the delay
//	d := s.Decide(now, pool, facts, rand.Float64(), takeFromRetryBudget)
//	if d.Refusal == hedge.Allowed { ... }
//	...
//	s.Record(now, key, latency)
package hedge
