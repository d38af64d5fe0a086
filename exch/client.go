package exch

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Defaults of the options.
const (
	// DefaultMaxConnections is the maximum number of connections per target.
	DefaultMaxConnections = 16
	// DefaultProgressTimeout is the maximum time between two reads that return data of a
	// response body. A body that stalls for longer counts as broken.
	DefaultProgressTimeout = 5 * time.Second
	// DefaultMinSilence is the minimum time to wait for a response before the idle
	// connections to the target are closed too. Without this minimum, a caller
	// with a deadline of a few milliseconds would make the client reopen all of
	// them.
	DefaultMinSilence = time.Second
	// DefaultConnectTimeout is the timeout for opening a connection, which takes about
	// 1 ms within a region and 13 ms between regions.
	DefaultConnectTimeout = time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultNonRepeatableMaxIdle is the maximum idle time of a connection that is
	// reused for a non-repeatable request. A target may have dropped an idle connection
	// without closing it, and a request sent on it is lost. Users' targets
	// sometimes drop idle connections after 300 ms.
	DefaultNonRepeatableMaxIdle = 200 * time.Millisecond
	// DefaultMaxBuffered is the maximum size, in bytes, of a response that is read
	// into memory.
	DefaultMaxBuffered = 1 << 20
)

// DialFunc opens a connection to address, an IP address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithMaxConnections sets the maximum number of connections per target. A lower
// limit in the target's configuration takes precedence.
func WithMaxConnections(n int) Option { return func(c *Client) { c.maxConnections = n } }

// WithProgressTimeout sets the maximum time without new data of a response body, after
// which the body counts as broken.
func WithProgressTimeout(d time.Duration) Option { return func(c *Client) { c.progressTimeout = d } }

// WithMinSilence sets the minimum time to wait for a response before the idle
// connections to the target are closed together with the silent one.
func WithMinSilence(d time.Duration) Option { return func(c *Client) { c.minSilence = d } }

// WithConnectTimeout sets the timeout for opening a connection.
func WithConnectTimeout(d time.Duration) Option { return func(c *Client) { c.connectTimeout = d } }

// WithIdleTimeout sets the time after which an idle connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithNonRepeatableMaxIdle sets the maximum idle time of a connection that is reused for
// a non-repeatable request.
func WithNonRepeatableMaxIdle(d time.Duration) Option {
	return func(c *Client) { c.nonRepeatableMaxIdle = d }
}

// WithMaxBuffered sets the maximum size, in bytes, of a response that is read into
// memory: by Do, and for responses with neither a length nor chunks.
func WithMaxBuffered(n int) Option { return func(c *Client) { c.maxBuffered = n } }

// WithMaxOpen sets the maximum number of connections to all targets together. Idle
// connections are closed in favour of new ones.
func WithMaxOpen(n int) Option { return func(c *Client) { c.maxOpen = int64(n) } }

// WithDial replaces the function that opens connections.
func WithDial(dial DialFunc) Option { return func(c *Client) { c.dial = dial } }

// WithHeaders sets the names of the headers that are exchanged with targets.
func WithHeaders(h Headers) Option { return func(c *Client) { c.headers = h } }

// Client runs exchanges and pools the connections to all targets. It is safe for
// concurrent use.
type Client struct {
	maxConnections       int
	progressTimeout      time.Duration
	minSilence           time.Duration
	connectTimeout       time.Duration
	idleTimeout          time.Duration
	nonRepeatableMaxIdle time.Duration
	maxBuffered          int
	maxOpen              int64        // 0: no limit
	open                 atomic.Int64 // connections to all targets
	dial                 DialFunc
	headers              Headers

	mu     sync.RWMutex
	pools  map[string]*connPool // by target address
	closed bool
}

// New returns a Client without open connections.
func New(options ...Option) *Client {
	c := &Client{
		maxConnections:       DefaultMaxConnections,
		progressTimeout:      DefaultProgressTimeout,
		minSilence:           DefaultMinSilence,
		connectTimeout:       DefaultConnectTimeout,
		idleTimeout:          DefaultIdleTimeout,
		nonRepeatableMaxIdle: DefaultNonRepeatableMaxIdle,
		maxBuffered:          DefaultMaxBuffered,
		headers:              defaultHeaders,
		pools:                make(map[string]*connPool),
	}
	var d net.Dialer
	c.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Run closes connections that exceed the idle timeout, until ctx is done. It then
// closes all idle connections and returns nil.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(max(c.idleTimeout/2, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.CloseIdle()
			return nil
		case <-t.C:
			c.closeIdle(time.Now().Add(-c.idleTimeout))
		}
	}
}

// CloseIdle closes all idle connections. Exchanges in progress are not affected.
func (c *Client) CloseIdle() { c.closeIdle(time.Now()) }

// Close closes all idle connections and lets exchanges in progress finish. Later
// exchanges fail with class NotRun.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.close()
	}
}

// RemoveTarget closes the idle connections to a target that is no longer configured.
// Connections in use are closed when their exchange ends.
func (c *Client) RemoveTarget(t *model.Target) {
	c.mu.Lock()
	p := c.pools[t.Address]
	delete(c.pools, t.Address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Connections returns the number of open connections to a target and how many
// of them are idle.
func (c *Client) Connections(t *model.Target) (open, idle int) {
	c.mu.RLock()
	p := c.pools[t.Address]
	c.mu.RUnlock()
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Open returns the number of connections to all targets.
func (c *Client) Open() int { return int(c.open.Load()) }

// makeRoom closes idle connections until one may be opened. It returns false if all are in
// use.
func (c *Client) makeRoom() bool {
	if c.maxOpen == 0 || c.open.Load() < c.maxOpen {
		return true
	}
	// The connections that have been idle for longest are closed first.
	for idle := c.idleTimeout / 2; ; idle /= 2 {
		c.closeIdle(time.Now().Add(-idle))
		if c.open.Load() < c.maxOpen || idle == 0 {
			return c.open.Load() < c.maxOpen
		}
		if idle < time.Millisecond {
			idle = 0
		}
	}
}

// closeIdle closes the connections to all targets that have been idle since cutoff or
// longer.
func (c *Client) closeIdle(cutoff time.Time) {
	c.mu.RLock()
	pools := make([]*connPool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	for _, p := range pools {
		p.closeIdle(cutoff)
	}
}

// connPool returns the connections to the target. It creates an empty pool if necessary.
func (c *Client) connPool(t *model.Target) (*connPool, error) {
	c.mu.RLock()
	p, closed := c.pools[t.Address], c.closed
	c.mu.RUnlock()
	if p != nil && !closed {
		return p, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New(fault.KindUnavailable, "the client is closed", "send the request to another daemon")
	}
	if p = c.pools[t.Address]; p == nil {
		p = &connPool{client: c, address: t.Address}
		c.pools[t.Address] = p
	}
	return p, nil
}

// connectionLimit returns the maximum number of connections to the target.
func (c *Client) connectionLimit(t *model.Target) int {
	if t.Connections > 0 && t.Connections < c.maxConnections {
		return t.Connections
	}
	return c.maxConnections
}
