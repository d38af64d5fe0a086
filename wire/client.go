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
	// connectTimeout bounds one attempt to connect. Connecting within the fleet
	// takes milliseconds.
	connectTimeout = time.Second
	// connectDelay and connectMaxDelay are the first and the longest pause between
	// two attempts to connect.
	connectDelay    = 50 * time.Millisecond
	connectMaxDelay = time.Second
	// maxSuccessiveTimeouts is the number of successive calls that timed out (see
	// isTimeout) after which the connection is closed and replaced by a new one.
	maxSuccessiveTimeouts = 2
)

// ClientPool keeps one connection for each address. It is safe for concurrent use.
type ClientPool struct {
	settings
	mu      sync.Mutex
	clients map[string]*Client
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(options ...Option) *ClientPool {
	return &ClientPool{settings: newSettings(options), clients: make(map[string]*Client)}
}

// Client returns the client of an address (IP address and port). The client
// connects at its first call.
func (p *ClientPool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &Client{address: address, settings: p.settings, closed: p.closed}
		p.clients[address] = c
	}
	return c
}

// Remove closes the client of an address that is no longer used and removes it
// from the pool. Later calls of that client fail with fault.KindUnavailable.
func (p *ClientPool) Remove(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Close closes all clients. Later calls fail with fault.KindUnavailable.
func (p *ClientPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.close()
	}
}

// Client calls the daemon at one address. It is safe for concurrent use.
type Client struct {
	settings
	address            string
	mu                 sync.Mutex
	conn               *grpc.ClientConn
	closed             bool
	successiveTimeouts atomic.Int32
}

// Address returns the IP address and port of the daemon.
func (c *Client) Address() string { return c.address }

// Reset closes the connection, so that the next call opens a new one. Running
// calls fail.
func (c *Client) Reset() {
	c.mu.Lock()
	old := c.conn
	c.conn = nil
	c.mu.Unlock()
	c.successiveTimeouts.Store(0)
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

// connection returns the current connection and creates one if there is none.
func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, context.Canceled // Call turns it into fault.KindUnavailable
	}
	if c.conn != nil {
		return c.conn, nil
	}
	created, err := grpc.NewClient("passthrough:///"+c.address, c.options()...)
	if err != nil {
		return nil, err
	}
	c.conn = created
	return created, nil
}

func (c *Client) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDisableHealthCheck(),
		grpc.WithStatsHandler(statsHandler{c.counters}),
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
	connection, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: connection, counters: c.counters}, nil
}

// Call sends q and waits for the answer until ctx ends. An error of the handler
// keeps its kind. Otherwise the error has the kind fault.KindUnavailable if the
// request was certainly not sent, fault.KindUnknown if it may have run, fault.KindMissing
// if the other host does not have the method, or fault.KindInvalid if a message
// is too large or could not be encoded or decoded.
func Call[Q, A any](ctx context.Context, c *Client, method string, q *Q) (*A, error) {
	conn, err := c.connection()
	if err != nil {
		return nil, fromStatus(method, err, nil, false)
	}
	var sent atomic.Bool
	var trailer metadata.MD
	a := new(A)
	err = conn.Invoke(context.WithValue(ctx, sentFlagKey{}, &sent), "/"+serviceName+"/"+method, q, a, grpc.Trailer(&trailer))
	c.replaceIfSilent(err, conn)
	if err != nil {
		return nil, fromStatus(method, err, trailer, sent.Load())
	}
	return a, nil
}

// replaceIfSilent closes the connection if successive calls on it timed out, so
// that the next call opens a new one. An open connection can stop delivering
// answers for good while new connections work.
func (c *Client) replaceIfSilent(err error, used *grpc.ClientConn) {
	if !isTimeout(err) {
		c.successiveTimeouts.Store(0)
		return
	}
	if c.successiveTimeouts.Add(1) < maxSuccessiveTimeouts {
		return
	}
	c.mu.Lock()
	same := c.conn == used
	c.mu.Unlock()
	if same {
		c.Reset()
	}
}
