// Package exch runs one exchange with a target and says what is known about
// it afterwards: whether the target can have executed the request, and
// whether the response is whole.
//
// Requests and responses are encoded and decoded by fasthttp. The package
// keeps its own connections instead of using fasthttp.HostClient, because the
// outcome needs facts that the library's pool does not expose while an
// exchange runs: which connection it uses, how many bytes of the request were
// written to it, and a way to close it on cancellation. The library's client
// also repeats GET, HEAD and PUT requests up to five times when the target
// closes without a response; this package sends every request at most once.
//
// Each connection carries one exchange at a time, is checked before it is
// used again, and is used again only after a clean end, so that a late
// response cannot reach another exchange.
//
// # Usage
//
//	client := exch.New(exch.WithConnections(8))
//	go client.Run(ctx) // closes connections that stay idle
//	...
//	out := client.Stream(ctx, target, req, resp, func(end exch.Outcome) {
//		// end.Class is Whole only if the complete body was read
//	})
//	if out.NotRun() {
//		// the target certainly did not execute the request
//	}
//
// Do reads the body before it returns; Stream returns once the header was
// received and leaves the body to the reader of resp.BodyStream. If the body
// turns out to be truncated, the reader returns an error, which makes a
// fasthttp server break its caller's connection instead of ending the
// response cleanly.
//
// A response with neither length nor chunking ends when the target closes, so
// a truncated one cannot be told from a whole one. It is read into memory up
// to a limit, is marked Unframed, and is Broken beyond the limit.
package exch
