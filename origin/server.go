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
	// DefaultSlots is the number of requests executed at once.
	DefaultSlots model.Slots = 6
	// DefaultConnections is the largest number of open connections.
	DefaultConnections = 330
)

// headerTimeout is the time allowed for a request header after its first byte.
const headerTimeout = 10 * time.Second

// Option changes a setting of a Server.
type Option func(*Server)

// WithName sets the name that the header Rhubarbdrift-Target carries.
func WithName(id model.TargetID) Option { return func(s *Server) { s.name = id } }

// WithSlots sets the number of requests executed at once; others are shed.
func WithSlots(n model.Slots) Option { return func(s *Server) { s.slots = n } }

// WithConnections sets the largest number of connections; others are closed at once.
func WithConnections(n int) Option { return func(s *Server) { s.cap = int64(n) } }

// WithWork sets the time that executing a request takes.
func WithWork(d time.Duration) Option { return func(s *Server) { s.work = d } }

// WithCold makes the work of a request take factor times as long at the
// start, decreasing evenly to normal over the duration.
func WithCold(d time.Duration, factor float64) Option {
	return func(s *Server) { s.cold, s.factor = d, factor }
}

// WithFaults sets the faults at the start.
func WithFaults(f Faults) Option { return func(s *Server) { s.faults.Store(&f) } }

// WithSeed sets the seed of the choice of requests that shares of faults apply to.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Server is a stand-in target.
type Server struct {
	name   model.TargetID
	slots  model.Slots
	cap    int64
	work   time.Duration
	cold   time.Duration
	factor float64

	http    *http.Server
	halt    chan struct{} // closed by Stop, ends stalled requests
	once    sync.Once
	faults  atomic.Pointer[Faults]
	busy    atomic.Int64
	open    atomic.Int64
	born    atomic.Int64 // start of the cold start, nanoseconds since 1970
	epoch   atomic.Int64 // connections of an earlier epoch are silent
	mu      sync.Mutex
	random  *rand.Rand
	last    status
	journal journal
}

// New returns a target that is not serving yet.
func New(options ...Option) *Server {
	s := &Server{
		name:   "target",
		slots:  DefaultSlots,
		cap:    DefaultConnections,
		halt:   make(chan struct{}),
		random: rand.New(rand.NewPCG(1, 0)),
	}
	s.faults.Store(new(Faults))
	for _, o := range options {
		o(s)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       s.context,
		ConnState:         s.count,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return s
}

// Serve accepts connections until Stop is called, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	s.Chill()
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop stops accepting and waits for running requests. Stalled requests end
// at once. If ctx ends first, the remaining connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	s.once.Do(func() { close(s.halt) })
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}

// Set replaces the faults. A mistake in them is an error of kind fault.KindInvalid.
func (s *Server) Set(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.faults.Store(&f)
	return nil
}

// Silence lets all connections that are open now go silent. New ones work.
func (s *Server) Silence() { s.epoch.Add(1) }

// Chill starts the cold start again.
func (s *Server) Chill() { s.born.Store(time.Now().UnixNano()) }

// Executions returns the requests that were executed.
func (s *Server) Executions() Executions { return s.journal.list() }

// Busy returns the number of slots in use.
func (s *Server) Busy() model.Slots { return model.Slots(s.busy.Load()) }

type epochKey struct{}

func (s *Server) context(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, epochKey{}, s.epoch.Load())
}

// count enforces the connection cap.
func (s *Server) count(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.open.Add(1) > s.cap {
			_ = nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// duration returns the time of work, which is longer during the cold start.
func (s *Server) duration() time.Duration {
	age := time.Since(time.Unix(0, s.born.Load()))
	if age >= s.cold {
		return s.work
	}
	rest := 1 - float64(age)/float64(s.cold)
	return time.Duration(float64(s.work) * (1 + (s.factor-1)*rest))
}

func (s *Server) draw(f *Faults) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.draw(s.random.Float64())
}
