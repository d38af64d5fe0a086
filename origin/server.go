package origin

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/model"
)

// Defaults of the options.
const (
	// DefaultSlots is the number of requests that are executed concurrently.
	DefaultSlots model.Slots = 6
	// DefaultConnections is the largest number of open connections.
	DefaultConnections = 330
)

// headerTimeout limits the time for reading a request header, counted from its
// first byte.
const headerTimeout = 10 * time.Second

// Option changes a setting of a Server.
type Option func(*Server)

// WithName sets the value of the header Rhubarbdrift-Target. The default is
// "target".
func WithName(id model.TargetID) Option { return func(s *Server) { s.name = id } }

// WithSlots sets the number of requests that are executed concurrently. Requests
// beyond it are shed.
func WithSlots(n model.Slots) Option { return func(s *Server) { s.slots = n } }

// WithConnections sets the largest number of open connections. Connections beyond
// it are closed as soon as they are accepted.
func WithConnections(n int) Option { return func(s *Server) { s.maxConnections = int64(n) } }

// WithWork sets the execution time of a request. The default is 0.
func WithWork(d time.Duration) Option { return func(s *Server) { s.work = d } }

// WithColdStart configures the cold start: the execution time is coldFactor times the
// normal one at first and decreases linearly to normal over d. The default is no
// cold start.
func WithColdStart(d time.Duration, coldFactor float64) Option {
	return func(s *Server) { s.coldDuration, s.coldFactor = d, coldFactor }
}

// WithFaults sets the initial faults, which are not checked.
func WithFaults(f Faults) Option { return func(s *Server) { s.faults.Store(&f) } }

// WithSeed seeds the random choice of requests that get a fault. The default is 1.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Server is a stand-in target. Its methods are safe for concurrent use.
type Server struct {
	name           model.TargetID
	slots          model.Slots
	maxConnections int64
	work           time.Duration
	coldDuration   time.Duration
	coldFactor     float64

	http        *http.Server
	stopping    chan struct{} // closed by Stop; ends stalled requests
	stopOnce    sync.Once
	faults      atomic.Pointer[Faults]
	busy        atomic.Int64
	connections atomic.Int64
	coldSince   atomic.Int64 // start of the cold start, nanoseconds since 1970
	epoch       atomic.Int64 // connections opened in an earlier epoch are silent
	mu          sync.Mutex   // guards random and lastReport
	random      *rand.Rand
	lastReport  report
	journal     journal
}

// New returns a target with the options. Serve starts it.
func New(options ...Option) *Server {
	s := &Server{
		name:           "target",
		slots:          DefaultSlots,
		maxConnections: DefaultConnections,
		stopping:       make(chan struct{}),
		random:         rand.New(rand.NewPCG(1, 0)),
	}
	s.faults.Store(new(Faults))
	for _, o := range options {
		o(s)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       s.context,
		ConnState:         s.limitConnections,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return s
}

// Serve starts the cold start and serves connections until Stop is called. It
// returns nil after Stop, and else the error of the listener.
func (s *Server) Serve(ln net.Listener) error {
	s.RestartColdStart()
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop closes the listener, aborts requests that a fault keeps waiting and waits
// for the other running ones. If ctx ends first, it closes the remaining connections and
// returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopping) })
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}

// SetFaults replaces the faults. Invalid faults are an error of kind fault.KindInvalid
// and change nothing.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.faults.Store(&f)
	return nil
}

// SilenceConnections makes all open connections silent: their further requests get no
// response. Connections opened later work.
func (s *Server) SilenceConnections() { s.epoch.Add(1) }

// RestartColdStart restarts the cold start.
func (s *Server) RestartColdStart() { s.coldSince.Store(time.Now().UnixNano()) }

// Executions returns the executed requests since the start or the last
// DELETE /control/executions.
func (s *Server) Executions() Executions { return s.journal.list() }

// Busy returns the number of busy slots. It may briefly exceed the number of
// slots while requests are shed.
func (s *Server) Busy() model.Slots { return model.Slots(s.busy.Load()) }

// epochKey is the context key of a connection's epoch.
type epochKey struct{}

// context stores the current epoch in the context of a new connection.
func (s *Server) context(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, epochKey{}, s.epoch.Load())
}

// limitConnections counts open connections and closes new ones beyond the limit.
func (s *Server) limitConnections(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connections.Add(1) > s.maxConnections {
			_ = nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// workDuration returns the execution time of a request, which is longer during
// the cold start.
func (s *Server) workDuration() time.Duration {
	age := time.Since(time.Unix(0, s.coldSince.Load()))
	if age >= s.coldDuration {
		return s.work
	}
	remaining := 1 - float64(age)/float64(s.coldDuration)
	return time.Duration(float64(s.work) * (1 + (s.coldFactor-1)*remaining))
}

// sampleEffect draws an effect with the server's random source.
func (s *Server) sampleEffect(f *Faults) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.sampleEffect(s.random.Float64())
}
