package entry

import (
	"context"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// reporter reports to the other daemons what happens on this host.
type reporter struct{ node *mesh.Node }

// ReportCustomer implements limit.Reporter.
func (r reporter) ReportCustomer(id model.CustomerID, received, admitted uint32) {
	r.node.Report(func(s *mesh.Sum) { s.AddCustomer(id, mesh.Usage{Requests: received, Granted: admitted}) })
}

// ReportPool implements limit.Reporter.
func (r reporter) ReportPool(id model.PoolID, requests, retries uint32) {
	r.node.Report(func(s *mesh.Sum) { s.AddPool(id, mesh.Usage{Requests: requests, Granted: retries}) })
}

// reportHedge reports a wanted hedged request to a pool, and whether it was sent.
func (r reporter) reportHedge(id model.PoolID, sent bool) {
	u := mesh.Usage{Wanted: 1}
	if sent {
		u.Hedged = 1
	}
	r.node.Report(func(s *mesh.Sum) { s.AddPool(id, u) })
}

// reportExchange reports the outcome of an exchange with a target, and the load
// that the target reported; a negative load is unknown. Package mesh counts a known
// load plus one.
func (r reporter) reportExchange(id model.TargetID, observation health.Observation, load float64) {
	var t mesh.TargetCounts
	switch observation {
	case health.Good:
		t.Good = 1
	case health.Slow:
		t.Slow = 1
	case health.Unreachable:
		t.Unreachable = 1
	case health.Failed:
		t.Failed = 1
	}
	if load >= 0 {
		t.Load = 1 + uint32(load)
	}
	r.node.Report(func(s *mesh.Sum) { s.AddTarget(id, t) })
}

// reportRequests reports how many requests were sent to a target and how many
// ended there.
func (r reporter) reportRequests(id model.TargetID, sent, ended uint32) {
	r.node.Report(func(s *mesh.Sum) { s.AddTarget(id, mesh.TargetCounts{Sent: sent, Ended: ended}) })
}

// reportLeaving reports that an incarnation of a target said that it leaves.
func (r reporter) reportLeaving(id model.TargetID, startedAt int64) {
	r.node.Report(func(s *mesh.Sum) { s.AddTarget(id, mesh.TargetCounts{Leaving: startedAt + 1}) })
}

// reportDemand reports a request that would have used a target with a limit.
func (r reporter) reportDemand(id model.TargetID, urgent bool) {
	t := mesh.TargetCounts{WantedOther: 1}
	if urgent {
		t = mesh.TargetCounts{WantedUrgent: 1}
	}
	r.node.Report(func(s *mesh.Sum) { s.AddTarget(id, t) })
}

// reportLimit reports the limit that a target named, or that it names none any more.
func (r reporter) reportLimit(id model.TargetID, limited bool, rate model.Rate) {
	r.node.Report(func(s *mesh.Sum) { s.AddTarget(id, mesh.TargetCounts{Limit: mesh.EncodeLimit(limited, rate)}) })
}

// applyReport applies the reports of other daemons. The good observations of a target
// are added before the others: added last, they would outweigh the failures of a target
// that just began to fail.
func (e *Entry) applyReport(s *mesh.Sum) {
	now := time.Now()
	for id, t := range s.Targets {
		for _, observation := range []place.RemoteObservation{
			{Target: id, Kind: health.Good, Count: int(t.Good)},
			{Target: id, Kind: health.Slow, Count: int(t.Slow)},
			{Target: id, Kind: health.Unreachable, Count: int(t.Unreachable)},
			{Target: id, Kind: health.Failed, Count: int(t.Failed)},
		} {
			if observation.Count > 0 {
				e.balancer.AddRemoteObservation(now, observation)
			}
		}
		if rate, limited, known := t.NamedLimit(); known {
			e.balancer.SetRemoteLimit(now, id, limited, rate)
		}
		e.balancer.AddRemoteRequests(now, id, int(t.Sent), int(t.Ended))
		e.balancer.AddRemoteDemand(now, id, limit.Demand{Urgent: float64(t.WantedUrgent), Other: float64(t.WantedOther)})
		if t.Leaving > 0 {
			e.balancer.AddRemoteLeaving(now, id, t.Leaving-1)
		}
		if t.Load > 0 {
			e.balancer.SetRemoteLoad(now, id, float64(t.Load-1))
		}
	}
	if c := e.holder.Current(); c != nil {
		for id, u := range s.Customers {
			if customer, ok := c.Customer(id); ok {
				e.limits.AddRemoteCustomer(now, customer, limit.Usage{Requests: float64(u.Requests), Granted: float64(u.Granted)})
			}
		}
	}
	for id, u := range s.Pools {
		e.balancer.AddRemotePoolRequests(now, id, float64(u.Requests)+float64(u.Granted))
		e.limits.AddRemotePool(id, limit.Usage{Requests: float64(u.Requests), Granted: float64(u.Granted)})
		if e.hedges != nil {
			e.hedges.AddRemote(now, id, hedge.Usage{Requests: float64(u.Requests), Hedged: float64(u.Hedged), Wanted: float64(u.Wanted)})
		}
	}
}

// limitOptions returns the options of the customers' limits that the settings ask for.
func (e *Entry) limitOptions() []limit.Option {
	if !e.settings.WindowLimits {
		return nil
	}
	return []limit.Option{limit.WithWindows(), limit.WithMeter(e.meter.Scope())}
}

// guardedLimits is the proxy's limiter. It checks for a pause of this host before each use
// of a limit.
type guardedLimits struct {
	*limit.Set
	pauses *limit.PauseGuard
}

// Admit implements proxy.Limiter.
func (l guardedLimits) Admit(now time.Time, c *model.Customer) (retryDelay time.Duration, ok bool) {
	l.pauses.Check()
	return l.Set.Admit(now, c)
}

// CountRequest implements proxy.Limiter. It is called for every request before its target
// is chosen, which may have a limit.
func (l guardedLimits) CountRequest(id model.PoolID) {
	l.pauses.Check()
	l.Set.CountRequest(id)
}

// Retry implements proxy.Limiter.
func (l guardedLimits) Retry(id model.PoolID, keepShare float64) bool {
	l.pauses.Check()
	return l.Set.Retry(id, keepShare)
}

// limitAfterPause keeps this host to its own share of all limits, until the next update of
// the share: the others may have used all but that during the pause.
func (e *Entry) limitAfterPause() {
	known := len(e.hosts.All())
	if known == 0 {
		return // nothing is admitted yet
	}
	e.log.Warn().Int("known", known).Msg("this host was paused; limits are kept to its own share")
	now, share := time.Now(), 1/float64(known)
	e.balancer.SetFleetShare(now, share)
	e.limits.Restart(now, share)
}

// afterPause is called when this host was paused.
func (e *Entry) afterPause() {
	e.holdAfterPause(time.Now())
	e.limitAfterPause()
}

// setShare sets the share of the limits that this daemon may use, and the share of hosts
// that started recently.
func (e *Entry) setShare(share, newShare float64) {
	now := time.Now()
	e.balancer.SetFleetShare(now, share)
	e.limits.SetReachable(now, limit.Reachable{Share: share, NewShare: newShare})
}

// updateShare periodically sets the share of the limits that this daemon may use:
// the part of the fleet whose reports reach it. It returns nil when ctx ends.
func (e *Entry) updateShare(ctx context.Context) error {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	previous, counted := 0.0, time.Time{}
	coldTargets := e.meter.Scope().SubScope("place").Gauge("cold_targets")
	e.setShare(0, 0) // nothing is admitted before the list of daemons is known
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		e.pauses.Confirm()
		e.updateNear()
		if now := time.Now(); now.Sub(counted) >= coldCountInterval {
			coldTargets.Update(float64(e.balancer.ColdCount(now)))
			counted = now
		}
		known := len(e.hosts.All())
		if known == 0 || e.holder.Current() == nil {
			continue // reports of customers are dropped before there is a configuration
		}
		share := min(1, float64(e.node.CountHosts())/float64(known))
		if share != previous {
			e.log.Info().Float64("part", share).Int("known", known).Msg("part of the fleet heard changed")
			previous = share
		}
		e.balancer.SetFleetSize(known)
		e.setShare(share, min(1, float64(e.node.CountNew())/float64(known)))
		e.shareKnown.Store(true)
	}
}

// updateNear tells the balancer which hosts share the targets of this host's failure domain,
// and logs which pools spill over to others.
func (e *Entry) updateNear() {
	if !e.settings.PreferNear {
		return
	}
	var near []model.HostID
	for _, h := range e.hosts.All() {
		if h.Domain == e.settings.Domain {
			near = append(near, h.ID)
		}
	}
	e.balancer.SetDomainHosts(near)
	for _, c := range e.balancer.SpillChanges() {
		e.log.Info().Str("pool", string(c.Pool)).Bool("spilling", c.Spilling).Float64("kept", c.Kept).Msg("use of near targets changed")
	}
}

// coldCountInterval is how often the cold targets are counted, which also notices targets
// without requests that became warm.
const coldCountInterval = time.Second

// pool returns a pool of the configuration in force.
func (e *Entry) pool(id model.PoolID) (*model.Pool, bool) {
	c := e.holder.Current()
	if c == nil {
		return nil, false
	}
	return c.Pool(id)
}

// logCold logs that a target of a pool with a limit for cold targets became cold or warm.
func (e *Entry) logCold(c place.ColdChange) {
	if !c.Cold {
		e.log.Info().Str("target", string(c.Target)).Str("pool", string(c.Pool)).Msg("target is warm")
		return
	}
	e.log.Info().Str("target", string(c.Target)).Str("pool", string(c.Pool)).Float64("limit", float64(c.Rate)).Dur("left", c.Left).Msg("target is cold")
}
