package gate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/logs"
	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

const (
	// maxBody is the largest request body of any route in bytes.
	maxBody = 16 << 20
	// headerBuffer is the largest size of a request's headers in bytes.
	headerBuffer = 16 << 10
	// idleTimeout closes a caller's connection without requests.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds the time in which a caller must send a request.
	readTimeout = 30 * time.Second
	// waitStep is how often Wait looks for running requests, and a request for
	// a slot whose return is not announced.
	waitStep = 20 * time.Millisecond
)

// Gate serves callers.
type Gate struct {
	parts    Parts
	budget   *retry.Budget
	usages   usages
	log      zerolog.Logger
	counters counters
	limit    int // caller connections
	draining atomic.Bool
	running  atomic.Int64
}

type counters struct {
	scope   tally.Scope
	whole   tally.Counter
	retries tally.Counter
	broken  tally.Counter
	running tally.Gauge
}

// Option sets an optional property of a Gate.
type Option func(*Gate)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(g *Gate) { g.log = l }
}

// WithMeter sets the scope of the metrics.
func WithMeter(s tally.Scope) Option {
	return func(g *Gate) { g.counters = newCounters(s) }
}

// WithConnections sets the largest number of caller connections.
func WithConnections(n int) Option {
	return func(g *Gate) { g.limit = n }
}

// New returns a gate.
func New(parts Parts, options ...Option) *Gate {
	g := &Gate{
		parts:    parts,
		budget:   retry.NewBudget(),
		log:      zerolog.Nop(),
		counters: newCounters(tally.NoopScope),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

func newCounters(s tally.Scope) counters {
	s = s.SubScope("gate")
	return counters{
		scope:   s,
		whole:   s.Counter("answers"),
		retries: s.Counter("retries"),
		broken:  s.Counter("broken"),
		running: s.Gauge("running"),
	}
}

// Server returns a server for the callers' address.
func (g *Gate) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.handle,
		ErrorHandler:          g.malformed,
		MaxRequestBodySize:    maxBody,
		ReadBufferSize:        headerBuffer,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           g.limit,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                logs.Quiet{},
	}
}

// Drain makes all further answers close their connections, so that callers
// connect to other daemons.
func (g *Gate) Drain() { g.draining.Store(true) }

// Wait waits until no request is running or ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	t := time.NewTicker(waitStep)
	defer t.Stop()
	for g.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func (g *Gate) handle(ctx *fasthttp.RequestCtx) {
	g.begin()
	defer g.end()
	c := &call{gate: g, ctx: ctx, start: time.Now()}
	if refused := c.serve(); refused != nil {
		g.refuse(ctx, refused)
	}
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// begin counts a request, or an exchange whose answer is still streaming
// after its request was handled.
func (g *Gate) begin() { g.counters.running.Update(float64(g.running.Add(1))) }

func (g *Gate) end() { g.counters.running.Update(float64(g.running.Add(-1))) }

func (g *Gate) refuse(ctx *fasthttp.RequestCtx, r *refuse.Refusal) {
	r.Write(&ctx.Response)
	g.counters.scope.Tagged(map[string]string{"kind": string(r.Kind), "run": string(r.Run)}).Counter("refused").Inc(1)
	if r.Kind == refuse.KindBad || r.Kind == refuse.KindLarge {
		// What follows on the connection cannot be trusted to be a request.
		ctx.SetConnectionClose()
	}
}

// malformed answers requests that the server's parser refuses.
func (g *Gate) malformed(ctx *fasthttp.RequestCtx, err error) {
	r := refuse.New(refuse.KindBad, refuse.NotRun, "the request is malformed", "send a valid HTTP/1.1 request")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = refuse.New(refuse.KindLarge, refuse.NotRun, "the request body is too large", "send a smaller body")
	case errors.As(err, &small):
		r = refuse.New(refuse.KindLarge, refuse.NotRun, "the request headers are too large", "send smaller headers")
		r.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	g.refuse(ctx, r)
}
