package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// Words are the names and formats of the callers' protocol.
type Words struct {
	Request  string // header: the request's id
	Deadline string // header: the time that the caller waits, in milliseconds
	Customer string // header: tells the target the customer
	Key      string // header: carries the key and is removed
	// KeyOf returns the key in the value of the key's header.
	KeyOf func(value string) (key string, ok bool)
	Load  string // header of answers: the target's load
	// LoadOf returns the requests that the target runs and queues.
	LoadOf func(value string) (load float64, ok bool)
	Run    []string // headers of answers that are not for callers
}

// Limiter holds the limits that all daemons share.
type Limiter interface {
	// Admit decides on a request of a customer. Cancel gives it back.
	Admit(now time.Time, c *model.Customer) (wait time.Duration, ok bool)
	Cancel(c *model.Customer)
	// Request counts the first send to a pool.
	Request(id model.PoolID)
	// Retry takes one repeated send, and keeps a share of the reserve.
	Retry(id model.PoolID, keep float64) bool
}

// Exchanger sends one request to one target. Package exch implements it.
type Exchanger interface {
	Do(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response) exch.Outcome
	// DoOnce is for requests that may not be repeated.
	DoOnce(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response) exch.Outcome
}

// Parts are what the proxy brings together.
type Parts struct {
	Words    Words
	Snapshot func() *conf.Snapshot // nil before the first configuration
	// Age is how long ago the newest configuration was certainly known.
	Age func() time.Duration
	// KeyLimit is the age from which on keys may not be used.
	KeyLimit time.Duration
	Limiter  Limiter
	Field    *place.Field
	Exchange Exchanger
	// See tells the other daemons what an exchange showed; load is negative if unknown.
	See func(id model.TargetID, s grade.Sight, load float64)
	// Moved tells them of requests that were sent to a target, or ended there.
	Moved func(id model.TargetID, sent, ended uint32)
}

// Proxy is the handler of callers' requests.
type Proxy struct {
	parts    Parts
	log      zerolog.Logger
	meter    meters
	sizes    sizes
	draining atomic.Bool
	running  atomic.Int64
}

type meters struct {
	scope   tally.Scope
	retries tally.Counter
	latency tally.Histogram
	running tally.Gauge
}

// Option sets an optional property of a Proxy.
type Option func(*Proxy)

// WithLog sets the logger of one line for each request.
func WithLog(l zerolog.Logger) Option { return func(p *Proxy) { p.log = l } }

// WithMeter sets the scope of the metrics.
func WithMeter(s tally.Scope) Option { return func(p *Proxy) { p.meter = newMeters(s) } }

// New returns a proxy.
func New(parts Parts, options ...Option) *Proxy {
	p := &Proxy{parts: parts, log: zerolog.Nop(), meter: newMeters(tally.NoopScope)}
	for _, o := range options {
		o(p)
	}
	return p
}

// latencyFirst and latencyCount are the histogram's buckets: 10 ms, doubled
// nine times.
const (
	latencyFirst = 10 * time.Millisecond
	latencyCount = 10
)

func newMeters(s tally.Scope) meters {
	s = s.SubScope("proxy")
	return meters{
		scope:   s,
		retries: s.Counter("retries"),
		latency: s.Histogram("latency", tally.MustMakeExponentialDurationBuckets(latencyFirst, 2, latencyCount)),
		running: s.Gauge("running"),
	}
}

// Drain makes all further answers close their connections.
func (p *Proxy) Drain() { p.draining.Store(true) }

// Running returns the number of requests that are not answered yet.
func (p *Proxy) Running() int64 { return p.running.Load() }

// ServeHTTP answers one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.meter.running.Update(float64(p.running.Add(1)))
	defer func() { p.meter.running.Update(float64(p.running.Add(-1))) }()
	c := newCall(p, r)
	a := c.serve()
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if a == nil {
		c.note("left", 0)
		// The caller is gone; nothing reads an answer.
		panic(http.ErrAbortHandler)
	}
	a.write(w)
	c.note(a.kind, a.status)
}
