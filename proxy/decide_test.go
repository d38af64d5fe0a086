package proxy

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/limit"
)

// TestUrgentFirst guards against urgent requests, two thirds of all, that are
// served no more often than others (seen in run sugarleaf-gw-grown
// scale-1), and against retries beyond the budget. The targets of a pool refuse more
// than half of the requests, which uses up the retry budget.
func TestUrgentFirst(t *testing.T) {
	const requests, refused = 10_000, 0.55
	a := limit.Allowance{Ratio: 0.2, Reserve: 216}
	simulate := func(reserve func(action, bool) float64) (urgent, other float64, retries int) {
		random := rand.New(rand.NewPCG(5, 1))
		budget := limit.NewBudget(a)
		var requested, served [2]float64
		for range requests {
			class := 0
			if random.Float64() < 0.35 {
				class = 1
			}
			requested[class]++
			budget.AddRequests(1)
			for send := range maxRefusedSends {
				if send > 0 {
					if !budget.Retry(reserve(resend, class == 0)) {
						break
					}
					retries++
				}
				if random.Float64() >= refused {
					served[class]++
					break
				}
			}
		}
		return served[0] / requested[0], served[1] / requested[1], retries
	}
	urgent, other, retries := simulate(retryReserve)
	unranked, _, _ := simulate(func(action, bool) float64 { return 0 })
	t.Logf("urgent served %.3f, others %.3f; without ranks %.3f", urgent, other, unranked)
	test.Greater(t, unranked, urgent)
	test.Greater(t, other+0.1, urgent)
	test.LessEq(t, int(a.Ratio*requests+a.Reserve), retries)
}

// TestRestedSight guards against an observation that counts a healthy target as
// unhealthy because it closed a connection that had been idle.
func TestRestedSight(t *testing.T) {
	_, ok := observationOf(&exch.Outcome{Class: exch.Unknown, IdleBefore: 1}, false, false)
	test.False(t, ok)
	_, ok = observationOf(&exch.Outcome{Class: exch.Unknown}, false, false)
	test.True(t, ok)
}
