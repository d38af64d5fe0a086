package proxy

import (
	"time"

	"rhubarbdrift.example/place"
	"rhubarbdrift.example/refuse"
)

// refuseWithoutTarget returns the refusal of a request for which no target takes it now.
func (d *dispatch) refuseWithoutTarget() *response {
	reason := "no target of the pool takes requests"
	if d.proxy.deps.Balancer.ColdWait(time.Now(), &place.Request{Pool: d.pool, Regions: d.regions}) > 0 {
		reason = "the targets of the pool warm up"
	}
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, reason, "retry later"), d.returnDelay())
}
