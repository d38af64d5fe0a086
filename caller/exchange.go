package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/refuse"
)

// stopRetryAfter is the Retry-After of a refusal during a stop. Another host may serve
// the request at once.
const stopRetryAfter = "0.1"

// writePiece is how much of a large response is written with one deadline.
const writePiece = 64 << 10

// writers holds the write buffers of connections, which need them only while a response is
// written.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// exchange is a request and its response, which is buffered until the earlier ones were
// written. It implements http.ResponseWriter.
type exchange struct {
	conn            *conn
	request         *http.Request
	arrival         time.Time
	size            int           // bytes of the request, as far as known in advance
	turn            chan struct{} // closed when all earlier requests were answered
	handled         chan struct{} // closed when the handler has ended
	bodyRead        chan struct{} // closed when the body was read to its end
	expectsContinue bool
	bodyDone        atomic.Bool // the body was read to its end, or cannot be

	header http.Header
	status int
	body   budget.Segments
	memory *budget.Holder // of the body of the response; nil: not accounted
	done   bool           // guarded by conn.mu: the response is complete
	held   int            // guarded by conn.mu: bytes of the request and of the complete response

	bodyDeadline time.Time // reads of the body end by then; zero: none
}

var _ http.ResponseWriter = (*exchange)(nil)

func newExchange(c *conn, r *http.Request, size int, arrival time.Time) *exchange {
	x := &exchange{
		conn: c, arrival: arrival, size: size + int(max(r.ContentLength, 0)), header: make(http.Header),
		turn: make(chan struct{}), handled: make(chan struct{}), bodyRead: make(chan struct{}),
		expectsContinue: r.Header.Get("Expect") != "" && r.ProtoAtLeast(1, 1),
	}
	x.request = r.WithContext(context.WithValue(c.ctx, contextKey{}, x))
	if r.Body == nil || r.Body == http.NoBody {
		x.endBody()
	} else {
		x.request.Body = &body{exchange: x, source: r.Body}
	}
	return x
}

// endBody records that nothing is left to read of the body.
func (x *exchange) endBody() {
	if !x.bodyDone.Swap(true) {
		close(x.bodyRead)
	}
}

// run calls the handler. A panic ends only this request.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(x.request.Context())
	defer cancel()
	defer close(x.handled)
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			x.conn.abort()
			x.release()
			return
		default:
			x.conn.server.log.Error().Any("cause", cause).Str("stack", string(debug.Stack())).Msg("request failed")
			x.release()
			x.header = make(http.Header)
			x.status = http.StatusInternalServerError
			x.header.Set("Connection", "close")
		}
		x.conn.finish(x)
	}()
	x.conn.server.handler.ServeHTTP(x, x.request.WithContext(ctx))
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(data []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	x.body.Append(bytes.Clone(data))
	return len(data), nil
}

// Deliver sets the body of the response without copying it. The memory is released when it
// was written; if the caller reads too slowly while memory is short, the connection is
// closed.
func (x *exchange) Deliver(body budget.Segments, memory *budget.Holder) {
	x.WriteHeader(http.StatusOK)
	x.body, x.memory = body, memory
}

// release drops the body of the response.
func (x *exchange) release() {
	x.body = budget.Segments{}
	if x.memory != nil {
		x.memory.Release()
	}
}

// writeProblem sets the response to a request that cannot be read.
func (x *exchange) writeProblem(p *problem) {
	kind := refuse.KindBad
	switch p.status {
	case http.StatusRequestHeaderFieldsTooLarge:
		kind = refuse.KindLarge
	case http.StatusServiceUnavailable:
		kind = refuse.KindBusy
		x.header.Set("Retry-After", stopRetryAfter)
	}
	r := refuse.New(kind, refuse.NotRun, p.reason, "send a complete HTTP/1.1 request")
	x.header.Set("Content-Type", "application/json")
	x.header.Set(refuse.HeaderKind, string(r.Kind))
	x.header.Set(refuse.HeaderRun, string(r.Run))
	x.status = p.status
	body, _ := json.Marshal(r) // cannot fail: the type has only string fields
	x.body = budget.Of(body)
}

// discardable reports whether the rest of the body can be read and dropped, so that the
// connection can be used again.
func (x *exchange) discardable() bool {
	return !x.expectsContinue && x.request.ContentLength >= 0 && x.request.ContentLength <= maxDiscarded
}

// closes reports whether the connection can't be used after this response. The caller
// holds conn.mu.
func (x *exchange) closes() bool {
	return strings.EqualFold(x.header.Get("Connection"), "close") || !x.bodyDone.Load() && !x.discardable()
}

// write writes the response. If closes is set, it is the last one of the connection.
func (x *exchange) write(closes bool) error {
	if x.status == 0 {
		x.status = http.StatusOK
	}
	x.header.Del("Connection")
	x.header.Del("Transfer-Encoding")
	if closes {
		x.header.Set("Connection", "close")
	}
	if x.header.Get("Date") == "" {
		x.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	hasBody := x.status >= http.StatusOK && x.status != http.StatusNoContent && x.status != http.StatusNotModified
	if hasBody && (x.request.Method != http.MethodHead || x.header.Get("Content-Length") == "") {
		x.header.Set("Content-Length", strconv.FormatInt(x.body.Len(), 10))
	} else if !hasBody {
		x.header.Del("Content-Length")
	}
	out := writers.Get().(*bufio.Writer)
	out.Reset(x.conn.nc)
	defer func() {
		out.Reset(nil)
		writers.Put(out)
		x.release()
	}()
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(x.conn.server.limits.IdleTimeout)) // a failure shows in the writes
	writeStatusLine(out, x.status)
	if err := x.header.Write(out); err != nil {
		return err
	}
	_, _ = out.WriteString("\r\n") // errors are kept for Flush
	if hasBody && x.request.Method != http.MethodHead {
		if err := x.writeBody(out); err != nil {
			return err
		}
	}
	return out.Flush()
}

// writeBody writes the body of the response in pieces, and releases the memory of each
// segment. A caller that reads nothing of a piece within the idle timeout is given up.
func (x *exchange) writeBody(out *bufio.Writer) error {
	if x.memory == nil {
		for _, part := range x.body.Parts() {
			_, _ = out.Write(part) // errors are kept for Flush
		}
		return nil
	}
	if tcp, ok := x.conn.nc.(*net.TCPConn); ok && x.body.Len() > budget.SmallHolder {
		_ = tcp.SetWriteBuffer(budget.SocketBytes) // without it, the system holds megabytes
	}
	left := x.body.Len()
	x.memory.Expect(time.Now(), true)
	for i, part := range x.body.Parts() {
		for len(part) > 0 {
			n := min(len(part), writePiece)
			now := time.Now()
			x.memory.Progress(now, n)
			_ = x.conn.nc.SetWriteDeadline(now.Add(x.conn.server.limits.IdleTimeout)) // as in write
			if _, err := out.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
			left -= int64(n)
		}
		if left > 0 {
			x.body.Parts()[i] = nil
			x.memory.ReleaseTo(left)
		}
	}
	return nil
}

// writeStatusLine writes the first line of a response. Errors are kept for Flush.
func writeStatusLine(out *bufio.Writer, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	_, _ = out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n")
}

// body reads the body of a request. Close does not skip the rest: the goroutine that
// reads the connection does.
type body struct {
	exchange *exchange
	source   io.Reader
	mu       sync.Mutex
	started  bool
}

// Read implements io.Reader. Its error is os.ErrDeadlineExceeded if the body does not
// arrive in time.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.exchange
	if x.bodyDone.Load() {
		return 0, io.EOF
	}
	if !b.started && x.expectsContinue {
		// All earlier requests were answered, so nothing else is being written.
		if _, err := io.WriteString(x.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
		x.expectsContinue = false
	}
	b.started = true
	limit := time.Now().Add(x.conn.server.limits.IdleTimeout)
	if !x.bodyDeadline.IsZero() && x.bodyDeadline.Before(limit) {
		limit = x.bodyDeadline
	}
	_ = x.conn.setReadDeadline(limit) // a failure shows in the read
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	var lost *net.OpError
	switch {
	case errors.Is(err, io.EOF):
	case errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &lost) && !errors.Is(err, io.ErrUnexpectedEOF):
		x.conn.stopReading() // it did not arrive in time, or is malformed
	default:
		x.conn.abort() // the caller has left
	}
	x.endBody()
	return n, err
}

// Close implements io.Closer.
func (*body) Close() error { return nil }
