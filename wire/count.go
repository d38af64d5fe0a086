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

// MethodStats is the traffic of one method. The byte counts cover the encoded messages
// and gRPC's five bytes of framing for each, but no HTTP/2 headers. Received
// messages that could not be decoded are not counted.
type MethodStats struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
}

// Counters counts the traffic of the servers and pools that share it. It is safe
// for concurrent use.
type Counters struct {
	mu       sync.Mutex
	methods  map[string]MethodStats
	sent     atomic.Uint64
	received atomic.Uint64
}

// NewCounters returns counters that start at zero.
func NewCounters() *Counters { return &Counters{methods: make(map[string]MethodStats)} }

// Methods returns the traffic of each method.
func (c *Counters) Methods() map[string]MethodStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.methods)
}

// Bytes returns the bytes sent and received on all connections, including the
// HTTP/2 framing but without TCP/IP headers.
func (c *Counters) Bytes() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

func (c *Counters) add(method string, delta MethodStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.methods[method]
	total.MessagesSent += delta.MessagesSent
	total.MessagesReceived += delta.MessagesReceived
	total.BytesSent += delta.BytesSent
	total.BytesReceived += delta.BytesReceived
	c.methods[method] = total
}

// methodKey is the context key of the method's name.
type methodKey struct{}

// sentFlagKey is the context key of the flag (*atomic.Bool) that is set when the
// headers of the request are sent; the other host may run it from then on.
type sentFlagKey struct{}

// statsHandler implements gRPC's stats.Handler.
type statsHandler struct{ counters *Counters }

// TagRPC adds the method's name to the context.
func (statsHandler) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, strings.TrimPrefix(i.FullMethodName, "/"+serviceName+"/"))
}

// HandleRPC counts messages and sets the flag of requests whose headers are sent.
func (h statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.OutHeader:
		if sent, ok := ctx.Value(sentFlagKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	case *stats.InPayload:
		h.counters.add(method, MethodStats{MessagesReceived: 1, BytesReceived: uint64(s.WireLength)})
	case *stats.OutPayload:
		h.counters.add(method, MethodStats{MessagesSent: 1, BytesSent: uint64(s.WireLength)})
	}
}

// TagConn does nothing.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *Counters
}

// Read counts the bytes that it reads.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Add(uint64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *Counters
}

// Accept waits for the next connection and wraps it in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, counters: l.counters}, nil
}
