package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

const (
	// connectTimeout bounds one attempt to connect. A connection within the
	// fleet takes milliseconds.
	connectTimeout = time.Second
	// connectDelay and connectMaxDelay bound the pause between attempts.
	connectDelay    = 50 * time.Millisecond
	connectMaxDelay = time.Second
	// silentCalls is the number of successive timeouts after which a connection
	// is taken to be silent and replaced by a new one.
	silentCalls = 2
)

// Pool keeps one connection for each address.
type Pool struct {
	settings
	mu      sync.Mutex
	clients map[string]*Client
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(options ...Option) *Pool {
	return &Pool{settings: newSettings(options), clients: make(map[string]*Client)}
}

// Client returns the client of an address (IP address and port). It connects
// at the first call.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &Client{address: address, settings: p.settings, closed: p.closed}
		p.clients[address] = c
	}
	return c
}

// Forget closes the connection of an address that is no longer used.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Close closes all connections. Later calls fail with fault.Unavailable.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.close()
	}
}

// Client calls the daemon at one address.
type Client struct {
	settings
	address string
	mu      sync.Mutex
	conn    *grpc.ClientConn
	closed  bool
	silent  atomic.Int32 // successive timeouts
}

// Address returns the IP address and port.
func (c *Client) Address() string { return c.address }

// Reset closes the connection, so that the next call opens a new one. Running
// calls fail.
func (c *Client) Reset() {
	c.mu.Lock()
	old := c.conn
	c.conn = nil
	c.mu.Unlock()
	c.silent.Store(0)
	if old != nil {
		_ = old.Close()
	}
}

func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Reset()
}

func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, context.Canceled
	}
	if c.conn != nil {
		return c.conn, nil
	}
	made, err := grpc.NewClient("passthrough:///"+c.address, c.options()...)
	if err != nil {
		return nil, err
	}
	c.conn = made
	return made, nil
}

func (c *Client) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDisableHealthCheck(),
		grpc.WithStatsHandler(counted{c.counters}),
		grpc.WithContextDialer(c.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: connectMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(newCodec()), grpc.MaxCallRecvMsgSize(MaxMessage)),
	}
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	made, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn{Conn: made, counters: c.counters}, nil
}

// Call sends q and waits for the answer until ctx ends. The error has the kind
// of the handler's error, fault.Unavailable if the request was certainly not
// sent, or fault.Unknown if it may have run.
func Call[Q, A any](ctx context.Context, c *Client, method string, q *Q) (*A, error) {
	made, err := c.connection()
	if err != nil {
		return nil, fromStatus(method, err, nil, false)
	}
	var sent atomic.Bool
	var trailer metadata.MD
	a := new(A)
	err = made.Invoke(context.WithValue(ctx, sentKey{}, &sent), "/"+serviceName+"/"+method, q, a, grpc.Trailer(&trailer))
	c.note(err, made)
	if err != nil {
		return nil, fromStatus(method, err, trailer, sent.Load())
	}
	return a, nil
}

// note replaces a connection on which successive calls timed out. Open
// connections can go silent for good while new ones work.
func (c *Client) note(err error, used *grpc.ClientConn) {
	if !timedOut(err) {
		c.silent.Store(0)
		return
	}
	if c.silent.Add(1) < silentCalls {
		return
	}
	c.mu.Lock()
	same := c.conn == used
	c.mu.Unlock()
	if same {
		c.Reset()
	}
}
