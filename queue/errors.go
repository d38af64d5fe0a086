package queue

import "rhubarbdrift.example/fault"

// KindBusy marks a request that was not run because the queue is full.
const KindBusy fault.Kind = "busy"

// The errors are preallocated, so that a refusal does not allocate. A request
// that fails with one of them was certainly not run.
var (
	errBusy = fault.New(KindBusy, "the pool's queue is full", "send the request again later, or add targets to the pool")
	errLate = fault.New(fault.KindTimeout, "the request cannot be answered before its deadline", "send it again later or allow more time")
	errLeft = fault.New(fault.KindUnavailable, "the caller left while the request was waiting", "send the request again")
	errPool = fault.New(fault.KindMissing, "the pool does not exist", "check the route's pool in the configuration")
)
