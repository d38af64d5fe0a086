// Package proxy serves callers' requests. It resolves the route, checks the key and
// the customer's limit, sends the request to a target, sends it again where that is
// safe and useful, and returns the target's complete response or a refusal.
//
// The server is that of package caller. It reads the connection while requests run, so a
// caller that leaves is detected at once, and the target's connection is closed to cancel
// the request there. Requests that a caller sends behind others are worked on at the same
// time. One that must not be repeated waits until all earlier ones were answered.
// Responses are buffered whole before the first byte is sent to the caller. So a broken
// response can still be replaced by that of another target, and is never mistaken for a
// complete one.
//
// A refusal with status 429 or 503 guarantees that the request did not run. If the
// outcome is unknown, the status is 502 or 504.
//
// # Usage
//
//	h := proxy.New(proxy.Dependencies{...}, proxy.WithLog(log))
//	server := caller.New(h, limits)
package proxy
