package proxy

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/refuse"
)

// minPlacementDelay is the shortest Retry-After of a request that no target may serve because
// of its allowed regions or of evacuations: the time in which a corrected configuration
// takes effect.
const minPlacementDelay = 3 * time.Second

// placementDelay returns the Retry-After of such a request. It is spread, so that callers
// don't return all at once.
func placementDelay() time.Duration { return minPlacementDelay + rand.N(minPlacementDelay/2) }

// restrictRegions sets the regions in which the request may be served: those that the
// configuration at its arrival and the newest one both allow. Customer is that of the
// request in the newest configuration, or nil.
func (c *call) restrictRegions(newest *conf.Snapshot, customer *model.Customer) {
	lists := [][]model.Region{c.route.Regions, nil, nil, nil}
	if c.customer != nil {
		lists[1] = c.customer.Regions
	}
	if newest != c.snapshot {
		if route, ok := newest.Route(c.host, c.path); ok {
			lists[2] = route.Regions
		}
		if customer != nil {
			lists[3] = customer.Regions
		}
	}
	c.regions = model.CommonRegions(lists...)
}

// refuseWithoutRegion refuses a request whose route and customer have no allowed region in
// common, before its body is read.
func (c *call) refuseWithoutRegion() *response {
	c.restrictRegions(c.snapshot, c.customer)
	if c.regions == nil || len(c.regions) > 0 {
		return nil
	}
	return c.regionsRefusal()
}

// regionsRefusal returns the refusal of a request that no target may serve because of its
// allowed regions.
func (c *call) regionsRefusal() *response {
	c.recordRegionsRefusal()
	return c.regionsResponse()
}

func (c *call) regionsMessage() string {
	if len(c.regions) == 0 {
		return "the route and the customer allow no region in common"
	}
	return "no target of the pool is in the regions that the route and the customer allow"
}

func (c *call) regionsResponse() *response {
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, c.regionsMessage(), "retry later, or ask an operator to change the allowed regions"), placementDelay())
}

// recordRegionsRefusal counts the refusal, and logs the first of each configuration.
func (c *call) recordRegionsRefusal() {
	message := c.regionsMessage()
	c.proxy.metrics.regionRefusals.Inc(1)
	if version := c.proxy.deps.Snapshot().Version(); c.proxy.regionsLogged.isNew(version) {
		e := c.proxy.log.Warn().Str("request", c.id).Str("route", string(c.route.ID)).Str("pool", string(c.pool)).Uint64("version", uint64(version))
		if c.customer != nil {
			e = e.Str("customer", string(c.customer.ID))
		}
		e.Any("regions", c.regions).Str("cause", message).Msg("no target in the allowed regions; further requests of this configuration are not logged")
	}
}

// versionMark remembers the newest configuration version that was logged.
type versionMark struct{ next atomic.Uint64 } // the lowest version not logged

// isNew reports whether the version is newer than all before, and remembers it.
func (m *versionMark) isNew(version model.ConfigVersion) bool {
	for {
		next := m.next.Load()
		if uint64(version) < next {
			return false
		}
		if m.next.CompareAndSwap(next, uint64(version)+1) {
			return true
		}
	}
}
