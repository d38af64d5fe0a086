// Package queue is the short fair queue in front of each pool. While a pool
// has free capacity a request goes through at once. Otherwise it waits, and
// the next slot goes to the customer that uses the smallest part of its share.
//
// A customer's share is its weight's part of the pool's capacity among the
// customers that run or wait. Customers below the whole slots of their share
// come first, the one with the fewest running requests for its weight before
// the others; then those that a rounded-up share still allows; then, so that
// no capacity is left unused, all others. Equals take turns by deficit round
// robin, in which each request costs 1 and each turn is worth the weight.
// Inside a customer the request with the nearest deadline is first.
//
// The queue is bounded for each customer and in all. When it is full in all,
// the customer with the most waiting requests for its weight loses its last
// one to a customer with fewer. A request is dropped when its deadline is
// nearer than the shortest usual service time, so that no target works on an
// answer that comes too late. Requests that find free capacity are never
// dropped for this reason: their service times keep the estimate current.
//
// # Usage
//
//	s := queue.NewSet(picker, queue.WithLog(log), queue.WithMeter(scope))
//	s.Update(pools) // on each change of the configuration
//	...
//	release, err := s.Enter(ctx, "orders", customer, deadline)
//	if err != nil {
//		return err // the request was not run: KindBusy, fault.Late, ...
//	}
//	defer release()
//
// Enter and release allocate no memory while capacity is free. All methods may
// be called concurrently. A goroutine looks for freed capacity while requests
// wait and ends with the last of them.
package queue
