package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// TestSpareCold guards against a hedged request to a target that became cold again long
// after its start, in a pool without a limit for cold targets.
func TestSpareCold(t *testing.T) {
	now := time.Unix(0, 0)
	b, update := newCold(now, nil, model.Instance{HasCold: true, Revision: 1})
	spare := func() bool {
		target, _ := b.ChooseSpare(now, Request{Pool: "p"}, rand.IntN)
		return target != nil
	}
	test.True(t, spare())
	now = now.Add(time.Minute)
	update(now, func(i *model.Instance) { i.Revision, i.Cold = 2, 5000 })
	test.False(t, spare())
	now = now.Add(5 * time.Second)
	test.True(t, spare())
}

// TestSpareRegions guards against a use of the pool that depends on the regions of the
// request, so that hedging turns off and on with each request, and against a hedged request
// to a region that is under pressure.
func TestSpareRegions(t *testing.T) {
	b, now := NewBalancer(Location{"r", "d"}), time.Unix(0, 0)
	var list []*model.Instance
	for _, id := range []model.TargetID{"r1", "r2", "s1", "s2"} {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: model.Region(id[:1]), Domain: "d", Slots: 10}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	for id, load := range map[model.TargetID]float64{"r1": 8, "r2": 8, "s1": 1, "s2": 1} {
		b.SetRemoteLoad(now, id, load)
	}
	for _, c := range []struct {
		regions []model.Region
		spare   bool
	}{{nil, true}, {[]model.Region{"r"}, false}, {[]model.Region{"s"}, true}, {[]model.Region{}, false}} {
		target, use := b.ChooseSpare(now, Request{Pool: "p", Regions: c.regions}, rand.IntN)
		test.EqOp(t, c.spare, target != nil, test.Sprint(c))
		test.EqOp(t, 0.45, use, test.Sprint(c))
	}
}
