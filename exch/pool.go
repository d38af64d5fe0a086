package exch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"rhubarbdrift.example/fault"
)

// pool holds the connections to one target address.
type pool struct {
	client  *Client
	address string

	mu      sync.Mutex
	idle    []*conn // the most recently used one is last
	open    int
	epoch   uint64 // increased when older connections must not be used again
	retired bool
}

// get returns a connection that is still open and was idle for less than rest,
// or a new one. Its errors mean that no byte was written.
func (p *pool) get(ctx context.Context, limit int, rest time.Duration) (*conn, error) {
	for {
		c, err := p.take(limit, rest)
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

// take removes the connection that was idle for the shortest time, or reserves
// the place of a new one and returns nil.
func (p *pool) take(limit int, rest time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 && time.Since(p.idle[n-1].since) < rest {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= limit && len(p.idle) > 0 {
		_ = p.idle[0].Close() // its place is the new one's
		p.idle = append(p.idle[:0], p.idle[1:]...)
		return nil, nil
	}
	if p.open >= limit {
		return nil, fault.New(fault.Limited, "all connections to target "+p.address+" are in use",
			"choose another target or raise the connection cap")
	}
	p.open++
	return nil, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.client.connect)
	defer cancel()
	nc, err := p.client.dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fault.Wrap(fault.Unavailable, err, "cannot connect to target "+p.address,
			"check that the target is running and reachable from this host")
	}
	return &conn{Conn: nc, pool: p, epoch: epoch}, nil
}

// put keeps a connection whose exchange ended cleanly.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if p.retired || c.epoch != p.epoch {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection, which also tells the target that the exchange is canceled.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// renew closes all idle connections and lets those in use end with their
// exchange. It is called after a connection went silent, because a fault on
// the path usually affects all connections that were opened before it.
func (p *pool) renew(c *conn) {
	p.mu.Lock()
	if c.epoch != p.epoch {
		p.mu.Unlock()
		return
	}
	p.epoch++
	p.mu.Unlock()
	p.closeIdle(time.Now())
}

func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(time.Now())
}

// closeIdle closes the connections that have been idle since the time or longer.
func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && !p.idle[n].since.After(before) {
		n++
	}
	old := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// conn is a connection that counts the bytes of its current exchange.
type conn struct {
	net.Conn
	pool    *pool
	epoch   uint64
	since   time.Time // start of the idle time
	written int64
	read    int64
	failed  bool // a write failed

	// While a body is read, each read of the connection may take this long,
	// but not beyond until if that is set. It is set for each read, because a
	// slow caller may pause between two of them for longer.
	progress time.Duration
	until    time.Time
}

// reset prepares the connection for its next exchange.
func (c *conn) reset() {
	c.written, c.read, c.failed = 0, 0, false
	c.progress, c.until = 0, time.Time{}
}

// Write writes to the connection and counts what was handed over.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	c.failed = c.failed || err != nil
	return n, err
}

// Read reads from the connection and counts what was received.
func (c *conn) Read(b []byte) (int, error) {
	if c.progress > 0 {
		t := time.Now().Add(c.progress)
		if !c.until.IsZero() && c.until.Before(t) {
			t = c.until
		}
		_ = c.SetReadDeadline(t) // fails only on a closed connection, which Read reports
	}
	n, err := c.Conn.Read(b)
	c.read += int64(n)
	return n, err
}

// usable reports whether an idle connection is open and holds no unread
// bytes. Without this check a request on a connection that the target closed
// while idle would be written and its outcome would be unknown.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
