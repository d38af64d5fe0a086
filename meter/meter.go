// Package meter provides the daemon's metrics: a tally scope whose values are
// served as a page in the Prometheus text format.
//
// # Usage
//
//	m := meter.New()
//	defer m.Close()
//	m.Scope().Counter("requests").Inc(1)
//	...
//	page := m.Handler() // for /metrics
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

// interval is how often tally passes its values to the page.
const interval = time.Second

// Meter holds the root scope and the page of one daemon.
type Meter struct {
	scope  tally.Scope
	closer io.Closer
	page   fasthttp.RequestHandler
	plain  http.Handler
}

// New returns a meter without values.
func New() *Meter {
	// An own registry keeps the meters of several daemons in one test apart.
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "rhubarbdrift",
		CachedReporter:  r,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, interval)
	return &Meter{scope: scope, closer: closer, page: fasthttpadaptor.NewFastHTTPHandler(r.HTTPHandler()), plain: r.HTTPHandler()}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler serves the metrics page.
func (m *Meter) Handler() fasthttp.RequestHandler { return m.page }

// Page serves the metrics page with the standard library's server.
func (m *Meter) Page() http.Handler { return m.plain }

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }
