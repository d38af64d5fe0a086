package proxy

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/limit"
)

// TestUrgentFirst plays a pool whose targets refuse more than half of the
// requests, with a budget of repeated sends that is used up. It guards against
// urgent requests, two thirds of all, that are served no more often than the
// others (sugarleaf-gw-grown scale-1), and against sends beyond the budget.
func TestUrgentFirst(t *testing.T) {
	const requests, refused = 10_000, 0.55
	a := limit.Allowance{Ratio: 0.2, Reserve: 216}
	played := func(keep func(next, bool) float64) (urgent, other float64, extra int) {
		random := rand.New(rand.NewPCG(5, 1))
		budget := limit.NewBudget(a)
		var asked, served [2]float64
		for range requests {
			kind := 0
			if random.Float64() < 0.35 {
				kind = 1
			}
			asked[kind]++
			budget.Requests(1)
			for send := range maxRefused {
				if send > 0 {
					if !budget.Retry(keep(elsewhere, kind == 0)) {
						break
					}
					extra++
				}
				if random.Float64() >= refused {
					served[kind]++
					break
				}
			}
		}
		return served[0] / asked[0], served[1] / asked[1], extra
	}
	urgent, other, extra := played(keepOf)
	same, _, _ := played(func(next, bool) float64 { return 0 })
	t.Logf("urgent served %.3f, others %.3f; without ranks %.3f", urgent, other, same)
	test.Greater(t, same, urgent)
	test.Greater(t, other+0.1, urgent)
	test.LessEq(t, int(a.Ratio*requests+a.Reserve), extra)
}

// TestRestedSight guards against a sound target that counts as sick because it
// dropped an idle connection.
func TestRestedSight(t *testing.T) {
	_, ok := sightOf(&exch.Outcome{Class: exch.Unknown, Rested: 1}, false, false)
	test.False(t, ok)
	_, ok = sightOf(&exch.Outcome{Class: exch.Unknown}, false, false)
	test.True(t, ok)
}
