package wire

import (
	"context"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Count is the traffic of one method. Bytes are those of the encoded messages
// with gRPC's five bytes of framing each, without HTTP/2 headers. Messages that
// do not decode are left out.
type Count struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
}

// Counters count the traffic of servers and pools that share them.
type Counters struct {
	mu       sync.Mutex
	methods  map[string]Count
	sent     atomic.Uint64
	received atomic.Uint64
}

// NewCounters returns counters at zero.
func NewCounters() *Counters { return &Counters{methods: make(map[string]Count)} }

// Methods returns the traffic of each method.
func (c *Counters) Methods() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.methods)
}

// Bytes returns the bytes sent and received on all connections, including the
// HTTP/2 framing but without TCP/IP headers.
func (c *Counters) Bytes() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

func (c *Counters) add(method string, d Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.methods[method]
	m.MessagesSent += d.MessagesSent
	m.MessagesReceived += d.MessagesReceived
	m.BytesSent += d.BytesSent
	m.BytesReceived += d.BytesReceived
	c.methods[method] = m
}

type methodKey struct{}

// sentKey finds the flag that is set when the request leaves this host.
type sentKey struct{}

// counted implements gRPC's stats interface.
type counted struct{ counters *Counters }

// TagRPC remembers the method's name.
func (counted) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, strings.TrimPrefix(i.FullMethodName, "/"+serviceName+"/"))
}

// HandleRPC counts messages and marks requests as sent.
func (h counted) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.OutHeader:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	case *stats.InPayload:
		h.counters.add(method, Count{MessagesReceived: 1, BytesReceived: uint64(s.WireLength)})
	case *stats.OutPayload:
		h.counters.add(method, Count{MessagesSent: 1, BytesSent: uint64(s.WireLength)})
	}
}

// TagConn does nothing.
func (counted) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (counted) HandleConn(context.Context, stats.ConnStats) {}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	counters *Counters
}

// Read counts what it reads.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Add(uint64(n))
	return n, err
}

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	counters *Counters
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{Conn: c, counters: l.counters}, nil
}
