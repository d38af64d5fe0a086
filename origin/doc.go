// Package origin is a stand-in target with fault injection, for tests and
// demonstrations. Like a real target it has slots, a connection limit, a cold start
// and a drain mode. The faults are slow, stalled, failing, lost, truncated, frozen
// and unframed responses, shed requests, connections that go silent, and health and
// load endpoints with false or stale reports (see Faults).
//
// It is built on net/http, so that the daemons' fasthttp client is tested
// against another implementation of HTTP.
//
// # Usage
//
//	target := origin.New(origin.WithSlots(6), origin.WithWork(5*time.Millisecond))
//	go target.Serve(ln)
//	defer target.Stop(ctx) // waits for running requests
//	...
//	target.SetFaults(origin.Faults{Fail: 0.5})
//
// A request to any path that is not listed below is executed: it occupies a slot
// for the time of its work and gets a body of ?size= bytes, which is derived from
// the request id in the header Rhubarbdrift-Request (see Content). With
// ?chunked=1 the body is sent with chunked transfer encoding.
//
//	GET    /health              200 or 503; may be false
//	GET    /load                slots and busy slots; may be false
//	GET    /control             the current faults
//	PUT    /control             replaces the faults
//	POST   /control/silence     makes all open connections silent
//	POST   /control/cold        restarts the cold start
//	GET    /control/executions  requests that were executed
//	DELETE /control/executions  clears this list
package origin
