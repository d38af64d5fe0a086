// Package gate is the entry of a daemon: it takes a caller's HTTP request
// through authentication, limits, the claim of requests that may not be
// repeated, the pool's queue, the choice of a target and the exchange, and
// gives the caller the whole answer or a refusal.
//
// A refusal is JSON with the fields kind, run, message and remedy, and carries
// the headers Rhubarbdrift-Kind and Rhubarbdrift-Run. "not-run" is said only
// when the request certainly reached no target; everything else is "unknown".
//
// # Usage
//
//	g := gate.New(parts, gate.WithLog(log), gate.WithMeter(scope))
//	server := g.Server()
//	err := server.Serve(listener)
//	...
//	g.Drain()              // answers with Connection: close, readiness false
//	err = g.Wait(ctx)      // until no request is running
//
// Caller headers: X-Api-Key carries the key, Idempotency-Key the caller's id of
// a request that may not be repeated, and Rhubarbdrift-Deadline may shorten the
// route's deadline (milliseconds).
package gate
