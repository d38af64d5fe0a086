package logs

// Quiet is a fasthttp.Logger that discards all messages. A server's messages
// quote parts of requests, which may contain API keys.
type Quiet struct{}

// Printf does nothing.
func (Quiet) Printf(string, ...any) {}
