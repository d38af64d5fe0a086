package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// fewestUsed returns the smallest number of ten targets that get a request in two seconds,
// of a pool whose requests must not be repeated. Six targets looked bad before, and a share of
// the requests to the others fails.
func fewestUsed(failures float64, options ...Option) int {
	random := rand.New(rand.NewPCG(1, 2))
	b := NewBalancer(Location{Region: "r", Domain: "d"}, options...)
	start := time.Unix(1000, 0)
	var list []*model.Instance
	for i := range 10 {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Region: "r", Domain: "d", Slots: 8}})
	}
	b.Update(start, map[model.PoolID][]*model.Instance{"p": list})
	for i := range 6 {
		for range 6 {
			b.AddRemoteObservation(start, RemoteObservation{Target: list[i].ID, Kind: health.Failed, Count: 1})
		}
	}
	last := make(map[model.TargetID]time.Duration)
	fewest := len(list)
	for at := 20 * time.Millisecond; at < 8*time.Second; at += 20 * time.Millisecond {
		now := start.Add(at)
		if t, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.1}, random.IntN); ok {
			last[t.ID] = at
			t.Begin(now)
			observed := health.Good
			if random.Float64() < failures {
				observed = health.Failed
			}
			t.AddObservation(now, observed)
			t.End(now)
		}
		if at < 3*time.Second {
			continue
		}
		used := 0
		for _, when := range last {
			if at-when < 2*time.Second {
				used++
			}
		}
		fewest = min(fewest, used)
	}
	return fewest
}

// TestFloor guards against a pool in which many requests fail while less than the floor of
// its targets gets any, and against targets that are brought back into use against the
// evidence while nothing fails.
func TestFloor(t *testing.T) {
	test.GreaterEq(t, 7, fewestUsed(0.2, WithFloor(0.7)))
	test.Less(t, 7, fewestUsed(0.2))
	test.Eq(t, fewestUsed(0), fewestUsed(0, WithFloor(0.7)))
}
