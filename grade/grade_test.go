package grade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

const step = 170 * time.Millisecond // one request at a target of 25 at 150/s

// TestOnset plays targets that turn sick after ten sound seconds. It guards
// against slow detection: after three spoiled requests the target must be
// taken for sick.
func TestOnset(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var g Grade
		var base Base
		now := time.Unix(0, 0)
		for range 60 {
			now = now.Add(step)
			base.Add(now, Good, 25)
			g.Add(now, Good, &base)
		}
		spoiled := 0
		for g.P(now) < 0.5 && spoiled < 10 {
			now = now.Add(step)
			s := Good
			if random.Float64() < 0.85 {
				s, spoiled = Bad, spoiled+1
			}
			g.Add(now, s, &base)
		}
		test.LessEq(t, 3, spoiled, test.Sprintf("seed %d", seed))
	}
}

// TestNoise guards against sound targets that are taken for sick: with 1.2% of
// their requests failing they may be so in at most 2% of the time.
func TestNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var g Grade
	var base Base
	now := time.Unix(0, 0)
	wrong, n := 0, 100_000
	for range n {
		now = now.Add(step)
		s := Good
		if random.Float64() < 0.012 {
			s = Bad
		}
		base.Add(now, s, 25)
		g.Add(now, s, &base)
		if g.P(now) > 0.5 {
			wrong++
		}
	}
	test.LessEq(t, n/50, wrong)
}

// TestPool guards against a pool of which all targets count as sick when half
// of all requests fail, whatever the reason.
func TestPool(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	grades := make([]Grade, 25)
	var base Base
	now := time.Unix(0, 0)
	for range 4000 {
		now = now.Add(step / 25)
		s := Good
		if random.Float64() < 0.5 {
			s = Bad
		}
		base.Add(now, s, 1)
		grades[random.IntN(25)].Add(now, s, &base)
	}
	sick := 0
	for i := range grades {
		if grades[i].P(now) > 0.5 {
			sick++
		}
	}
	test.LessEq(t, 12, sick)
}

// TestReturn guards against a target that is left out for good: without
// requests it drifts to what is usual.
func TestReturn(t *testing.T) {
	var g Grade
	var base Base
	now := time.Unix(0, 0)
	for range 5 {
		g.Add(now, Bad, &base)
	}
	test.Greater(t, 0.9, g.P(now))
	test.Less(t, 0.5, g.P(now.Add(5*time.Second)))
}
