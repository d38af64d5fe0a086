// Package exch runs a single HTTP exchange with a target and reports its
// outcome: whether the target may have executed the request, and whether the
// response is complete.
//
// Requests and responses are encoded and decoded by fasthttp, after package strict has
// rejected invalid responses. The package
// manages its own connections instead of using fasthttp.HostClient, because
// the outcome depends on facts that HostClient does not expose during an
// exchange: which connection it uses, how many bytes of the request were
// written to it, and a way to close it on cancellation. HostClient also repeats
// GET, HEAD and PUT requests up to five times when the target closes the
// connection without a response; this package sends every request at most once.
//
// Each connection carries one exchange at a time. It is reused only after an
// exchange that ended cleanly, and is checked before reuse, so that a late
// response cannot reach another exchange.
//
// # Usage
//
//	client := exch.New(exch.WithMaxConnections(8))
//	go client.Run(ctx) // closes connections that stay idle
//	...
//	out := client.Stream(ctx, target, req, resp, func(end exch.Outcome) {
//		// end.Class is Complete only if the complete body was read
//	})
//	if out.NotRun() {
//		// the target certainly did not execute the request
//	}
//
// Do reads the body before it returns. Stream returns once the header was
// received and leaves the body to the reader of resp.BodyStream. If the body
// is truncated, the reader returns an error, which makes a fasthttp server close
// its caller's connection instead of ending the response cleanly.
//
// A response with neither a length nor chunks ends when the target closes the
// connection, so a truncated response looks like a complete one. It is read into
// memory and marked Unframed; above the size limit the exchange is Broken.
package exch
