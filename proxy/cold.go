package proxy

import (
	"time"

	"rhubarbdrift.example/refuse"
)

// refuseWithoutTarget returns the refusal of a request for which no target takes it now.
func (d *dispatch) refuseWithoutTarget() *response {
	reason := "no target of the pool takes requests"
	if d.proxy.deps.Balancer.ColdWait(time.Now(), d.pool) > 0 {
		reason = "the targets of the pool warm up"
	}
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, reason, "retry later"), d.returnDelay())
}
