package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"rhubarbdrift.example/budget"
)

const (
	// lingerTime is how long bytes of the caller are read and dropped after the last
	// response. Closing at once would reset the connection and could destroy the
	// response.
	lingerTime = 500 * time.Millisecond
	// lastReadTime is how long the last read of a connection waits for bytes that the
	// system may have received already.
	lastReadTime = 10 * time.Millisecond
	// leftInterval is how often a connection whose read buffer is full is checked for its end.
	leftInterval = 100 * time.Millisecond
	// smallBuffer is the size of the read buffer of a connection that has not needed a
	// larger one. Most connections are idle most of the time.
	smallBuffer = 4 << 10
	// headSlack is what the largest read buffer holds in addition to the header of a
	// request.
	headSlack = 4 << 10
	// maxDiscarded is the size of a body that is read and dropped so that the
	// connection can be used again, if the handler did not read it.
	maxDiscarded = 256 << 10
)

// phase is what the goroutine that reads a connection does.
type phase uint8

const (
	reading phase = iota // reads a request
	waiting              // waits for the first byte of a request
	parked               // watches for the end of the connection, and waits for room or for responses
)

// conn is one connection of a caller. One goroutine reads it, and each request has one
// that runs the handler.
type conn struct {
	server  *Server
	nc      net.Conn
	reads   *timedReader
	in      *bufio.Reader
	owner   *budget.Owner
	buffers *budget.Holder  // read buffer and state of the connection
	noRoom  bool            // the last grow failed because memory is short; used by the reading goroutine
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc
	woken   chan struct{} // receives when the reading goroutine is to look again

	mu        sync.Mutex
	queue     []*exchange // requests that have not been answered, in the order of arrival
	bytes     int         // size of these requests and of their responses that wait
	served    int         // requests that were taken
	phase     phase
	last      bool      // no further request is taken
	closing   bool      // the connection ends unless the next read returns bytes
	broken    bool      // nothing more can be written
	writing   bool      // a goroutine writes responses
	signalled bool      // wake ended the read
	idleUntil time.Time // end of the idle timeout, while there are no requests
	readLimit time.Time // in a stop: reads end by then; zero: none
	readSince time.Time // start of the phase reading
	cutOff    bool      // reads of the present body end at once
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, woken: make(chan struct{}, 1), readSince: time.Now()}
	address, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	c.owner = s.account.NewOwner(address)
	c.buffers = budget.NewHolder(c.owner, budget.Buffers, nil)
	c.reads = &timedReader{source: nc}
	c.in = bufio.NewReaderSize(c.reads, smallBuffer)
	c.reads.buffered = func() int { return c.in.Buffered() }
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// grow replaces the full read buffer by the largest one, with its content. It returns false
// if the buffer is the largest one already, or memory is short.
func (c *conn) grow() bool {
	size := c.server.limits.HeaderBytes + headSlack
	if c.in.Size() >= size {
		return false
	}
	if c.noRoom = !c.reserveBuffers(int64(size)); c.noRoom {
		return false
	}
	data, err := c.in.Peek(c.in.Buffered())
	if err != nil {
		return false
	}
	large := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(data)), c.reads), size)
	if _, err := large.Peek(len(data)); err != nil {
		return false
	}
	c.in = large
	return true
}

// serve reads requests until the connection ends or a response closes it.
func (c *conn) serve() {
	defer c.close()
	for c.await(c.canRead, true) {
		_ = c.setReadDeadline(time.Now().Add(c.server.limits.HeaderTimeout))
		x, err := c.read()
		var p *problem
		switch {
		case errors.As(err, &p):
			c.refuse(p)
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(c.lateProblem())
			continue
		case err != nil:
			return
		case x == nil:
			continue
		}
		if !c.fits(x) && !c.await(c.allAnswered, false) {
			return
		}
		if c.take(x) {
			c.awaitBody(x)
		}
	}
}

// canRead reports whether the next request may be read. The caller holds c.mu.
func (c *conn) canRead() bool {
	limits := &c.server.limits
	return len(c.queue) == 0 || len(c.queue) < limits.Requests && c.bytes < limits.Bytes
}

// allAnswered reports whether no request is being worked on. The caller holds c.mu.
func (c *conn) allAnswered() bool { return len(c.queue) == 0 }

// await waits until ready holds, and with needByte until there is a byte to read. It
// returns false when the connection has ended: the caller closed it, it was idle for too
// long, or no request is taken any more and all were answered. Ready is called with
// c.mu held. Without needByte, a request has been read and its body has not.
func (c *conn) await(ready func() bool, needByte bool) bool {
	held, waited := false, false
	for {
		c.mu.Lock()
		buffered := c.in.Buffered() > 0
		if c.hasEnded(buffered) {
			c.mu.Unlock()
			return false
		}
		switch {
		case c.last || !ready():
			c.phase, waited = parked, true
		case buffered || !needByte:
			c.phase, c.readSince = reading, time.Now()
			c.mu.Unlock()
			return !waited || !c.left() // what waited is not begun for a caller that has left
		default:
			c.phase = waiting
		}
		held = c.countHeld(held)
		c.resetIdle()
		c.mu.Unlock()
		if !c.awaitByte(needByte) {
			return false
		}
	}
}

// hasEnded reports whether the connection has ended. In a stop, no request is taken of which
// no byte has been read, except by a last read. The caller holds c.mu.
func (c *conn) hasEnded(buffered bool) bool {
	c.closing = c.closing && !buffered && len(c.queue) == 0
	if !c.readLimit.IsZero() && (len(c.queue) > 0 || !buffered && !c.closing) {
		c.last = true
	}
	return c.broken || c.last && len(c.queue) == 0
}

// countHeld counts the first time that a limit keeps a request from being read, and
// returns whether it was counted. The caller holds c.mu.
func (c *conn) countHeld(counted bool) bool {
	if c.phase == parked && !c.last && !counted {
		c.server.metrics.held.Inc(1)
		return true
	}
	return counted
}

// awaitByte waits until a byte arrives or wake is called. It returns false if the
// connection has ended or was idle for too long. The buffer may be replaced if mayGrow is
// set: no body is to be read from it.
func (c *conn) awaitByte(mayGrow bool) bool {
	_, err := c.in.Peek(c.in.Buffered() + 1)
	switch {
	case err == nil:
		return true
	case errors.Is(err, bufio.ErrBufferFull) && mayGrow && c.grow():
		return true
	case errors.Is(err, bufio.ErrBufferFull):
		return c.awaitWake()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.mu.Lock()
		defer c.mu.Unlock()
		signalled := c.signalled
		c.signalled = false
		if signalled || len(c.queue) > 0 || time.Now().Before(c.idleUntil) {
			return true
		}
		c.last = c.last || c.closing
		return false
	default:
		return false
	}
}

// awaitWake waits until wake is called. It returns false if the caller has left, which no read
// would tell: the buffer is full, and what it holds is not read yet.
func (c *conn) awaitWake() bool {
	t := time.NewTicker(leftInterval)
	defer t.Stop()
	for {
		select {
		case <-c.woken:
			return true
		case <-c.ctx.Done():
			return true
		case <-t.C:
			if c.left() {
				return false
			}
		}
	}
}

// left reports whether the caller has left, although bytes of it are not read yet.
func (c *conn) left() bool {
	if !hasLeft(c.nc) {
		return false
	}
	c.server.metrics.left.Inc(1)
	return true
}

// resetIdle starts the idle timeout if there are no requests, and otherwise removes the
// read deadline. The caller holds c.mu.
func (c *conn) resetIdle() {
	deadline := time.Time{}
	if len(c.queue) == 0 {
		timeout := c.server.limits.IdleTimeout
		if c.closing {
			timeout = lastReadTime
		}
		c.idleUntil = time.Now().Add(timeout)
		deadline = c.idleUntil
	}
	_ = c.nc.SetReadDeadline(deadline) // fails only on a closed connection, which reads report
}

// wake makes the reading goroutine look again at what it waits for. The caller holds
// c.mu.
func (c *conn) wake() {
	if c.phase == reading {
		return
	}
	select {
	case c.woken <- struct{}{}:
	default:
	}
	if c.phase == waiting && !c.last {
		c.resetIdle()
		return
	}
	c.endRead()
}

// endRead ends the read that waits for a byte. The caller holds c.mu.
func (c *conn) endRead() {
	c.signalled = true
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // as in resetIdle
}

// setReadDeadline sets the deadline of reads, which is never after the one of a stop.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readLimit.IsZero() && c.readLimit.Before(t) {
		t = c.readLimit
	}
	if c.cutOff {
		t = time.Unix(1, 0)
	}
	return c.nc.SetReadDeadline(t)
}

// read reads the header of a request. It returns nil if only empty lines have arrived.
func (c *conn) read() (*exchange, error) {
	if more, err := skipEmptyLines(c.in); err != nil || !more {
		return nil, err
	}
	arrival := c.reads.firstByte()
	r, size, err := readRequest(c.in, c.server.limits.HeaderBytes)
	if errors.Is(err, errBufferFull) && c.grow() {
		r, size, err = readRequest(c.in, c.server.limits.HeaderBytes)
	}
	if errors.Is(err, errBufferFull) {
		err = errHeadTooLarge
		if c.noRoom {
			err = &problem{http.StatusServiceUnavailable, "this host is short of memory"}
		}
	}
	if err != nil {
		return nil, err
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return newExchange(c, r, size, arrival), nil
}

// fits reports whether a request may be handed to the handler while earlier ones are
// not answered: its body has a known size within the limits, and the caller does not
// wait for permission to send it.
func (c *conn) fits(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 || x.request.ContentLength == 0 {
		return true
	}
	return x.request.ContentLength > 0 && !x.expectsContinue && c.bytes+x.size <= c.server.limits.Bytes
}

// take hands a request to the handler, unless a response closes the connection.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last || c.broken {
		return false
	}
	if len(c.queue) == 0 {
		close(x.turn)
	} else {
		c.server.metrics.behind.Inc(1)
	}
	c.queue = append(c.queue, x)
	c.bytes += x.size
	c.served++
	c.last = x.request.Close || !x.request.ProtoAtLeast(1, 1)
	go x.run()
	return true
}

// awaitBody waits until the handler has read the body of a request, or has ended. It
// then drops what is left of the body.
func (c *conn) awaitBody(x *exchange) {
	select {
	case <-x.bodyRead:
		return
	case <-x.handled:
	}
	if !x.bodyDone.Load() && x.discardable() {
		_, _ = io.Copy(io.Discard, x.request.Body) // on an error, the body has closed the connection
	}
}

// stopReading takes no further requests.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
}

// refuse queues the response to a request that cannot be read. It closes the connection.
func (c *conn) refuse(p *problem) {
	c.server.metrics.malformed.Inc(1)
	c.server.log.Debug().Str("caller", c.nc.RemoteAddr().String()).Int("status", p.status).Str("reason", p.reason).Msg("request not read")
	x := newExchange(c, &http.Request{Method: http.MethodGet, Body: http.NoBody}, 0, time.Now())
	x.writeProblem(p)
	c.mu.Lock()
	if c.last {
		c.mu.Unlock()
		return
	}
	c.queue = append(c.queue, x)
	c.last = true
	c.mu.Unlock()
	c.finish(x)
}

// lateProblem returns the problem of a request whose header did not arrive in time.
func (c *conn) lateProblem() *problem {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readLimit.IsZero() {
		return &problem{http.StatusServiceUnavailable, "this host stops"}
	}
	return &problem{http.StatusRequestTimeout, "the header did not arrive in time"}
}

// finish records that the response to x is complete, and writes the responses whose turn
// it is.
func (c *conn) finish(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	c.bytes += int(x.body.Len())
	x.held = x.size + int(x.body.Len())
	if c.broken {
		x.release()
	}
	c.last = c.last || x.closes()
	if c.writing {
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done && !c.broken {
		head := c.queue[0]
		closes := c.last && len(c.queue) == 1
		c.mu.Unlock()
		err := head.write(closes)
		c.mu.Lock()
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.bytes -= head.held
		if err != nil {
			c.breakOff()
		} else if len(c.queue) > 0 {
			close(c.queue[0].turn)
		}
	}
	c.writing = false
	if c.broken {
		c.releaseQueue()
	}
	c.wake()
}

// breakOff ends all requests of the connection. The caller holds c.mu.
func (c *conn) breakOff() {
	c.broken, c.last = true, true
	c.cancel()
}

// abort closes the connection and ends its requests.
func (c *conn) abort() {
	c.mu.Lock()
	c.breakOff()
	c.wake()
	c.mu.Unlock()
	_ = c.nc.Close()
}

// closeIfIdle closes the connection if it has no requests and none is arriving. A
// connection that never had one is closed only if silent is set.
func (c *conn) closeIfIdle(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting && len(c.queue) == 0 && (c.served > 0 || silent) {
		c.closeAfterRead()
	}
}

// closeAfterRead closes a connection that waits for a request, unless bytes of one have
// arrived that were not read yet. The caller holds c.mu.
func (c *conn) closeAfterRead() {
	if c.last || c.closing {
		return
	}
	c.closing = true
	c.endRead() // a read that began before its deadline returns the bytes that are there
}

// refuseIncomplete ends the reading of requests. One that has arrived in part is refused.
func (c *conn) refuseIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLimit = time.Now()
	if c.phase == reading {
		_ = c.nc.SetReadDeadline(c.readLimit)
		return
	}
	if c.phase == waiting && len(c.queue) == 0 {
		c.closeAfterRead()
		return
	}
	c.last = true
	c.wake()
}

// close ends the connection. After a last response, it drops what the caller still sends
// until the caller closes too.
func (c *conn) close() {
	c.mu.Lock()
	answered := c.last && !c.broken && len(c.queue) == 0
	c.breakOff()
	if !c.writing { // else the writing goroutine releases them
		c.releaseQueue()
	}
	c.mu.Unlock()
	if tcp, ok := c.nc.(*net.TCPConn); ok && answered {
		_ = tcp.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}
