package logs

// Discard is a fasthttp.Logger that discards all messages. A server's messages
// quote parts of requests, which may contain API keys.
type Discard struct{}

// Printf does nothing.
func (Discard) Printf(string, ...any) {}
