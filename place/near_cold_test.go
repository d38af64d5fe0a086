package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// TestNearFirstKeepsColdState guards against the state of a pool, which WithNearFirst
// computes, that takes cold targets for warm ones: their accounts would begin anew with
// each computation, and a request that found one cold would use a nil pacer.
func TestNearFirstKeepsColdState(t *testing.T) {
	rate := model.Rate(4.7)
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	var changes []ColdChange
	b := NewBalancer(Location{Region: "r", Domain: "d"}, WithNearFirst("h"),
		WithPools(func(id model.PoolID) (*model.Pool, bool) { return &model.Pool{ColdRate: &rate}, id == "p" }),
		WithColdTolerance(limit.ColdTolerance{Overshoot: 1.5, Slack: 8}),
		WithColdReport(func(c ColdChange) { changes = append(changes, c) }))
	cold := &model.Instance{Pool: "p", HasCold: true, Cold: 10000, Target: model.Target{ID: "cold", Region: "r", Domain: "d", Slots: 3}}
	warm := &model.Instance{Pool: "p", Target: model.Target{ID: "warm", Region: "r", Domain: "d", Slots: 3}}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {cold, warm}})
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		_, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.1, Repeatable: true}, random.IntN)
		test.True(t, ok)
		_, _ = b.ChooseSpare(now, Request{Pool: "p", UsualSeconds: 0.1}, random.IntN)
	}
	test.SliceLen(t, 1, changes) // it became cold, once
}
