package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// TestAllowedRegions guards against a choice of a target outside the allowed regions: as
// the first target, as another one, as a probe of an idle target, or for want of others.
func TestAllowedRegions(t *testing.T) {
	b := NewBalancer(Location{Region: "r", Domain: "d"})
	now, random := time.Unix(0, 0), rand.New(rand.NewPCG(1, 1))
	var list []*model.Instance
	for _, id := range []string{"r1", "r2", "r3", "r4", "s1", "s2", "q1"} {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(id), Region: model.Region(id[:1]), Domain: "d", Slots: 3}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	b.SetRemoteLimit(now, "r1", true, 1000)
	choose := func(r Request) map[model.Region]bool {
		r.Pool, r.Repeatable = "p", true
		chosen := make(map[model.Region]bool)
		for range 500 {
			now = now.Add(10 * time.Millisecond) // targets become idle
			if target, ok := b.Choose(now, r, random.IntN); ok {
				chosen[target.Region] = true
			}
		}
		return chosen
	}
	test.Eq(t, map[model.Region]bool{"s": true}, choose(Request{Regions: []model.Region{"s"}}))
	test.Eq(t, map[model.Region]bool{"q": true}, choose(Request{Regions: []model.Region{"q", "r"}, Tried: []model.TargetID{"r1", "r2", "r3", "r4"}}))
	test.Eq(t, map[model.Region]bool{}, choose(Request{Regions: []model.Region{"s"}, Tried: []model.TargetID{"s1", "s2"}}))
	test.Eq(t, map[model.Region]bool{}, choose(Request{Regions: []model.Region{}}))
	test.MapContainsKey(t, choose(Request{}), "r")

	excluded := func(regions ...model.Region) bool {
		return b.Exclusion(now, &Request{Pool: "p", Regions: regions}) == ExcludedByRegions
	}
	test.False(t, excluded())
	test.False(t, excluded("q", "x"))
	test.True(t, excluded("x"))
	test.Eq(t, ExcludedByRegions, b.Exclusion(now, &Request{Pool: "p", Regions: []model.Region{}}))
	test.Eq(t, NotExcluded, b.Exclusion(now, &Request{Pool: "none", Regions: []model.Region{"x"}}))
	must.True(t, b.targets["q1"].Announce(now, Announcement{Leaving: true}).Leaving)
	test.True(t, excluded("q"))

	// Retry-After counts the pauses of the allowed targets only.
	for _, id := range []model.TargetID{"s1", "s2"} {
		b.targets[id].Announce(now, Announcement{RetryAfter: time.Minute})
	}
	test.Eq(t, time.Minute, b.PauseLeft(now, &Request{Pool: "p", Regions: []model.Region{"s"}}))
	test.Eq(t, 0, b.PauseLeft(now, &Request{Pool: "p"}))
}
