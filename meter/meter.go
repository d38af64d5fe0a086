// Package meter provides the daemon's metrics: a tally scope whose metrics are
// served over HTTP in the Prometheus text format.
//
// # Usage
//
//	m := meter.New()
//	defer m.Close()
//	m.Scope().Counter("requests").Inc(1)
//	...
//	handler := m.FastHTTPHandler() // for /metrics
package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is the time between two reports of tally's values to the Prometheus
// registry, and thus the maximum age of a value that is served.
const reportInterval = time.Second

// Meter holds the root scope and the HTTP handlers of one daemon's metrics.
type Meter struct {
	scope           tally.Scope
	closer          io.Closer
	fasthttpHandler fasthttp.RequestHandler
	stdHandler      http.Handler
}

// New returns a meter without metrics. Close stops its reporting.
func New() *Meter {
	// Each meter has its own registry, because several daemons run in one
	// process in tests.
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "rhubarbdrift",
		CachedReporter:  r,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, fasthttpHandler: fasthttpadaptor.NewFastHTTPHandler(r.HTTPHandler()), stdHandler: r.HTTPHandler()}
}

// Scope returns the root scope. The names of its metrics have the prefix
// rhubarbdrift.
func (m *Meter) Scope() tally.Scope { return m.scope }

// FastHTTPHandler returns the metrics handler for fasthttp.
func (m *Meter) FastHTTPHandler() fasthttp.RequestHandler { return m.fasthttpHandler }

// NetHTTPHandler returns the metrics handler for net/http.
func (m *Meter) NetHTTPHandler() http.Handler { return m.stdHandler }

// Close stops the periodic reports to the registry.
func (m *Meter) Close() error { return m.closer.Close() }
