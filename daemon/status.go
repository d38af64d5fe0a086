package daemon

import (
	"context"
	"fmt"
	"time"

	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
)

// fresh reports whether the configuration was confirmed recently enough to serve
// routes that need a key.
func (d *Daemon) fresh() bool { return d.snapshot() != nil && d.state.cell.Member().Fresh() }

// Ready reports whether the load balancer should send callers to this daemon.
func (d *Daemon) Ready() bool { return d.fresh() && !d.state.stopping.Load() }

// Status returns the state of the daemon and its view of the fleet. It queries the
// platform and a member of each cell.
func (d *Daemon) Status(ctx context.Context) admin.Status {
	fresh := d.fresh()
	s := admin.Status{
		Host:   d.settings.Host,
		Region: d.settings.Region,
		Domain: d.settings.Domain,
		Cell:   d.settings.Cell,
		Fresh:  fresh,
		Ready:  d.Ready(),
	}
	s.Cells, s.PlatformReachable = d.cells(ctx)
	if c := d.snapshot(); c != nil {
		s.Version = c.Version()
		s.Accepted = d.state.cell.Member().Accepted(c.Version())
	}
	if k, err := kernel.Find[*lease.Keeper](d.services, nameLease); err == nil {
		s.Shards = k.Held()
	}
	s.Daemons = d.daemons()
	s.Targets = d.targets()
	s.Customers = d.customers()
	return s
}

func (d *Daemon) daemons() []admin.DaemonStatus {
	var list []admin.DaemonStatus
	for _, p := range d.state.cell.Member().Peers() {
		list = append(list, admin.DaemonStatus{
			Host: p.ID, Version: p.Version, Live: p.Live,
			SinceHeartbeat: model.Millis(time.Since(p.LastHeartbeat).Milliseconds()),
		})
	}
	return list
}

func (d *Daemon) targets() []admin.TargetStatus {
	p, err := kernel.Find[*pick.Picker](d.services, namePicker)
	if err != nil {
		return nil
	}
	var list []admin.TargetStatus
	c := d.snapshot()
	if c == nil {
		return nil
	}
	for _, pool := range c.Pools() {
		for _, t := range p.Status(pool.ID) {
			list = append(list, d.target(pool.ID, t))
		}
	}
	return list
}

func (d *Daemon) target(pool model.PoolID, t pick.Status) admin.TargetStatus {
	status := admin.TargetStatus{Pool: pool, Target: t.Target, Running: t.InFlight, Verdict: verdictOf(t)}
	v, ok := d.state.detector.Verdict(pool, t.Target)
	if !ok {
		return status
	}
	status.Scope = string(v.Domain)
	status.Evidence = fmt.Sprintf("%s answers=%d bad=%d base=%.3f score=%.1f", v.Finding, v.Answers, v.Bad, v.BaselineShare, v.Score)
	return status
}

func verdictOf(t pick.Status) string {
	switch {
	case t.Draining:
		return "draining"
	case t.Ejected:
		return "ejected"
	case t.Weight < 1: // receives a reduced share of the requests after a start or an ejection
		return "returning"
	default:
		return "healthy"
	}
}

func (d *Daemon) customers() []admin.CustomerStatus {
	g, err := kernel.Find[*gate.Gate](d.services, nameGate)
	if err != nil {
		return nil
	}
	var list []admin.CustomerStatus
	for _, c := range d.Intent().Customers {
		use := g.Usage(c.ID)
		list = append(list, admin.CustomerStatus{
			Customer: c.ID, Rate: c.Rate, Burst: c.Burst, Admitted: use.Admitted, Refused: use.Refused,
		})
	}
	return list
}

// Intent returns the configuration in force, or an empty one if there is none.
func (d *Daemon) Intent() *model.Intent {
	if s := d.snapshot(); s != nil {
		return s.Intent()
	}
	return new(model.Intent)
}
