package place

import (
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// TestExplain guards against an explanation that changes the state by which targets are
// chosen, gives a wrong reason, or costs that differ from those of Choose.
func TestExplain(t *testing.T) {
	build := func() (*Balancer, time.Time) {
		now := time.Unix(1000, 0)
		rate := model.Rate(5)
		b := NewBalancer(Location{Region: "r", Domain: "d"}, WithNearFirst("h"), WithColdTolerance(limit.ColdTolerance{Overshoot: 1, Slack: 4}),
			WithPools(func(model.PoolID) (*model.Pool, bool) { return &model.Pool{ColdRate: &rate}, true }))
		var list []*model.Instance
		for _, id := range []model.TargetID{"free", "busy", "leaving", "pause", "region", "evacuated", "tried", "cold", "limit"} {
			i := &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: "r", Domain: "d", Slots: 4, Leaving: id == "leaving"}, HasCold: true}
			switch id {
			case "region":
				i.Region, i.Domain = "other", "far"
			case "evacuated":
				i.Domain = "gone"
			case "cold":
				i.Cold = 3000
			}
			list = append(list, i)
		}
		b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
		b.SetEvacuated(map[model.Domain]bool{"gone": true})
		b.targets["pause"].Announce(now, Announcement{RetryAfter: 2 * time.Second})
		b.targets["limit"].Announce(now, Announcement{Limited: true, Limit: 10})
		b.targets["busy"].SetLoad(now, 6)
		b.targets["busy"].AddObservation(now, health.Failed)
		now = now.Add(500 * time.Millisecond)
		for range 3 {
			b.Choose(now, Request{Pool: "p", UsualSeconds: 0.3}, func(int) int { return 0 })
		}
		b.AddRemotePoolRequests(now, "p", 20)
		return b, now.Add(500 * time.Millisecond)
	}
	r := Request{Pool: "p", UsualSeconds: 0.3, Bytes: 5000, Tried: []model.TargetID{"tried"}, Regions: []model.Region{"r"}}
	asked, now := build()
	untouched, _ := build()
	var e Explanation
	for i := range 3 {
		at := now.Add(time.Duration(i-2) * 100 * time.Millisecond)
		e = asked.Explain(at, r)
		asked.ColdWait(at, &Request{Pool: "p"})
	}
	for _, b := range []*Balancer{asked, untouched} {
		b.reportDemand, b.configured, b.reportCold, b.checkPause = nil, nil, nil, nil // functions are never equal
	}
	test.True(t, reflect.DeepEqual(asked, untouched))
	must.Len(t, 9, e.Targets)
	asked, _ = build()
	for i, x := range e.Targets {
		want := map[model.TargetID]TargetState{"free": StateEligible, "busy": StateEligible}[x.ID]
		if want == "" {
			want = TargetState(x.ID)
		}
		test.EqOp(t, want, x.State)
		test.EqOp(t, asked.cost(now, asked.targets[x.ID], r), x.Total)
		test.True(t, i == 0 || e.Targets[i-1].Total <= x.Total)
		switch x.State {
		case StatePaused:
			test.EqOp(t, 1000, x.LeftMs)
		case StateCold:
			test.EqOp(t, 2000, x.LeftMs)
			test.Positive(t, x.Rate)
		case StateLimit:
			test.EqOp(t, 10, x.Rate)
			test.Positive(t, x.Admits)
		}
	}
	test.True(t, e.Use > 0 && !e.Outdated)
}
