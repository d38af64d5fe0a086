// Package proxy serves callers: it takes a request through route, key and
// limit, sends it to a target, sends it again where that is safe and useful,
// and gives the caller the target's whole answer or a refusal.
//
// The server is the standard library's: its connection is read while a request
// runs, so a caller that leaves is noticed at once and the target is told by
// closing its connection. Answers are read whole before the caller gets the
// first byte, so that a broken one can still be replaced by that of another
// target, and never looks complete.
//
// A refusal with status 429 or 503 says that the request certainly did not
// run. An outcome that is not known is answered with 502 or 504.
//
// # Usage
//
//	h := proxy.New(proxy.Parts{...}, proxy.WithLog(log))
//	server := &http.Server{Handler: h}
package proxy
