package gate

import (
	"context"
	"errors"
	"runtime/debug"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/logs"
	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

const (
	// maxBodyBytes is the largest request body of any route.
	maxBodyBytes = 16 << 20
	// maxHeaderBytes is the largest size of a request's headers.
	maxHeaderBytes = 16 << 10
	// idleTimeout is the time after which an idle caller connection is closed.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds the time that a caller takes to send a request.
	readTimeout = 30 * time.Second
	// pollInterval is the period at which Wait checks for running requests, and
	// at which a request without a target tries again, since not every slot that
	// becomes available is announced.
	pollInterval = 20 * time.Millisecond
)

// Gate serves callers over HTTP. Its methods may be called concurrently.
type Gate struct {
	deps           Dependencies
	budget         *retry.Budget
	usageCounters  usageCounters
	log            zerolog.Logger
	counters       counters
	maxConnections int // of callers; 0 for fasthttp's default
	draining       atomic.Bool
	running        atomic.Int64
	conns          *connections // nil: connections and memory are not bounded
}

type counters struct {
	scope   tally.Scope
	answers tally.Counter
	retries tally.Counter
	broken  tally.Counter
	running tally.Gauge
}

// Option sets an option of a Gate.
type Option func(*Gate)

// WithLog sets the logger. By default nothing is logged.
func WithLog(l zerolog.Logger) Option {
	return func(g *Gate) { g.log = l }
}

// WithMeter sets the parent scope of the metrics. By default there are none.
func WithMeter(s tally.Scope) Option {
	return func(g *Gate) { g.counters = newCounters(s) }
}

// WithConnections sets the largest number of concurrent caller connections. The
// default is that of fasthttp.
func WithConnections(n int) Option {
	return func(g *Gate) { g.maxConnections = n }
}

// WithAccount sets the account for the memory that callers take, and the largest number of
// their connections, which has precedence over that of WithConnections. Both need the
// connections of Listener.
func WithAccount(a *budget.Account, connectionLimit int) Option {
	return func(g *Gate) {
		g.conns = &connections{account: a, limit: connectionLimit, open: make(map[*callerConn]struct{})}
		g.maxConnections = connectionLimit + connectionLimit/8 + 1 // see connections.admit
	}
}

// Connections returns the number of connections of callers, if they are bounded.
func (g *Gate) Connections() int {
	if g.conns == nil {
		return 0
	}
	return g.conns.count()
}

// New returns a Gate for the given dependencies.
func New(deps Dependencies, options ...Option) *Gate {
	g := &Gate{
		deps:     deps,
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
		answers: s.Counter("answers"),
		retries: s.Counter("retries"),
		broken:  s.Counter("broken"),
		running: s.Gauge("running"),
	}
}

// Server returns a new HTTP server that handles requests with the Gate.
func (g *Gate) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            g.handle,
		ErrorHandler:       g.handleMalformed,
		MaxRequestBodySize: maxBodyBytes,
		// Bodies are read by call.readBody, once their memory is reserved.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ConnState:                    g.connState,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  g.maxConnections,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		Logger:                       logs.Discard{},
	}
}

// Drain makes every further answer close its connection, so that callers connect
// to other daemons.
func (g *Gate) Drain() { g.draining.Store(true) }

// Wait waits until no request is running or ctx ends, whose error it then
// returns.
func (g *Gate) Wait(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
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
	g.addRunning()
	defer g.removeRunning()
	defer g.recoverRequest(ctx)
	c := &call{gate: g, ctx: ctx, start: time.Now()}
	c.memoryUsers.Store(1)
	defer c.endHandler()
	if refused := c.serve(); refused != nil {
		g.refuse(ctx, refused)
	}
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// recoverRequest answers a request whose handling panicked, so that one request does not end
// the process.
func (g *Gate) recoverRequest(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	g.log.Error().Any("cause", cause).Str("stack", string(debug.Stack())).Msg("request failed")
	g.refuse(ctx, refuse.New(refuse.KindTarget, refuse.Unknown, "an unexpected error", "ask for the state before sending the request again"))
	ctx.SetConnectionClose()
}

// addRunning counts a request or an exchange as running. Exchanges count on their
// own because an answer may still be streaming after its request was handled.
func (g *Gate) addRunning() { g.counters.running.Update(float64(g.running.Add(1))) }

func (g *Gate) removeRunning() { g.counters.running.Update(float64(g.running.Add(-1))) }

// refuse replaces the answer with the refusal and counts it.
func (g *Gate) refuse(ctx *fasthttp.RequestCtx, r *refuse.Refusal) {
	r.Write(&ctx.Response)
	g.counters.scope.Tagged(map[string]string{"kind": string(r.Kind), "run": string(r.Run)}).Counter("refused").Inc(1)
	if r.Kind == refuse.KindBad || r.Kind == refuse.KindLarge {
		// After a malformed or oversized request the start of the next one on the
		// connection is uncertain.
		ctx.SetConnectionClose()
	}
}

// handleMalformed answers requests that the server's parser rejects.
func (g *Gate) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
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
