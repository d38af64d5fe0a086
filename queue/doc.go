// Package queue implements a short fair queue in front of each pool. While a
// pool has free capacity, a request is admitted at once. Otherwise it waits, and
// the next slot goes to the customer that uses the smallest part of its share.
//
// A customer's share of the pool's capacity is its weight divided by the sum of
// the weights of all customers with running or waiting requests. Free slots go to
// customers in three tiers: first those below the whole slots of their share,
// fewest running requests relative to the weight first; then those whose share
// includes an unused part of a slot; then, so that no capacity stays unused, all
// others, again by running requests relative to the weight. Equal customers take
// turns by deficit round robin, in which each request costs 1 and each turn is
// worth the weight. Requests of one customer are served by earliest deadline.
//
// The queue is bounded per customer and in total. When the total is reached, the
// customer with the most waiting requests relative to its weight loses its last
// request to a customer with fewer. A request is dropped when its remaining time
// is shorter than a low percentile of the service times, so that no target works
// on a response that comes too late. Requests that find free capacity are never
// dropped for this reason: their service times keep the estimate current.
//
// # Usage
//
//	s := queue.NewSet(picker, queue.WithLog(log), queue.WithMeter(scope))
//	s.Update(pools) // on each change of the configuration
//	...
//	release, err := s.Acquire(ctx, "orders", customer, deadline)
//	if err != nil {
//		return err // the request was not run: KindBusy, fault.KindTimeout, ...
//	}
//	defer release()
//
// Acquire and release do not allocate while capacity is free. All methods are safe
// for concurrent use. While requests wait, one goroutine per queue checks for
// freed capacity; it ends with the last of them.
package queue
