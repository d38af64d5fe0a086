package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// newEvacuating returns a balancer in domain d1 of region r, which waits for the list of
// evacuations, with two targets in each of d1, d2 and, in region s, d3.
func newEvacuating(now time.Time) *Balancer {
	b := NewBalancer(Location{Region: "r", Domain: "d1"}, WithEvacuations())
	var list []*model.Instance
	for _, id := range []string{"d1-a", "d1-b", "d2-a", "d2-b", "d3-a", "d3-b"} {
		region := model.Region("r")
		if id[:2] == "d3" {
			region = "s"
		}
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(id), Region: region, Domain: model.Domain(id[:2]), Slots: 3}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	return b
}

func evacuated(domains ...model.Domain) map[model.Domain]bool {
	out := make(map[model.Domain]bool)
	for _, d := range domains {
		out[d] = true
	}
	return out
}

// TestHoldBeforeRepeat guards against a repeat or a hedged request that a daemon sends by an
// outdated list, because it was paused while the first send was in flight.
func TestHoldBeforeRepeat(t *testing.T) {
	now, random := time.Unix(0, 0), rand.New(rand.NewPCG(1, 1))
	var b *Balancer
	paused := false
	b = NewBalancer(Location{Region: "r", Domain: "d"}, WithPauseCheck(func() {
		if paused {
			b.HoldRequests(now.Add(time.Second))
		}
	}))
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", Target: model.Target{ID: "a", Region: "r", Domain: "d", Slots: 3}},
		{Pool: "p", Target: model.Target{ID: "b", Region: "r", Domain: "d", Slots: 3}},
	}})
	choose := func() (chosen []bool) {
		again := Request{Pool: "p", UsualSeconds: 0.1, Tried: []model.TargetID{"a"}}
		spare, _ := b.ChooseSpare(now, again, random.IntN)
		_, repeat := b.Choose(now, again, random.IntN)
		return []bool{spare != nil, repeat}
	}
	test.Eq(t, []bool{true, true}, choose())
	paused = true
	test.Eq(t, []bool{false, false}, choose())
}

// TestEvacuated guards against a request to a target of an evacuated domain, as the first
// one, another one or a probe of an idle one, and against requests that stay away when the
// domain is in service again or go further than they must.
func TestEvacuated(t *testing.T) {
	now, random := time.Unix(0, 0), rand.New(rand.NewPCG(1, 1))
	b := newEvacuating(now)
	choose := func(regions ...model.Region) map[model.Domain]bool {
		chosen := make(map[model.Domain]bool)
		for range 500 {
			now = now.Add(5 * time.Millisecond) // targets become idle
			if target, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.1, Bytes: 5000, Repeatable: true, Regions: regions}, random.IntN); ok {
				chosen[target.Domain] = true
			}
		}
		return chosen
	}
	exclusion := func(regions ...model.Region) Exclusion {
		return b.Exclusion(now, &Request{Pool: "p", Regions: regions})
	}
	test.Eq(t, evacuated(), choose()) // the list is not known
	test.Eq(t, ExcludedByOutdatedList, exclusion())
	b.SetEvacuated(nil)
	test.Eq(t, evacuated("d1", "d2"), choose())
	b.SetEvacuated(evacuated("d1"))
	test.Eq(t, evacuated("d2"), choose())
	b.SetEvacuated(evacuated("d1", "d2"))
	test.Eq(t, evacuated("d3"), choose())
	test.Eq(t, evacuated(), choose("r"))
	test.Eq(t, ExcludedByEvacuation, exclusion("r"))
	test.Eq(t, NotExcluded, exclusion())
	b.SetEvacuated(evacuated("d1", "d2", "d3"))
	test.Eq(t, evacuated(), choose())
	test.Eq(t, ExcludedByEvacuation, exclusion())
	test.Eq(t, ExcludedByRegions, exclusion("q"))
	b.SetEvacuated(nil)
	test.Eq(t, evacuated("d1", "d2"), choose())

	b.HoldRequests(now.Add(time.Second))
	test.Eq(t, ExcludedByOutdatedList, exclusion())
	now = now.Add(time.Second)
	test.Eq(t, NotExcluded, exclusion())
}

// TestEvacuatedInFlight guards against requests in flight that are miscounted when their
// target is listed in another domain or not any more, so that an evacuation never ends.
func TestEvacuatedInFlight(t *testing.T) {
	now := time.Unix(0, 0)
	b := newEvacuating(now)
	b.SetEvacuated(evacuated("d1"))
	state := b.Evacuation()
	test.True(t, state.Known)
	test.Eq(t, evacuated("d1"), state.Domains)
	first, second := b.targets["d1-a"], b.targets["d1-b"]
	first.Begin(now)
	second.Begin(now)
	test.Eq(t, map[model.Domain]int{"d1": 2}, b.Evacuation().InFlight)
	moved := first.Instance
	moved.Domain = "d2"
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {&moved}})
	test.Eq(t, map[model.Domain]int{"d1": 1, "d2": 1}, b.Evacuation().InFlight)
	second.End(now) // not listed any more
	first.End(now)
	test.MapEmpty(t, b.Evacuation().InFlight)
}
