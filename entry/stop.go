package entry

import (
	"context"
	"net/http"
	"time"

	"rhubarbdrift.example/serve"
	"rhubarbdrift.example/watch"
)

const (
	// loadBalancerDelay is how long the load balancer in front of the entry hosts may
	// still send new connections after this host reported that it is not ready: two
	// checks, a second apart.
	loadBalancerDelay = 2300 * time.Millisecond
	// answerMargin is the time between the answers to the last requests and the end of
	// their connections.
	answerMargin = 200 * time.Millisecond
	// deregisterTime is reserved at the end of a planned stop for removing this host
	// from the list of daemons.
	deregisterTime = 400 * time.Millisecond
	// shareInterval is how often the share of the limits is updated.
	shareInterval = 50 * time.Millisecond
	// metricsPath is the path of the metrics. Every other path on the address except
	// ExplainPath is the load balancer's readiness check.
	metricsPath = "/metrics"
)

// stop makes a planned stop: it waits until the load balancer sends no more callers,
// finishes running requests and removes this host from the list of daemons. Requests that
// might not end within the grace period are refused as soon as it begins.
func (e *Entry) stop() {
	end := time.Now().Add(e.settings.Grace - deregisterTime)
	e.stopping.Store(true)
	e.proxy.Drain(end.Add(-answerMargin))
	e.log.Info().Dur("grace", e.settings.Grace).Int64("running", e.proxy.Running()).Msg("planned stop started")
	time.Sleep(loadBalancerDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Int64("running", e.proxy.Running()).Msg("requests still running at the end of the grace period")
	}
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), deregisterTime/2)
	defer cancelDeregister()
	e.hosts.Deregister(deregisterCtx)
}

// listsOutdated reports whether a list that decides on targets could not be read, although the
// store answers.
func (e *Entry) listsOutdated() bool {
	return e.targets.Behind() > watch.MaxLag || e.evacuations != nil && e.evacuations.Behind() > watch.MaxLag
}

// isAlone reports whether this host hears none of the other daemons on the list.
func (e *Entry) isAlone() bool { return len(e.hosts.All()) > 1 && e.node.CountHosts() == 1 }

// othersMayServe reports whether this host cannot use the newest configuration, or cannot read a
// list, while other hosts may. If all hosts that it hears are in the same state, they stay ready:
// without any ready host, what they can still serve would stop too.
func (e *Entry) othersMayServe() bool {
	if e.config.Unusable() != nil && e.config.NewerElsewhere() {
		return true
	}
	return (e.config.Unusable() != nil || e.listsOutdated()) && e.isAlone()
}

// isReady reports whether the load balancer should send callers to this host, and logs
// each change.
func (e *Entry) isReady() bool {
	ready := !e.stopping.Load() && !e.othersMayServe() && e.holder.Current() != nil && e.shareKnown.Load() && e.balancer.Evacuation().Known && len(e.targets.Set()) > 0 && e.config.ReadAge() < unreadyAge && !e.configOutdated()
	if e.wasReady.Swap(ready) != ready {
		e.log.Info().Bool("ready", ready).Bool("stopping", e.stopping.Load()).Dur("age", e.config.Age()).
			Bool("config_usable", e.config.Unusable() == nil).Bool("lists_outdated", e.listsOutdated()).Int("pools", len(e.targets.Set())).Msg("readiness changed")
	}
	return ready
}

// readinessServer returns the server of the load balancer's readiness check, which is
// answered with status 200 or 503, and of the metrics.
func (e *Entry) readinessServer() *serve.NetHTTP {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, e.meter.NetHTTPHandler())
	mux.Handle(ExplainPath, explainHandler(e.proxy.Explain))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &serve.NetHTTP{Name: "ready", Address: e.settings.ReadyAddress, Log: e.log, Server: &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: serve.DiscardLogger(),
	}}
}

// Reload logs whether settings that were read again could be read and whether they
// change an address. Err is the error of reading them. It applies none of them: a
// running process keeps its addresses and bounds, and a new process uses the new ones.
func (e *Entry) Reload(next *Settings, err error) {
	if err != nil {
		e.log.Error().Err(err).Msg("settings not reloaded; the previous ones stay in force")
		return
	}
	changed := next.CallerAddress != e.settings.CallerAddress || next.ReadyAddress != e.settings.ReadyAddress || next.PeerAddress != e.settings.PeerAddress || next.StoreAddress != e.settings.StoreAddress
	e.log.Info().Bool("addresses_changed", changed).Msg("settings reloaded")
}
