package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/lease"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// gauges exports the state of the daemon as metrics.
type gauges struct {
	daemon *Daemon
	leases *lease.Keeper
	scope  tally.Scope
}

// Run updates the gauges until ctx ends.
func (g *gauges) Run(ctx context.Context) error {
	return kernel.Every(ctx, gaugeInterval, g.update)
}

func (g *gauges) update(context.Context) {
	sent, received := g.daemon.state.counters.Bytes()
	g.scope.Gauge("control_sent_bytes").Update(float64(sent))
	g.scope.Gauge("control_received_bytes").Update(float64(received))
	g.scope.Gauge("fresh").Update(flag(g.daemon.fresh()))
	g.scope.Gauge("shards").Update(float64(len(g.leases.Held())))
	if s := g.daemon.snapshot(); s != nil {
		g.scope.Gauge("version").Update(float64(s.Version()))
		g.scope.Gauge("accepted").Update(flag(g.daemon.state.cell.Member().Accepted(s.Version())))
	}
}

// flag returns the value of a gauge for a bool: 1 for true.
func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func (d *Daemon) buildGauges() error {
	k, err := kernel.Find[*lease.Keeper](d.services, nameLease)
	if err != nil {
		return err
	}
	return kernel.Provide(d.services, nameGauges, &gauges{daemon: d, leases: k, scope: d.meter.Scope()})
}
