package exch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// bufferSize is the size in bytes of the read and write buffers. It also
// limits the response header.
const bufferSize = 16 << 10

// maxLate is the number of responses that are read for one request: its own,
// and before it late ones to earlier requests on the connection.
const maxLate = 3

var (
	readers   = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers   = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	responses = sync.Pool{New: func() any { return new(fasthttp.Response) }}
)

// exchange is the state of one request and its response.
type exchange struct {
	client *Client
	conn   *conn
	ctx    context.Context
	stop   func() bool        // ends the watch on ctx
	reader *bufio.Reader      // nil after the end
	answer *fasthttp.Response // decodes the response; nil after the end
	start  time.Time
	until  time.Time     // deadline of the response header
	partly error         // why the request was written only in part
	rest   time.Duration // longest idle time of the connection
	out    Outcome
	done   func(Outcome)
}

// Stream sends the request and returns when the response header was received
// or the exchange failed. With a class of Whole, resp.BodyStream reads the
// body, and the caller must read it to its end or close it. The body may take
// longer than the deadline of ctx as long as it makes progress.
//
// The deadline is that of ctx, or model.DefaultDeadline without one. Its
// remaining time is sent to the target. When ctx is canceled, the connection
// is closed. A fasthttp.RequestCtx must not be passed as ctx, because it is
// canceled when its server begins to stop.
//
// If done is not nil, it is called once, when the exchange has ended: before
// Stream returns for failures and responses without a body, else from the
// body's Read or Close. The class then tells whether the complete body was
// received.
//
// The header of resp is the target's, without its Connection: close.
func (c *Client) Stream(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, done func(Outcome)) Outcome {
	return c.stream(ctx, target, req, resp, c.idle, done)
}

func (c *Client) stream(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, rest time.Duration, done func(Outcome)) Outcome {
	x := &exchange{client: c, ctx: ctx, start: time.Now(), rest: rest, done: done}
	if err := x.connect(target); err != nil {
		return x.refuse(err)
	}
	var ok bool
	if x.until, ok = ctx.Deadline(); !ok {
		x.until = x.start.Add(model.DefaultDeadline.Duration())
	}
	left := time.Until(x.until)
	if left < time.Millisecond {
		x.conn.pool.put(x.conn)
		return x.refuse(fault.New(fault.Late, "the deadline passed before the request was sent", "allow more time"))
	}
	if name := c.headers.Expect; name != "" {
		req.Header.Set(name, string(target.ID))
	}
	req.Header.Set(c.headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if len(req.Header.Host()) == 0 && len(req.URI().Host()) == 0 {
		req.Header.SetHost(target.Address)
	}
	x.watch()
	if err := x.send(req); err != nil {
		return x.fail(err)
	}
	return x.receive(req, resp)
}

// Do is Stream for small responses: it reads the whole body into resp before
// it returns, and within the deadline.
func (c *Client) Do(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	return c.do(ctx, target, req, resp, c.idle)
}

// DoOnce is Do for a request that may not be repeated: it uses no connection
// that was idle for a while.
func (c *Client) DoOnce(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	return c.do(ctx, target, req, resp, c.rest)
}

func (c *Client) do(ctx context.Context, target *model.Target, req *fasthttp.Request, resp *fasthttp.Response, rest time.Duration) Outcome {
	var end Outcome
	out := c.stream(ctx, target, req, resp, rest, func(o Outcome) { end = o })
	if out.Class != Whole || !resp.IsBodyStream() {
		return end
	}
	b := resp.BodyStream().(*body)
	if data := b.x.collect(b); data != nil {
		resp.SetBodyRaw(data)
		resp.Header.SetContentLength(len(data))
	}
	return end
}

func (x *exchange) connect(target *model.Target) error {
	if err := x.ctx.Err(); err != nil {
		return fault.Wrap(fault.Late, err, "the request ended before it was sent", "allow more time")
	}
	p, err := x.client.pool(target)
	if err != nil {
		return err
	}
	x.conn, err = p.get(x.ctx, x.client.limit(target), x.rest)
	if err != nil {
		return err
	}
	if !x.conn.since.IsZero() {
		x.out.Rested = time.Since(x.conn.since)
	}
	x.conn.reset()
	return nil
}

// watch closes the connection when the caller cancels. The deadline is left
// to the connection, because a body that makes progress may pass it.
func (x *exchange) watch() {
	if x.ctx.Done() == nil {
		return
	}
	ctx, nc := x.ctx, x.conn.Conn
	x.stop = context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			_ = nc.Close()
		}
	})
}

// send writes the request. A connection that the target closed after the first
// byte is no error yet, because the target may have responded before.
func (x *exchange) send(req *fasthttp.Request) error {
	if err := x.conn.SetDeadline(x.until); err != nil {
		return err
	}
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.conn)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if x.conn.failed && x.conn.written > 0 && !isTimeout(err) {
		x.partly = err
		return nil
	}
	return err
}

// receive reads the response header and decides what happens to the body.
func (x *exchange) receive(req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x.conn)
	x.answer = responses.Get().(*fasthttp.Response)
	x.answer.Header.SetNoDefaultContentType(true)
	x.answer.StreamBody = true
	x.answer.SkipBody = req.Header.IsHead()
	if err := x.next(req); err != nil {
		return x.fail(errors.Join(x.partly, err))
	}
	x.out.Wait = time.Since(x.start)
	h := &x.answer.Header
	x.out.Status = h.StatusCode()
	shed := x.refused(h)
	x.out.Draining = x.marked(h, x.client.headers.Drain) || !x.out.Moved && shed && h.ConnectionClose() && !x.client.headers.AnyShed
	if x.out.Status == fasthttp.StatusSwitchingProtocols {
		return x.fail(errors.New("the target switched protocols"))
	}
	if problem := x.foreign(h); problem != "" && !shed {
		return x.fail(errors.New(problem))
	}
	h.CopyTo(&resp.Header)
	resp.Header.ResetConnectionClose()
	x.out.Class = Whole
	if shed {
		return x.shed()
	}
	return x.attach(resp)
}

// next reads the header of the response to req. A response that names another
// request arrived late on the connection and is passed over.
func (x *exchange) next(req *fasthttp.Request) error {
	for range maxLate {
		if err := x.answer.ReadLimitBody(x.reader, 0); err != nil {
			return err
		}
		name := x.client.headers.Request
		if name == "" || string(x.answer.Header.Peek(name)) == string(req.Header.Peek(name)) {
			return nil
		}
		size := x.answer.Header.ContentLength()
		if size < -1 {
			break
		}
		if body := x.answer.BodyStream(); body != nil && size != 0 {
			if _, err := io.Copy(io.Discard, body); err != nil {
				return err
			}
		}
		x.answer.Reset()
		x.answer.Header.SetNoDefaultContentType(true)
		x.answer.StreamBody = true
		x.answer.SkipBody = req.Header.IsHead()
	}
	return errors.New("the response names another request")
}

// refused reports whether the response says that the target did not run the request.
func (x *exchange) refused(h *fasthttp.ResponseHeader) bool {
	names := &x.client.headers
	if names.Expect != "" && h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		x.out.Moved = true
		return true
	}
	if names.AnyShed {
		return len(h.Peek(names.Shed)) > 0
	}
	return h.StatusCode() == fasthttp.StatusServiceUnavailable && x.marked(h, names.Shed)
}

func (x *exchange) marked(h *fasthttp.ResponseHeader, name string) bool {
	return name != "" && string(h.Peek(name)) == "1"
}

// foreign says why a success cannot be what the target sent, or "".
func (x *exchange) foreign(h *fasthttp.ResponseHeader) string {
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

// attach hands the body to the caller.
func (x *exchange) attach(resp *fasthttp.Response) Outcome {
	stream, size := x.answer.BodyStream(), x.answer.Header.ContentLength()
	resp.SkipBody = stream == nil
	if stream == nil || size == 0 {
		resp.ResetBody()
		return x.end(true)
	}
	x.conn.progress = x.client.progress
	if size < -1 {
		return x.buffer(resp)
	}
	out := x.out
	out.Written, out.Received = x.conn.written, x.conn.read
	resp.SetBodyStream(&body{x: x}, size)
	return out
}

// buffer reads a response that ends when the target closes.
func (x *exchange) buffer(resp *fasthttp.Response) Outcome {
	x.out.Unframed = true
	if data := x.collect(&body{x: x}); data != nil {
		resp.SetBodyRaw(data)
		resp.Header.SetContentLength(len(data))
	}
	return x.out
}

// collect reads a body into memory and ends the exchange. It returns nil if that fails.
func (x *exchange) collect(b *body) []byte {
	limit := x.client.buffer
	x.conn.until = x.until
	data, err := io.ReadAll(io.LimitReader(b, int64(limit)+1))
	if err == nil && len(data) > limit {
		x.breakOff(fault.New(fault.Limited, "the response exceeds the "+strconv.Itoa(limit)+" bytes that are read into memory",
			"let the target send a length or chunks"))
	}
	if x.out.Class != Whole {
		return nil
	}
	return data
}

// shed ends an exchange that the target refused. The connection is kept if
// the body is already buffered.
func (x *exchange) shed() Outcome {
	x.out.Class = Shed
	size := x.answer.Header.ContentLength()
	clean := x.answer.BodyStream() == nil
	if size >= 0 && size <= x.reader.Buffered() && !clean {
		_, err := io.Copy(io.Discard, x.answer.BodyStream())
		clean = err == nil
	}
	return x.end(clean)
}

// refuse ends an exchange that wrote nothing.
func (x *exchange) refuse(err error) Outcome {
	x.out.Class, x.out.Err = NotRun, err
	x.out.Canceled = errors.Is(x.ctx.Err(), context.Canceled)
	x.out.Wait = time.Since(x.start)
	return x.report()
}

// fail ends an exchange without a complete response.
func (x *exchange) fail(err error) Outcome {
	if x.out.Wait == 0 {
		x.out.Wait = time.Since(x.start)
	}
	x.out.Canceled = errors.Is(x.ctx.Err(), context.Canceled) || errors.Is(err, errAbandoned)
	address := x.conn.pool.address
	switch {
	case x.conn.written == 0:
		x.out.Class = NotRun
		x.out.Err = fault.Wrap(fault.Unavailable, err, "no byte was sent to target "+address, "send the request again")
	case x.conn.read > 0:
		x.out.Class = Broken
		x.out.Stalled = isTimeout(err)
		x.out.Err = fault.Wrap(fault.Unknown, err, "the response of target "+address+" broke off", "ask for the state before sending the request again")
	case isTimeout(err) && !x.out.Canceled:
		x.out.Class = Silent
		x.out.Err = fault.Wrap(fault.Unknown, err, "target "+address+" sent no response before the deadline", "ask for the state before sending the request again")
	default:
		x.out.Class = Unknown
		x.out.Err = fault.Wrap(fault.Unknown, err, "target "+address+" closed the connection without a response", "ask for the state before sending the request again")
	}
	if x.out.Class == Silent && x.out.Wait >= x.client.silence || x.out.Stalled {
		x.conn.pool.renew(x.conn)
	}
	return x.end(false)
}

// breakOff ends an exchange while its body is read.
func (x *exchange) breakOff(err error) {
	if x.reader == nil {
		return
	}
	x.fail(err)
}

// end releases the connection; clean says that the response was read completely.
func (x *exchange) end(clean bool) Outcome {
	if x.stop != nil && !x.stop() {
		clean = false // the connection may be closing
	}
	x.out.Written, x.out.Received = x.conn.written, x.conn.read
	if x.reader != nil {
		clean = clean && x.reader.Buffered() == 0 && x.partly == nil && !x.answer.Header.ConnectionClose()
		x.answer.Reset()
		responses.Put(x.answer)
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader, x.answer = nil, nil
	}
	if clean {
		x.conn.pool.put(x.conn)
	} else {
		x.conn.pool.discard(x.conn)
	}
	return x.report()
}

func (x *exchange) report() Outcome {
	if x.done != nil {
		x.done(x.out)
	}
	return x.out
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}
