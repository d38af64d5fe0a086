// Package gate serves the callers of a daemon. It authenticates an HTTP request,
// checks the customer's limits, claims a request that may not be repeated, waits
// in the pool's queue, sends the request to a target and returns the target's
// answer or a refusal.
//
// A refusal is JSON with the fields kind, run, message and remedy, and carries
// the headers Rhubarbdrift-Kind and Rhubarbdrift-Run. The run is "not-run" only if
// certainly no target ran the request, and otherwise "unknown".
//
// # Usage
//
//	g := gate.New(deps, gate.WithLog(log), gate.WithMeter(scope))
//	server := g.Server()
//	err := server.Serve(listener)
//	...
//	g.Drain()              // answers now carry Connection: close
//	err = g.Wait(ctx)      // waits until no request is running
//
// Request headers of callers: X-Api-Key carries the key, Idempotency-Key the id of
// a request that may not be repeated, and Rhubarbdrift-Deadline a deadline in
// milliseconds, which can shorten the route's deadline but not extend it.
package gate
