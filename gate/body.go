package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/refuse"
)

// prefetched is the size up to which the server reads a body of known length before it calls
// the handler, although bodies are streamed. TestBodyUnchanged fails if it is smaller.
const prefetched = 8 << 10

// socketTakes is the size of a response that the system's write buffer takes at once, so
// that it does not matter whether the caller reads it.
const socketTakes = 8 << 10

// errNoMemory ends the reading of a body for which there is no memory.
var errNoMemory = errors.New("memory is short")

// readBody buffers the whole body, so that the request can be sent again. The memory for a
// body of known length is reserved before it is read, otherwise step by step.
func (c *call) readBody() *refuse.Refusal {
	known, stream := int64(max(c.ctx.Request.Header.ContentLength(), -1)), c.ctx.RequestBodyStream()
	if stream == nil {
		known = 0
	}
	nc := c.ctx.Conn()
	conn, _ := nc.(*callerConn)
	var owner *budget.Owner
	if conn != nil {
		owner = conn.owner
		conn.set(connBusy)
	}
	c.memory = budget.NewHolder(owner, budget.Bodies, func() {
		if c.reading.Load() {
			_ = nc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
			return
		}
		_ = nc.Close() // the caller takes the response as incomplete
	})
	if wait, ok := c.memory.Reserve(c.start, budget.ExchangeBytes+2*int64(len(c.ctx.Request.Header.RawHeaders()))+max(known, 0)); !ok {
		return c.memoryRefusal(wait)
	}
	if known >= 0 && known <= prefetched {
		// The body has arrived. Body takes it from the stream into the request's own
		// buffer, which costs less than segments.
		_ = c.ctx.Request.Body()
		c.inRequest = true
		return nil
	}
	c.reading.Store(true)
	c.memory.Expect(time.Now(), true)
	var wait time.Duration
	body, err := budget.ReadAll(stream, known, int64(c.route.MaxBody()), func(n int64) error {
		var ok bool
		if wait, ok = c.memory.Reserve(time.Now(), n); !ok {
			return errNoMemory
		}
		return nil
	}, c.memory.Progress)
	c.memory.Expect(time.Now(), false)
	c.reading.Store(false)
	switch {
	case errors.Is(err, errNoMemory):
		return c.memoryRefusal(wait)
	case c.memory.Evicted():
		return c.memoryRefusal(defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.ctx.SetConnectionClose()
		return refuse.New(refuse.KindBusy, refuse.NotRun, "the body did not arrive in time", "retry").WithRetryAfter(defaultRetryAfter)
	case err != nil:
		return refuse.New(refuse.KindBad, refuse.NotRun, "the body cannot be read", "send a complete body")
	case body.Len() > int64(c.route.MaxBody()):
		return tooLargeRefusal()
	}
	c.body = body
	c.start = time.Now() // the time of the request does not include that of its body
	return c.setDeadline()
}

func (c *call) memoryRefusal(wait time.Duration) *refuse.Refusal {
	c.ctx.SetConnectionClose()
	return refuse.New(refuse.KindBusy, refuse.NotRun, "this daemon is short of memory", "retry, which may reach another daemon").WithRetryAfter(wait)
}

func tooLargeRefusal() *refuse.Refusal {
	return refuse.New(refuse.KindLarge, refuse.NotRun, "the request body is above the route's limit", "send a smaller body")
}

// endHandler releases the body. If a response is still being streamed, its caller has to
// read what is written from now on.
func (c *call) endHandler() {
	if c.memory == nil {
		return
	}
	if !c.inRequest {
		c.memory.ReleaseTo(budget.ExchangeBytes)
	}
	size := c.ctx.Response.Header.ContentLength()
	if conn, ok := c.ctx.Conn().(*callerConn); ok && c.ctx.Response.IsBodyStream() && (size < 0 || size > socketTakes) {
		c.memory.Expect(time.Now(), false) // until a write begins
		conn.writes.Store(c.memory)
	}
	c.dropMemory()
}

// dropMemory ends one use of the request's memory: that of the handler, or of an exchange.
func (c *call) dropMemory() {
	if c.memoryUsers.Add(-1) == 0 {
		c.memory.Release()
	}
}

// setBody sets the body of a request to a target.
func (c *call) setBody(req *fasthttp.Request) {
	switch parts := c.body.Parts(); {
	case c.inRequest: // and was copied with it
	case len(parts) > 1:
		req.SetBodyStream(c.body.Reader(), int(c.body.Len()))
	case len(parts) == 1:
		req.SetBodyRaw(parts[0])
	default:
		req.ResetBody()
	}
}

// fingerprint returns a digest of the request's method, URI and body, by which the
// claim detects an idempotency key that is used for a different request.
func (c *call) fingerprint() model.Digest {
	sum, separator := sha256.New(), []byte{0}
	for _, part := range [][]byte{c.ctx.Method(), separator, c.ctx.Request.Header.RequestURI(), separator} {
		_, _ = sum.Write(part) // never fails
	}
	if c.inRequest {
		_, _ = sum.Write(c.ctx.Request.Body())
	} else {
		_, _ = io.Copy(sum, c.body.Reader())
	}
	return model.Digest(hex.EncodeToString(sum.Sum(nil)))
}
