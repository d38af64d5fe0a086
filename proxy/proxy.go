package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// Protocol holds the header names and value formats of the callers' protocol.
type Protocol struct {
	Request  string // request header: the request ID
	Deadline string // request header: the caller's timeout in milliseconds
	Customer string // header to targets: the customer ID
	Key      string // request header: the API key, removed before sending
	// ParseKey extracts the key from the value of the header Key.
	ParseKey func(value string) (key string, ok bool)
	Load     string // response header: the target's load
	// ParseLoad parses the number of requests that the target runs and queues.
	ParseLoad       func(value string) (load float64, ok bool)
	InternalHeaders []string // response headers that are removed before callers receive the response
}

// Limiter enforces the rate limits and retry budgets shared by all daemons.
type Limiter interface {
	// Admit decides on a request of a customer. If it is refused, retryDelay is the
	// delay after which a retry may succeed.
	Admit(now time.Time, c *model.Customer) (retryDelay time.Duration, ok bool)
	// Cancel puts back the token of an admitted request that was not sent.
	Cancel(c *model.Customer)
	// CountRequest counts the first send of a request to a pool.
	CountRequest(id model.PoolID)
	// Retry reports whether a retry is allowed that leaves the share keepShare of
	// the pool's full retry budget to others, and counts it if so.
	Retry(id model.PoolID, keepShare float64) bool
}

// Exchanger sends one request to one target. It is implemented by package exch.
type Exchanger interface {
	Do(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response) exch.Outcome
	// DoNonRepeatable is Do for requests that must not be repeated.
	DoNonRepeatable(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response) exch.Outcome
}

// Dependencies holds the dependencies of a Proxy.
type Dependencies struct {
	Protocol Protocol
	Snapshot func() *conf.Snapshot // returns nil before the first configuration
	// ConfigAge returns the time since the configuration was last known to be the newest.
	ConfigAge func() time.Duration
	// MaxKeyAge is the age of the configuration above which keys are not accepted.
	MaxKeyAge time.Duration
	// ConfigOutdated reports whether a newer configuration should be in force here; nil: never.
	ConfigOutdated func() bool
	// RefusedConfig returns a newer configuration that this host cannot use, or nil; for
	// explanations. May be nil.
	RefusedConfig func() *RefusedConfig
	Limiter       Limiter
	Balancer      *place.Balancer
	Exchange      Exchanger
	// Hedges decides on hedged requests; nil: they are sent at slowShare of the objective,
	// within the retry budget.
	Hedges *hedge.Set
	// ReportObservation reports an observation to the other daemons. A negative load is unknown.
	ReportObservation func(id model.TargetID, s health.Observation, load float64)
	// ReportRequests reports to them the numbers of requests sent to a target and ended there.
	ReportRequests func(id model.TargetID, sent, ended uint32)
	// ReportLeaving reports to them that the incarnation of a target that started at
	// startedAt, in Unix milliseconds, said that it leaves.
	ReportLeaving func(id model.TargetID, startedAt int64)
	// ReportLimit reports to them the limit that a target named, in requests per second of
	// all daemons, or with limited unset that it names none any more.
	ReportLimit func(id model.TargetID, limited bool, limit model.Rate)
}

// Proxy is the HTTP handler of callers' requests.
type Proxy struct {
	deps         Dependencies
	log          zerolog.Logger
	metrics      proxyMetrics
	requestStats requestStats
	// regionsLogged is the configuration for which requests without an allowed target were logged.
	regionsLogged versionMark
	running       atomic.Int64
	drainOnce     sync.Once
	answerBy      atomic.Pointer[time.Time] // during a planned stop: when all requests must have been answered; nil: no stop
	stopped       chan struct{}             // closed at that time
}

type proxyMetrics struct {
	scope   tally.Scope
	retries tally.Counter
	// regionRefusals counts requests that no target may serve because of allowed regions.
	regionRefusals tally.Counter
	// evacuationRefusals counts requests whose targets are all in evacuated failure domains.
	evacuationRefusals tally.Counter
	// coldRefusals counts requests that were refused while all targets of their pool that
	// take requests were cold.
	coldRefusals tally.Counter
	sends        [place.TierCount]tally.Counter    // by the distance of the target
	hedges       [hedge.RefusalCount]tally.Counter // decisions; those of hedge.Allowed were sent
	won          tally.Counter                     // hedged requests whose response was delivered
	latency      tally.Histogram
	running      tally.Gauge
}

// Option configures a Proxy.
type Option func(*Proxy)

// WithLog sets the logger. A Proxy writes one line for each request, and one for
// each exchange that did not succeed in time.
func WithLog(l zerolog.Logger) Option { return func(p *Proxy) { p.log = l } }

// WithMeter sets the scope in which metrics are registered.
func WithMeter(s tally.Scope) Option { return func(p *Proxy) { p.metrics = newMetrics(s) } }

// New returns a Proxy. Without options it neither logs nor records metrics.
func New(deps Dependencies, options ...Option) *Proxy {
	p := &Proxy{deps: deps, log: zerolog.Nop(), metrics: newMetrics(tally.NoopScope), stopped: make(chan struct{})}
	for _, o := range options {
		o(p)
	}
	return p
}

// latencyFirst and latencyCount define the buckets of the latency histogram: 10 ms,
// doubled nine times.
const (
	latencyFirst = 10 * time.Millisecond
	latencyCount = 10
)

func newMetrics(s tally.Scope) proxyMetrics {
	s = s.SubScope("proxy")
	var sends [place.TierCount]tally.Counter
	for tier := range place.TierCount {
		sends[tier] = s.Tagged(map[string]string{"distance": tier.String()}).Counter("sends")
	}
	var hedges [hedge.RefusalCount]tally.Counter
	for r := range hedge.RefusalCount {
		if r == hedge.Allowed {
			hedges[r] = s.Counter("hedges_sent")
		} else {
			hedges[r] = s.Tagged(map[string]string{"reason": r.String()}).Counter("hedges_refused")
		}
	}
	return proxyMetrics{
		scope:   s,
		sends:   sends,
		hedges:  hedges,
		won:     s.Counter("hedges_won"),
		retries: s.Counter("retries"),

		coldRefusals:       s.Counter("cold_refusals"),
		regionRefusals:     s.Counter("region_refusals"),
		evacuationRefusals: s.Counter("evacuation_refusals"),
		latency:            s.Histogram("latency", tally.MustMakeExponentialDurationBuckets(latencyFirst, 2, latencyCount)),
		running:            s.Gauge("running"),
	}
}

// Drain begins a planned stop. All further responses close their connections. A request
// whose deadline is after answerBy is refused before it is sent to a target, since it may
// not end in time. Requests that still run at answerBy are answered then, although a
// target may have run them.
func (p *Proxy) Drain(answerBy time.Time) {
	p.drainOnce.Do(func() {
		p.answerBy.Store(&answerBy)
		time.AfterFunc(time.Until(answerBy), func() { close(p.stopped) })
	})
}

// hasStopped reports whether the time for answers in a planned stop has passed.
func (p *Proxy) hasStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

// Running returns the number of requests that have not been answered yet.
func (p *Proxy) Running() int64 { return p.running.Load() }

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the caller
// closed the connection.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.metrics.running.Update(float64(p.running.Add(1)))
	defer func() { p.metrics.running.Update(float64(p.running.Add(-1))) }()
	c := newCall(p, r)
	resp := c.serve()
	if p.answerBy.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if resp == nil {
		c.logRequest("left", 0)
		// The caller closed the connection, so a response would not be read.
		panic(http.ErrAbortHandler)
	}
	resp.write(w)
	c.logRequest(resp.kind, resp.status)
}
