package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

const requestInterval = 170 * time.Millisecond // request interval of one target when 25 targets share 150 requests/s

// TestOnset guards against slow detection. The target becomes unhealthy after
// 60 successful requests (about ten seconds), and must be rated unhealthy after
// at most three failed ones.
func TestOnset(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var e Estimate
		var baseline Baseline
		now := time.Unix(0, 0)
		for range 60 {
			now = now.Add(requestInterval)
			baseline.Add(now, Good, 25)
			e.Add(now, Good, &baseline)
		}
		failures := 0
		for e.UnhealthyProbability(now) < 0.5 && failures < 10 {
			now = now.Add(requestInterval)
			observed := Good
			if random.Float64() < 0.85 {
				observed, failures = Failed, failures+1
			}
			e.Add(now, observed, &baseline)
		}
		test.LessEq(t, 3, failures, test.Sprintf("seed %d", seed))
	}
}

// TestNoise guards against false positives: a healthy target that fails 1.2% of
// its requests may be rated unhealthy after at most 2% of them.
func TestNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var e Estimate
	var baseline Baseline
	now := time.Unix(0, 0)
	misjudged, n := 0, 100_000
	for range n {
		now = now.Add(requestInterval)
		observed := Good
		if random.Float64() < 0.012 {
			observed = Failed
		}
		baseline.Add(now, observed, 25)
		e.Add(now, observed, &baseline)
		if e.UnhealthyProbability(now) > 0.5 {
			misjudged++
		}
	}
	test.LessEq(t, n/50, misjudged)
}

// TestPool guards against rating every target of a pool unhealthy when half of
// all requests fail, whatever the reason.
func TestPool(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimates := make([]Estimate, 25)
	var baseline Baseline
	now := time.Unix(0, 0)
	for range 4000 {
		now = now.Add(requestInterval / 25)
		observed := Good
		if random.Float64() < 0.5 {
			observed = Failed
		}
		baseline.Add(now, observed, 1)
		estimates[random.IntN(25)].Add(now, observed, &baseline)
	}
	unhealthy := 0
	for i := range estimates {
		if estimates[i].UnhealthyProbability(now) > 0.5 {
			unhealthy++
		}
	}
	test.LessEq(t, 12, unhealthy)
}

// TestReturn guards against excluding a target permanently: without requests its
// probability decays to the long-run average.
func TestReturn(t *testing.T) {
	var e Estimate
	var baseline Baseline
	now := time.Unix(0, 0)
	for range 5 {
		e.Add(now, Failed, &baseline)
	}
	test.Greater(t, 0.9, e.UnhealthyProbability(now))
	test.Less(t, 0.5, e.UnhealthyProbability(now.Add(5*time.Second)))
}
