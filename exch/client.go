package exch

import (
	"context"
	"net"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Defaults of the options.
const (
	// DefaultConnections is the largest number of connections per target.
	DefaultConnections = 16
	// DefaultProgress is the time without a byte after which a body is broken.
	DefaultProgress = 5 * time.Second
	// DefaultSilence is the shortest time without a response after which a
	// connection counts as silent. Without it a caller with a deadline of a few
	// milliseconds would make the client reopen all connections.
	DefaultSilence = time.Second
	// DefaultConnect is the time allowed for opening a connection, which takes
	// about 1 ms in a region and 13 ms between regions.
	DefaultConnect = time.Second
	// DefaultIdle is the time after which an idle connection is closed.
	DefaultIdle = 30 * time.Second
	// DefaultRest is the idle time after which a connection takes no request that
	// may not be repeated: a target may have dropped it without a word, and what
	// is sent next is lost. Targets of the users drop theirs after 300 ms at times.
	DefaultRest = 200 * time.Millisecond
	// DefaultBuffer is the largest response, in bytes, that is read into memory.
	DefaultBuffer = 1 << 20
)

// DialFunc opens a connection to the IP address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Option changes a setting of a Client.
type Option func(*Client)

// WithConnections caps the connections per target. A target's own cap applies if it is lower.
func WithConnections(n int) Option { return func(c *Client) { c.connections = n } }

// WithProgress sets the time without a byte after which a body is broken.
func WithProgress(d time.Duration) Option { return func(c *Client) { c.progress = d } }

// WithSilence sets the shortest time without a response after which a
// connection counts as silent, so that the idle ones are closed too.
func WithSilence(d time.Duration) Option { return func(c *Client) { c.silence = d } }

// WithConnect sets the time allowed for opening a connection.
func WithConnect(d time.Duration) Option { return func(c *Client) { c.connect = d } }

// WithIdle sets the time after which an idle connection is closed.
func WithIdle(d time.Duration) Option { return func(c *Client) { c.idle = d } }

// WithRest sets the idle time after which a connection takes no request that may
// not be repeated.
func WithRest(d time.Duration) Option { return func(c *Client) { c.rest = d } }

// WithBuffer sets the largest response, in bytes, that is read into memory:
// those of Do, and those with neither length nor chunking.
func WithBuffer(n int) Option { return func(c *Client) { c.buffer = n } }

// WithDial replaces the function that opens connections.
func WithDial(dial DialFunc) Option { return func(c *Client) { c.dial = dial } }

// WithHeaders sets the names of the headers that are exchanged with targets.
func WithHeaders(h Headers) Option { return func(c *Client) { c.headers = h } }

// Client runs exchanges and keeps the connections to all targets.
type Client struct {
	connections int
	progress    time.Duration
	silence     time.Duration
	connect     time.Duration
	idle        time.Duration
	rest        time.Duration
	buffer      int
	dial        DialFunc
	headers     Headers

	mu     sync.RWMutex
	pools  map[string]*pool // by address
	closed bool
}

// New returns a client without connections.
func New(options ...Option) *Client {
	c := &Client{
		connections: DefaultConnections,
		progress:    DefaultProgress,
		silence:     DefaultSilence,
		connect:     DefaultConnect,
		idle:        DefaultIdle,
		rest:        DefaultRest,
		buffer:      DefaultBuffer,
		headers:     ownHeaders,
		pools:       make(map[string]*pool),
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

// Run closes connections that stay idle, until ctx ends. It then closes all
// idle connections.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(max(c.idle/2, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.CloseIdle()
			return nil
		case <-t.C:
			c.closeIdle(time.Now().Add(-c.idle))
		}
	}
}

// CloseIdle closes all idle connections. Running exchanges are not affected.
func (c *Client) CloseIdle() { c.closeIdle(time.Now()) }

// Close closes all idle connections and lets running exchanges finish. Later
// exchanges are refused as not run.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.retire()
	}
}

// Forget closes the idle connections to a target that is no longer configured.
// Connections of running exchanges are closed when these end.
func (c *Client) Forget(t *model.Target) {
	c.mu.Lock()
	p := c.pools[t.Address]
	delete(c.pools, t.Address)
	c.mu.Unlock()
	if p != nil {
		p.retire()
	}
}

// Connections returns the number of open connections to a target, and how
// many of them are idle.
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

func (c *Client) closeIdle(before time.Time) {
	c.mu.RLock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	for _, p := range pools {
		p.closeIdle(before)
	}
}

func (c *Client) pool(t *model.Target) (*pool, error) {
	c.mu.RLock()
	p, closed := c.pools[t.Address], c.closed
	c.mu.RUnlock()
	if p != nil && !closed {
		return p, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New(fault.Unavailable, "the client is closed", "send the request to another daemon")
	}
	if p = c.pools[t.Address]; p == nil {
		p = &pool{client: c, address: t.Address}
		c.pools[t.Address] = p
	}
	return p, nil
}

// limit returns the largest number of connections to the target.
func (c *Client) limit(t *model.Target) int {
	if t.Connections > 0 && t.Connections < c.connections {
		return t.Connections
	}
	return c.connections
}
