package entry

import (
	"context"
	"time"

	"rhubarbdrift.example/health"
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
		e.limits.AddRemotePool(id, limit.Usage{Requests: float64(u.Requests), Granted: float64(u.Granted)})
	}
}

// updateShare periodically sets the share of the limits that this daemon may use:
// the part of the fleet whose reports reach it. It returns nil when ctx ends.
func (e *Entry) updateShare(ctx context.Context) error {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	previous := 0.0
	e.balancer.SetFleetShare(time.Now(), 0)
	e.limits.SetReachable(time.Now(), limit.Reachable{}) // nothing is admitted before the list of daemons is known
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		known := len(e.hosts.All())
		if known == 0 {
			continue
		}
		share := min(1, float64(e.node.CountHosts())/float64(known))
		if share != previous {
			e.log.Info().Float64("part", share).Int("known", known).Msg("part of the fleet heard changed")
			previous = share
		}
		e.balancer.SetFleetShare(time.Now(), share)
		e.limits.SetReachable(time.Now(), limit.Reachable{Share: share, NewShare: min(1, float64(e.node.CountNew())/float64(known))})
		e.shareKnown.Store(true)
	}
}
