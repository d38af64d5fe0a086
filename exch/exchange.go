package exch

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/strict"
)

// bufferSize is the size in bytes of the read and write buffers. It also
// limits the response header.
const bufferSize = 16 << 10

// maxResponses is the number of responses that are read for one request: up to
// two late ones to earlier requests on the connection, and its own.
const maxResponses = 3

// http11 is the version of all responses, whatever the target's: a proxy sends its own.
var http11 = []byte("HTTP/1.1")

var (
	readers   = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers   = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	responses = sync.Pool{New: func() any { return new(fasthttp.Response) }}
)

// exchange is the state of one request and its response.
type exchange struct {
	client    *Client
	conn      *conn
	ctx       context.Context
	stopWatch func() bool        // stops the cancellation watch; false if it has already fired
	reader    *bufio.Reader      // nil after the end
	response  *fasthttp.Response // nil after the end
	start     time.Time
	deadline  time.Time     // deadline of the response header
	writeErr  error         // cause of an incomplete request write
	upload    *upload       // the write of the request if it goes on while the response is read; nil: it has ended
	maxIdle   time.Duration // maximum idle time of a reused connection
	unread    time.Duration // time for which the response waited for room
	out       Outcome
	done      func(Outcome)
}

// Stream sends the request and returns when the response header was received
// or the exchange failed. If the class is Complete, resp.BodyStream reads the body,
// and the caller must read it to its end or close it. The body may take longer
// than the deadline of ctx as long as data keeps arriving.
//
// The deadline is that of ctx, or model.DefaultDeadline without one. The
// remaining time is sent to the target. When ctx is canceled, the connection
// is closed. A fasthttp.RequestCtx must not be passed as ctx, because it is
// canceled as soon as its server starts to shut down.
//
// If done is not nil, it is called once, when the exchange has ended: before
// Stream returns for failures and responses without a body, otherwise from the
// body's Read or Close. The class it receives is Complete only if the complete body
// was received.
//
// The header of resp is the target's, without its Connection: close, and the version is
// HTTP/1.1.
func (c *Client) Stream(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, done func(Outcome)) Outcome {
	return c.stream(ctx, target, req, resp, c.idleTimeout, done)
}

// stream is Stream with the maximum idle time of a reused connection.
func (c *Client) stream(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, maxIdle time.Duration, done func(Outcome)) Outcome {
	x := &exchange{client: c, ctx: ctx, start: time.Now(), maxIdle: maxIdle, done: done}
	if err := x.connect(target); err != nil {
		return x.finishNotRun(err)
	}
	var ok bool
	if x.deadline, ok = ctx.Deadline(); !ok {
		x.deadline = x.start.Add(model.DefaultDeadline.Duration())
	}
	remaining := time.Until(x.deadline)
	if remaining < time.Millisecond {
		x.conn.connPool.put(x.conn)
		return x.finishNotRun(fault.New(fault.KindTimeout, "the deadline passed before the request was sent", "allow more time"))
	}
	if name := c.headers.Expect; name != "" {
		req.Header.Set(name, string(target.ID))
	}
	req.Header.Set(c.headers.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if len(req.Header.Host()) == 0 && len(req.URI().Host()) == 0 {
		req.Header.SetHost(target.Address)
	}
	x.closeOnCancel()
	if err := x.conn.SetDeadline(x.deadline); err != nil {
		return x.fail(err)
	}
	if isLong(req) {
		x.startUpload(req)
	} else if err := x.send(req); err != nil {
		return x.fail(err)
	}
	return x.receive(req, resp)
}

// Do is like Stream but reads the whole body into resp, within the deadline,
// before it returns. It is meant for small responses.
func (c *Client) Do(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	return c.do(ctx, target, req, resp, c.idleTimeout)
}

// DoNonRepeatable is like Do for a non-repeatable request: it does not reuse
// connections that were idle for longer than WithNonRepeatableMaxIdle allows.
func (c *Client) DoNonRepeatable(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	return c.do(ctx, target, req, resp, c.nonRepeatableMaxIdle)
}

// do is Do with the maximum idle time of a reused connection.
func (c *Client) do(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, maxIdle time.Duration) Outcome {
	var final Outcome
	out := c.stream(ctx, target, req, resp, maxIdle, func(o Outcome) { final = o })
	if out.Class != Complete || !resp.IsBodyStream() {
		return final
	}
	b := resp.BodyStream().(*body)
	size := resp.Header.ContentLength()
	b.x.setBody(resp, b, size)
	return final
}

func (x *exchange) connect(target *model.Target) error {
	if err := x.ctx.Err(); err != nil {
		return fault.Wrap(fault.KindTimeout, err, "the request ended before it was sent", "allow more time")
	}
	p, err := x.client.connPool(target)
	if err != nil {
		return err
	}
	x.conn, err = p.get(x.ctx, x.client.connectionLimit(target), x.maxIdle)
	if err != nil {
		return err
	}
	if !x.conn.idleSince.IsZero() {
		x.out.IdleBefore = time.Since(x.conn.idleSince)
	}
	x.conn.reset()
	return nil
}

// closeOnCancel closes the connection when the caller cancels. An expired
// deadline does not close it here: the connection's own deadline applies, and a
// body that keeps arriving may exceed the caller's.
func (x *exchange) closeOnCancel() {
	if x.ctx.Done() == nil {
		return
	}
	ctx, nc := x.ctx, x.conn.Conn
	x.stopWatch = context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			_ = nc.Close()
		}
	})
}

// send writes the request. If the target closed the connection after the first
// byte, it is not an error yet, because a response may have been sent before.
func (x *exchange) send(req *fasthttp.Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.conn)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if x.conn.writeFailed && x.conn.bytesWritten > 0 && !isTimeout(err) {
		x.writeErr = err
		return nil
	}
	return err
}

// receive reads the response header and decides how the body is handled.
func (x *exchange) receive(req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x.conn)
	x.response = responses.Get().(*fasthttp.Response)
	x.response.Header.SetNoDefaultContentType(true)
	x.response.StreamBody = true
	x.response.SkipBody = req.Header.IsHead()
	err := x.readHeader(req)
	if uploadErr := x.endUpload(err); uploadErr != nil {
		return x.fail(uploadErr)
	}
	if err != nil {
		return x.fail(errors.Join(x.writeErr, err))
	}
	x.out.HeaderLatency = time.Since(x.start)
	h := &x.response.Header
	x.out.Status = h.StatusCode()
	shed := x.isShed(h)
	if x.out.Status == fasthttp.StatusSwitchingProtocols {
		return x.fail(errors.New("the target switched protocols"))
	}
	if reason := x.rejectReason(h); reason != "" && !shed {
		return x.fail(errors.New(reason))
	}
	x.readAnnouncements(h, shed)
	h.CopyTo(&resp.Header)
	resp.Header.ResetConnectionClose()
	resp.Header.SetProtocol(http11)
	x.out.Class = Complete
	if shed {
		return x.finishShed()
	}
	return x.attachBody(resp)
}

// consumed returns the number of bytes of the response that were read and are not buffered.
func (x *exchange) consumed() int64 { return x.conn.bytesRead - int64(x.reader.Buffered()) }

// readHeader reads the header of the response to req. A response with another
// request id arrived late on the connection and is skipped.
func (x *exchange) readHeader(req *fasthttp.Request) error {
	for range maxResponses {
		if err := strict.Read(x.reader, x.response, 0); err != nil {
			return err
		}
		name := x.client.headers.Request
		if name == "" || string(x.response.Header.Peek(name)) == string(req.Header.Peek(name)) {
			return nil
		}
		size := x.response.Header.ContentLength()
		if size < -1 {
			break
		}
		if err := x.discardBody(size); err != nil {
			return err
		}
		x.response.Reset()
		x.response.Header.SetNoDefaultContentType(true)
		x.response.StreamBody = true
		x.response.SkipBody = req.Header.IsHead()
	}
	return errors.New("the response names another request")
}

// responseBody returns the reader of the response's body.
func (x *exchange) responseBody() strict.Body {
	return strict.Body{Response: x.response, SendErr: x.writeErr}
}

// discardBody reads the body of a late response of a size, which may be negative if
// there is no length. Without a limit, a target could send one until the deadline.
func (x *exchange) discardBody(size int) error {
	if x.response.BodyStream() == nil || size == 0 {
		return nil
	}
	limit := int64(x.client.maxBuffered)
	if n, err := io.Copy(io.Discard, io.LimitReader(x.responseBody(), limit+1)); err != nil || n > limit {
		return errors.Join(errors.New("a late response does not end"), err)
	}
	return nil
}

// isShed reports whether the response states that the target did not execute
// the request. It sets x.out.Misdirected if another target sent the response.
func (x *exchange) isShed(h *fasthttp.ResponseHeader) bool {
	names := &x.client.headers
	if names.Expect != "" && h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		x.out.Misdirected = true
		return true
	}
	if names.ShedAnyStatus {
		return len(h.Peek(names.Shed)) > 0
	}
	return h.StatusCode() == fasthttp.StatusServiceUnavailable && x.hasMarker(h, names.Shed)
}

// readAnnouncements sets what the target announces about itself. Another target that
// answers at its address says nothing about it.
func (x *exchange) readAnnouncements(h *fasthttp.ResponseHeader, shed bool) {
	if x.out.Misdirected {
		return
	}
	x.out.Announced = true
	names := &x.client.headers
	// A target that sheds a request and closes the connection counts as draining too,
	// except with ShedAnyStatus.
	x.out.Draining = x.hasMarker(h, names.Drain) || shed && h.ConnectionClose() && !names.ShedAnyStatus
	if rate, ok := peekNumber(h, names.Limit); ok {
		x.out.Limited, x.out.Limit = true, model.Rate(rate)
	}
	if seconds, ok := peekNumber(h, names.RetryAfter); ok && x.out.Status == fasthttp.StatusServiceUnavailable {
		x.out.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
}

// maxRetryAfter bounds the time for which a target is not used after one response.
const maxRetryAfter = time.Hour

// peekNumber returns the value of a header that holds a number of 0 or more. It
// returns false for any other value, and if the header is missing or has no name.
func peekNumber(h *fasthttp.ResponseHeader, name string) (number float64, ok bool) {
	if name == "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(h.Peek(name)), 64)
	return number, err == nil && number >= 0 && !math.IsInf(number, 1)
}

func (x *exchange) hasMarker(h *fasthttp.ResponseHeader, name string) bool {
	return name != "" && string(h.Peek(name)) == "1"
}

// rejectReason returns why a successful response cannot come from the target
// itself, or "".
func (x *exchange) rejectReason(h *fasthttp.ResponseHeader) string {
	name := x.client.headers.Signature
	if name == "" || h.StatusCode() < fasthttp.StatusOK || h.StatusCode() >= fasthttp.StatusMultipleChoices {
		return ""
	}
	if len(h.Peek(name)) == 0 {
		return "the response has no " + name
	}
	if len(h.ContentEncoding()) > 0 {
		return "the response is encoded, although no encoding was asked for"
	}
	return ""
}

// attachBody passes the body to the caller.
func (x *exchange) attachBody(resp *fasthttp.Response) Outcome {
	stream, size := x.response.BodyStream(), x.response.Header.ContentLength()
	resp.SkipBody = stream == nil
	if stream == nil || size == 0 {
		resp.ResetBody()
		return x.finish(true)
	}
	x.conn.progressTimeout = x.client.progressTimeout
	if size < -1 {
		return x.readUnframed(resp)
	}
	out := x.out
	out.Written, out.Received = x.conn.bytesWritten, x.conn.bytesRead
	resp.SetBodyStream(&body{x: x}, size)
	return out
}

// readUnframed reads a response that ends when the target closes the connection.
func (x *exchange) readUnframed(resp *fasthttp.Response) Outcome {
	x.out.Unframed = true
	x.setBody(resp, &body{x: x}, -1)
	return x.out
}

// finishShed ends an exchange whose request the target shed. The connection is kept if
// the body is already buffered and responses name their request. Without that, a
// refusal that the target writes once more would be taken for that of the next request.
func (x *exchange) finishShed() Outcome {
	x.out.Class = Shed
	if x.client.headers.Request == "" {
		return x.finish(false)
	}
	size := x.response.Header.ContentLength()
	clean := x.response.BodyStream() == nil
	if size >= 0 && size <= x.reader.Buffered() && !clean {
		_, err := io.Copy(io.Discard, x.responseBody())
		clean = err == nil
	}
	return x.finish(clean)
}

// finishNotRun ends an exchange that wrote no byte of the request.
func (x *exchange) finishNotRun(err error) Outcome {
	x.out.Class, x.out.Err = NotRun, err
	x.out.Canceled = errors.Is(x.ctx.Err(), context.Canceled)
	x.out.HeaderLatency = time.Since(x.start)
	return x.notifyDone()
}

// fail ends an exchange without a complete response.
func (x *exchange) fail(err error) Outcome {
	if x.out.HeaderLatency == 0 {
		x.out.HeaderLatency = time.Since(x.start)
	}
	if x.unread >= unreadTime && !errors.Is(err, errTooLarge) && !errors.Is(err, errFraming) && !errors.Is(err, strict.ErrMalformed) {
		err = fmt.Errorf("%w, then: %s", errNoRoom, err.Error()) // not wrapped: a time-out is no stall of the target
	}
	x.out.Canceled = errors.Is(x.ctx.Err(), context.Canceled) || errors.Is(err, errAbandoned)
	address := x.conn.connPool.address
	switch {
	case x.conn.bytesWritten == 0:
		x.out.Class = NotRun
		x.out.Err = fault.Wrap(fault.KindUnavailable, err, "no byte was sent to target "+address, "send the request again")
	case errors.Is(err, strict.ErrMalformed):
		x.out.Class = Broken
		x.out.Err = fault.Wrap(fault.KindUnknown, err, "the response of target "+address+" cannot be used", "check the target; ask for the state before sending the request again")
	case x.conn.bytesRead > 0:
		x.out.Class = Broken
		x.out.Stalled = isTimeout(err)
		x.out.Err = fault.Wrap(fault.KindUnknown, err, "the response of target "+address+" broke off", "ask for the state before sending the request again")
	case isTimeout(err) && !x.out.Canceled:
		x.out.Class = NoResponse
		x.out.Err = fault.Wrap(fault.KindUnknown, err, "target "+address+" sent no response before the deadline", "ask for the state before sending the request again")
	default:
		x.out.Class = Unknown
		x.out.Err = fault.Wrap(fault.KindUnknown, err, "target "+address+" closed the connection without a response", "ask for the state before sending the request again")
	}
	if x.out.Class == NoResponse && x.out.HeaderLatency >= x.client.minSilence || x.out.Stalled {
		x.conn.connPool.invalidate(x.conn)
	}
	return x.finish(false)
}

// abort ends an exchange while its body is being read.
func (x *exchange) abort(err error) {
	if x.reader == nil {
		return
	}
	x.fail(err)
}

// finish releases the connection, which may be reused if clean is true: the
// response was read completely.
func (x *exchange) finish(clean bool) Outcome {
	if x.stopWatch != nil && !x.stopWatch() {
		clean = false // the cancellation may already be closing the connection
	}
	x.out.Written, x.out.Received = x.conn.bytesWritten, x.conn.bytesRead
	if x.reader != nil {
		clean = clean && x.reader.Buffered() == 0 && x.writeErr == nil && !x.response.Header.ConnectionClose()
		x.response.Reset()
		responses.Put(x.response)
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader, x.response = nil, nil
	}
	if clean {
		x.conn.connPool.put(x.conn)
	} else {
		x.conn.connPool.discard(x.conn)
	}
	return x.notifyDone()
}

func (x *exchange) notifyDone() Outcome {
	if x.done != nil {
		x.done(x.out)
	}
	return x.out
}

func isTimeout(err error) bool {
	var timeoutErr interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeoutErr) && timeoutErr.Timeout()
}
