// Package caller serves HTTP/1.1 on callers' connections. Unlike the servers of the
// standard library and of fasthttp, it begins to work on a request while earlier ones
// of the same connection are not answered yet, and reads the connection all the while,
// so that a caller that leaves cancels all of its requests at once.
//
// Responses are written in the order of the requests, each as a whole. Only the last
// response of a connection closes it: after the server has decided to close, it takes
// no further request of that connection, so a request that was handed to the handler
// is always answered and one that was not has certainly not run.
//
// Limits bounds what is read ahead. A request with a body that does not fit, or
// whose size is not known, is handed to the handler after all earlier ones were answered.
// While the limit on requests is reached, the server still notices a caller that leaves,
// unless that caller has sent more than one request header's limit in advance.
//
// # Usage
//
//	s := caller.New(handler, caller.Limits{HeaderBytes: 16 << 10, Requests: 16, ...}, caller.WithLog(log))
//	go s.Serve(listener)
//	...
//	err := s.Shutdown(ctx) // answers what was taken, takes nothing new after ctx ends
//
// A handler learns from its request's context when the request arrived and whether
// earlier requests of the connection are still to be answered:
//
//	start := caller.Arrival(r.Context())
//	err := caller.AwaitTurn(r.Context()) // before work that must not be done twice
package caller
