package exch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/fault"
)

// connPool holds the connections to one target address.
type connPool struct {
	client  *Client
	address string

	mu     sync.Mutex
	idle   []*conn // in order of last use, the most recent one last
	open   int
	epoch  uint64 // incremented to invalidate the connections opened before
	closed bool
}

// get returns an open connection that was idle for less than maxIdle, or a new
// one. Its errors mean that no byte was written.
func (p *connPool) get(ctx context.Context, limit int, maxIdle time.Duration) (*conn, error) {
	for {
		c, err := p.takeIdle(limit, maxIdle)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle removes and returns the most recently used idle connection. If it was
// idle for maxIdle or longer, or there is none, takeIdle reserves a place for a new
// connection and returns nil. At the limit, the place is that of the connection
// that was idle for longest.
func (p *connPool) takeIdle(limit int, maxIdle time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 && time.Since(p.idle[n-1].idleSince) < maxIdle {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= limit && len(p.idle) > 0 {
		_ = p.idle[0].Close() // the new connection takes its place
		p.client.open.Add(-1)
		p.idle = append(p.idle[:0], p.idle[1:]...)
		return nil, nil
	}
	if p.open >= limit {
		return nil, fault.New(fault.KindLimited, "all connections to target "+p.address+" are in use",
			"choose another target or raise the connection cap")
	}
	p.open++
	return nil, nil
}

func (p *connPool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.client.connectTimeout)
	defer cancel()
	if !p.client.makeRoom() {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fault.New(fault.KindLimited, "this host has no descriptor for a connection to target "+p.address, "send the request to another daemon")
	}
	p.client.open.Add(1)
	nc, err := p.client.dial(ctx, p.address)
	if err != nil {
		p.client.open.Add(-1)
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fault.Wrap(fault.KindUnavailable, err, "cannot connect to target "+p.address,
			"check that the target is running and reachable from this host")
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Without it, the system holds megabytes of a response that is not read. It fails
		// only on a closed connection, which the first use reports.
		_ = tcp.SetReadBuffer(budget.SocketBytes)
	}
	return &conn{Conn: nc, connPool: p, epoch: epoch}, nil
}

// put returns a connection whose exchange ended cleanly to the pool.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	if p.closed || c.epoch != p.epoch {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection. If an exchange is in progress, this cancels the
// request at the target.
func (p *connPool) discard(c *conn) {
	_ = c.Close()
	p.client.open.Add(-1)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// invalidate closes all idle connections and marks those in use to be closed
// after their exchange. It is called after a connection got no response or its
// response stalled, because a network fault usually affects all connections that
// were opened before it.
func (p *connPool) invalidate(c *conn) {
	p.mu.Lock()
	if c.epoch != p.epoch {
		p.mu.Unlock()
		return
	}
	p.epoch++
	p.mu.Unlock()
	p.closeIdle(time.Now())
}

func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Now())
}

// closeIdle closes the connections that have been idle since cutoff or longer.
func (p *connPool) closeIdle(cutoff time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && !p.idle[n].idleSince.After(cutoff) {
		n++
	}
	expired := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// conn is a connection that counts the bytes of its current exchange.
type conn struct {
	net.Conn
	connPool     *connPool
	epoch        uint64
	idleSince    time.Time // start of the idle period
	bytesWritten int64
	bytesRead    int64
	writeFailed  bool // a write failed

	// While a body is read, each read may take at most progressTimeout, and not
	// beyond bodyDeadline if that is set. The read deadline is set before each read,
	// because a slow caller may pause for longer between two reads.
	progressTimeout time.Duration
	bodyDeadline    time.Time
}

// reset prepares the connection for its next exchange.
func (c *conn) reset() {
	c.bytesWritten, c.bytesRead, c.writeFailed = 0, 0, false
	c.progressTimeout, c.bodyDeadline = 0, time.Time{}
}

// Write writes to the connection and counts the bytes written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read reads from the connection and counts the bytes received.
func (c *conn) Read(b []byte) (int, error) {
	if c.progressTimeout > 0 {
		t := time.Now().Add(c.progressTimeout)
		if !c.bodyDeadline.IsZero() && c.bodyDeadline.Before(t) {
			t = c.bodyDeadline
		}
		_ = c.SetReadDeadline(t) // fails only on a closed connection, which Read reports
	}
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// usable reports whether an idle connection is open and has no unread bytes.
// Without this check, a request could be written to a connection that the target
// closed while it was idle, and its outcome would be unknown.
func (c *conn) usable() bool {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
