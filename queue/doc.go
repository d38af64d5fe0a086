// Package queue holds the requests of one pool for a short time while no
// target has a free slot, and lets them proceed in a fair order.
//
// A request proceeds at once while capacity is free. Waiting requests are
// ordered by deadline inside a customer, and between customers by deficit
// round robin with the customers' weights: a customer that sends several times
// its rate waits behind its own requests only. A request that can no longer be
// answered in time is dropped, by a running estimate of the service time.
//
// # Usage
//
//	q := queue.New(func() int { return picker.Capacity("orders") })
//	t, err := q.Enter(ctx, "acme", weight, deadline)
//	if err != nil {
//		return err // of kind queue.KindBusy or fault.Late; the request did not run
//	}
//	defer t.Release()
//
// Enter allocates nothing while capacity is free. All methods may be called
// concurrently. The queue starts no goroutine; a timer runs while requests wait.
package queue
