package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/budget"
)

const (
	// refusalTime is how long before the end of a stop the requests that have not
	// arrived completely are refused.
	refusalTime = 300 * time.Millisecond
	// silentTime is how long, during a stop, a connection on which no request has
	// arrived yet stays open: its caller is about to send one.
	silentTime = time.Second
	// backlogTime is how long, at the start of a stop, the connections are accepted
	// that the system has already opened.
	backlogTime = 50 * time.Millisecond
	// stopPoll is how often a stop checks whether all connections have ended.
	stopPoll = 10 * time.Millisecond
	// acceptRetry is the pause after a failed accept, such as one without a free
	// file descriptor.
	acceptRetry = 20 * time.Millisecond
)

// Limits bounds what the server accepts and reads ahead on a connection.
type Limits struct {
	HeaderBytes   int           // size of the header of a request
	HeaderTimeout time.Duration // time for the header of a request, from its first byte
	IdleTimeout   time.Duration // time without a request, and between two parts of a body
	Requests      int           // requests of a connection that are worked on at the same time
	Bytes         int           // bytes of these requests, and of responses that wait for earlier ones
	Connections   int           // connections of all callers; 0: no limit
}

// Server serves HTTP/1.1 to callers.
type Server struct {
	handler http.Handler
	limits  Limits
	log     zerolog.Logger
	metrics serverMetrics
	account *budget.Account // nil: memory is not bounded
	// searched is when makeRoom found nothing; used by the accepting goroutine.
	searched time.Time

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopped  bool          // Shutdown or Close was called
	accepted chan struct{} // closed when no more connections are accepted; nil before Serve
}

type serverMetrics struct {
	connections tally.Gauge
	behind      tally.Counter
	held        tally.Counter
	malformed   tally.Counter
	dropped     tally.Counter
	shed        tally.Counter
	left        tally.Counter
}

// Option configures a Server.
type Option func(*Server)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithMeter sets the scope in which metrics are registered.
func WithMeter(m tally.Scope) Option { return func(s *Server) { s.metrics = newMetrics(m) } }

// WithAccount sets the account for the memory of connections and requests.
func WithAccount(a *budget.Account) Option { return func(s *Server) { s.account = a } }

// New returns a server that hands requests to the handler.
func New(handler http.Handler, limits Limits, options ...Option) *Server {
	s := &Server{handler: handler, limits: limits, log: zerolog.Nop(), metrics: newMetrics(tally.NoopScope), conns: make(map[*conn]struct{})}
	for _, o := range options {
		o(s)
	}
	return s
}

func newMetrics(m tally.Scope) serverMetrics {
	m = m.SubScope("callers")
	return serverMetrics{
		connections: m.Gauge("connections"),
		behind:      m.Counter("requests_behind"),
		held:        m.Counter("reads_held"),
		malformed:   m.Counter("malformed"),
		dropped:     m.Counter("connections_refused"),
		shed:        m.Counter("idle_closed"),
		left:        m.Counter("left_unread"),
	}
}

// Serve accepts connections until the listener fails, Shutdown or Close. In the latter
// two cases it returns http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = ln.Close()
		return http.ErrServerClosed
	}
	s.listener, s.accepted = ln, make(chan struct{})
	s.mu.Unlock()
	defer close(s.accepted)
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.open(nc)
		case s.isStopped():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			s.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(acceptRetry)
		}
	}
}

func (s *Server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// open serves a new connection, or closes it if there are too many or their memory is used
// up, and none of them can be closed instead.
func (s *Server) open(nc net.Conn) {
	c := newConn(s, nc)
	if !s.admit(c) {
		s.metrics.dropped.Inc(1)
		c.owner.Close()
		_ = nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.metrics.connections.Update(float64(len(s.conns)))
	s.mu.Unlock()
	go func() {
		c.serve()
		c.buffers.Release()
		c.owner.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.metrics.connections.Update(float64(len(s.conns)))
	}()
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown stops accepting connections, closes the idle ones and waits until all others
// have ended. Requests that still arrive are handed to the handler, which should refuse
// those that it can't finish in time. Shortly before the deadline of ctx, requests that
// have not arrived completely are refused. If ctx ends first, Shutdown returns its error.
func (s *Server) Shutdown(ctx context.Context) error {
	start := time.Now()
	s.closeListener()
	if deadline, ok := ctx.Deadline(); ok {
		final := time.AfterFunc(time.Until(deadline.Add(-refusalTime)), func() {
			for _, c := range s.all() {
				c.refuseIncomplete()
			}
		})
		defer final.Stop()
	}
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	for {
		open := s.all()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.closeIfIdle(time.Since(start) >= silentTime)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
}

// closeListener accepts the connections that wait in the listener's backlog and closes
// it.
func (s *Server) closeListener() {
	s.mu.Lock()
	ln, accepted := s.listener, s.accepted
	if ln == nil || s.stopped {
		s.stopped = true
		s.mu.Unlock()
		return
	}
	s.stopped = true
	s.mu.Unlock()
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(backlogTime)) == nil {
		<-accepted
	}
	_ = ln.Close()
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	stopped, ln := s.stopped, s.listener
	s.stopped = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.abort()
	}
	if ln == nil || stopped {
		return nil
	}
	return ln.Close()
}

// all returns the open connections.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}
