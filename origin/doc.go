// Package origin is a stand-in target for tests and demonstrations. It has
// slots, a connection cap, a cold start and a drain mode like the users' back
// ends, and it shows their faults on command: slow, stalled, failing,
// truncated, late and unframed responses, connections that go silent, and
// health and load endpoints that mislead.
//
// It is built on net/http, so that the fleet's fasthttp client is tested
// against another implementation of the protocol.
//
// # Usage
//
//	target := origin.New(origin.WithSlots(6), origin.WithWork(5*time.Millisecond))
//	go target.Serve(ln)
//	defer target.Stop(ctx) // lets running requests finish
//	...
//	target.Set(origin.Faults{Fail: 0.5})
//
// Every path that is not named below executes a request: it takes a slot,
// works, and responds with a body of ?size= bytes that is derived from the
// request id in the header Rhubarbdrift-Request (see Content). With
// ?chunked=1 the body is sent in chunks.
//
//	GET    /health              200 or 503, may lie
//	GET    /load                slots and busy slots, may lie
//	GET    /control             the current faults
//	PUT    /control             replaces the faults
//	POST   /control/silence     silences all connections that are open now
//	POST   /control/cold        starts the cold start again
//	GET    /control/executions  requests that were executed
//	DELETE /control/executions  empties this list
package origin
