package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// TestSubsets guards against targets that are in no host's subset or in very many, and
// against a lost host that moves most subsets of the others.
func TestSubsets(t *testing.T) {
	for _, c := range []struct{ hosts, targets int }{{1, 7}, {5, 24}, {25, 7}, {25, 24}, {66, 2}} {
		subsets := func(names []model.HostID) (all [][2]string, users map[model.TargetID]int) {
			users = make(map[model.TargetID]int)
			for _, name := range names {
				b := NewBalancer(Location{"r", "d"}, WithNearFirst(name))
				var list []*model.Instance
				for i := range c.targets {
					list = append(list, &model.Instance{Target: model.Target{ID: model.TargetID(fmt.Sprint("t", i)), Region: "r", Domain: "d"}})
				}
				b.Update(time.Unix(0, 0), map[model.PoolID][]*model.Instance{"p": list})
				b.SetDomainHosts(names)
				for id := range b.pools["p"].subset {
					users[id]++
					all = append(all, [2]string{string(name), string(id)})
				}
			}
			return all, users
		}
		var names []model.HostID
		for i := range c.hosts {
			names = append(names, model.HostID(fmt.Sprint("h", i)))
		}
		before, users := subsets(names)
		test.MapLen(t, c.targets, users)
		low, high := c.hosts, 0
		for _, n := range users {
			low, high = min(low, n), max(high, n)
		}
		test.LessEq(t, 2, high-low, test.Sprint(c))
		if c.hosts > 20 {
			after, _ := subsets(names[:c.hosts-1])
			moved := 0
			for _, pair := range after {
				if !slices.Contains(before, pair) {
					moved++
				}
			}
			test.LessEq(t, len(before)/8, moved, test.Sprint(c))
		}
	}
}

// TestNearUnhealthy guards against a request that may not be repeated and goes to an
// unhealthy near target while others are healthy.
func TestNearUnhealthy(t *testing.T) {
	b := NewBalancer(Location{"r", "d"}, WithNearFirst("h"))
	now := time.Unix(0, 0)
	var list []*model.Instance
	for i := range 24 {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Region: "r", Domain: model.Domain([]string{"d", "e"}[i%2]), Slots: 4}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	for i, instance := range list {
		kind := []health.Observation{health.Failed, health.Good}[i%2]
		for range 5 {
			b.AddRemoteObservation(now, RemoteObservation{Target: instance.ID, Kind: kind, Count: 1})
		}
	}
	for range 100 {
		target, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.3, Bytes: 5000}, rand.IntN)
		test.True(t, ok)
		must.EqOp(t, "e", target.Domain)
	}
}

// TestNewTargetProbes guards against probes of new targets in another failure domain before
// the hosts of that domain had time to use them.
func TestNewTargetProbes(t *testing.T) {
	b := NewBalancer(Location{"r", "d"}, WithNearFirst("h"))
	now := time.Unix(0, 0)
	var list []*model.Instance
	for _, domain := range []model.Domain{"d", "e"} {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(domain), Region: "r", Domain: domain, Slots: 4}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	probed := func(after time.Duration) (n int) {
		for range 100 {
			b.targets["d"].lastUsed = now.Add(after)
			if target, _ := b.Choose(now.Add(after), Request{Pool: "p", Repeatable: true}, rand.IntN); target.ID == "e" {
				n++
			}
		}
		return n
	}
	test.EqOp(t, 0, probed(regionIdleFactor*idleThreshold))
	test.Positive(t, probed(regionIdleFactor*idleThreshold+time.Millisecond))
}
