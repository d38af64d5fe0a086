package entry

import (
	"context"
	"net/http"
	"time"

	"rhubarbdrift.example/serve"
)

const (
	// balancerTime is how long the balancer may still send new connections after
	// this host has said that it is not ready: two questions, a second apart.
	balancerTime = 2300 * time.Millisecond
	// exitTime is kept at the end of a planned stop for leaving the lists.
	exitTime = 400 * time.Millisecond
	// partEvery is how often the part of the fleet that is heard is computed.
	partEvery = 50 * time.Millisecond
	// metricsPath is that of the metrics; every other path on the address is
	// the balancer's question.
	metricsPath = "/metrics"
)

// stop makes the planned stop: it leaves the balancer, finishes what runs and
// leaves the lists.
func (e *Entry) stop() {
	start := time.Now()
	e.stopping.Store(true)
	e.proxy.Drain()
	e.log.Info().Dur("grace", e.settings.Grace).Int64("running", e.proxy.Running()).Msg("planned stop started")
	time.Sleep(balancerTime)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(e.settings.Grace-exitTime))
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Int64("running", e.proxy.Running()).Msg("requests were still running at the end of the grace")
	}
	leave, done := context.WithTimeout(context.Background(), exitTime/2)
	defer done()
	e.hosts.Leave(leave)
}

// isReady reports whether the balancer should send callers here.
func (e *Entry) isReady() bool {
	now := !e.stopping.Load() && e.holder.Current() != nil && e.joined.Load() && len(e.targets.Set()) > 0 && e.config.Age() < leaveAge
	if e.ready.Swap(now) != now {
		e.log.Info().Bool("ready", now).Bool("stopping", e.stopping.Load()).Dur("age", e.config.Age()).
			Int("pools", len(e.targets.Set())).Msg("readiness changed")
	}
	return now
}

// readiness serves the balancer's question and the metrics.
func (e *Entry) readiness() *serve.Standard {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, e.meter.Page())
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &serve.Standard{Name: "ready", Address: e.settings.Ready, Log: e.log, Server: &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, ErrorLog: serve.Discard(),
	}}
}

// Reload takes settings that were read again. The addresses of a running
// process cannot change; the bounds apply to a new process.
func (e *Entry) Reload(next *Settings, err error) {
	if err != nil {
		e.log.Error().Err(err).Msg("settings not reloaded; the old ones stay in force")
		return
	}
	changed := next.Callers != e.settings.Callers || next.Ready != e.settings.Ready || next.Peers != e.settings.Peers || next.Store != e.settings.Store
	e.log.Info().Bool("addresses_changed", changed).Msg("settings reloaded")
}
