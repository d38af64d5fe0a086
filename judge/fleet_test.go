package judge_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/simul"
)

// bound is the time within which a bad target must receive no more requests, at p99.
// It is the value of section 1.3 of the design.
const bound = 3 * time.Second

var (
	large  = simul.Shape{Targets: 25, Slots: 6, Rate: 200, Floor: 0.5}
	small  = simul.Shape{Targets: 8, Slots: 6, Rate: 60, Floor: 0.5}
	shapes = []simul.Shape{large, small, {Targets: 28, Slots: 3, Rate: 200, Floor: 0.5}, {Targets: 8, Slots: 3, Rate: 60, Floor: 0.5}}
)

// fault changes the outcome of an attempt.
type fault func(f *simul.Fleet, a *simul.Attempt)

// failHalf fails half of the attempts.
func failHalf(f *simul.Fleet, a *simul.Attempt) {
	if f.Random.IntN(2) == 0 {
		a.Kind = report.Failed
	}
}

// slowTenfold multiplies latencies by ten.
func slowTenfold(_ *simul.Fleet, a *simul.Attempt) { a.Latency *= 10 }

// onTarget limits a fault to one target.
func onTarget(id model.TargetID, inner fault) fault {
	return func(f *simul.Fleet, a *simul.Attempt) {
		if a.Target.ID == id {
			inner(f, a)
		}
	}
}

// run runs a healthy fleet for 15 to 17 s, depending on the seed, and then for d with
// the fault. It returns the time at which the fault began.
func run(shape simul.Shape, seed uint64, d time.Duration, bad fault) (f *simul.Fleet, from time.Duration) {
	f = simul.NewFleet(shape, seed)
	f.Run(15*time.Second + time.Duration(seed%200)*10*time.Millisecond)
	from = f.Now()
	f.InjectFault = func(a *simul.Attempt) { bad(f, a) }
	f.Run(d)
	return f, from
}

// detectionSeed is the first seed of TestDetection. It lies outside the seeds 0 to 199
// and 10000 to 10999, on which the thresholds and the rules for suspects were tuned.
const detectionSeed = 70_000

// detection returns the sorted times from the start of a fault on target t-0 to the
// last request that it received. The runs end before an ejection can end.
func detection(shape simul.Shape, runs int, bad fault) []time.Duration {
	out := make([]time.Duration, runs)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			f, from := run(shape, detectionSeed+uint64(i), 5*time.Second, onTarget("t-0", bad))
			out[i] = f.LastRequest["t-0"] - from
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

// TestDetection guards against ejections later than the bound. The constant p99 is the
// index of that percentile in the sorted times. As a control, the naive
// policy, by which each daemon alone ejects after five consecutive errors, must miss the
// bound in the same simulation.
func TestDetection(t *testing.T) {
	const runs, p99 = 200, 197
	for _, s := range shapes {
		failed, slow := detection(s, runs, failHalf), detection(s, runs, slowTenfold)
		t.Logf("%d targets, %d slots: failing half p50 %v p99 %v, slow p50 %v p99 %v",
			s.Targets, s.Slots, failed[runs/2], failed[p99], slow[runs/2], slow[p99])
		must.LessEq(t, bound, failed[p99])
		must.LessEq(t, bound, slow[p99])
		s.Naive = true
		must.Greater(t, bound, detection(s, 20, failHalf)[10])
		must.Greater(t, bound, detection(s, 20, slowTenfold)[10])
	}
}

// TestSomeKinds guards against a target that is never ejected because it fails the
// requests of one route only.
func TestSomeKinds(t *testing.T) {
	for _, s := range []simul.Shape{large, small} {
		for seed := range uint64(10) {
			f, from := run(s, seed, 20*time.Second, onTarget("t-0", func(_ *simul.Fleet, a *simul.Attempt) {
				if a.Route == "r0" {
					a.Kind = report.Broken
				}
			}))
			must.SliceNotEmpty(t, f.Ejected)
			t.Log(f.Ejected[0].At - from)
			for _, e := range f.Ejected {
				must.EqOp(t, "t-0", e.Verdict.Target)
			}
		}
	}
}

// failCustomer fails the requests of one customer on all targets.
func failCustomer(customer model.CustomerID) fault {
	return func(_ *simul.Fleet, a *simul.Attempt) {
		if a.Customer == customer {
			a.Kind = report.Failed
		}
	}
}

// ejections returns the ejections of several runs with different seeds.
func ejections(shape simul.Shape, runs int, bad fault) (out []simul.Ejection) {
	for seed := range uint64(runs) {
		f, _ := run(shape, seed, 20*time.Second, bad)
		out = append(out, f.Ejected...)
	}
	return out
}

// TestNoEjection guards against ejections for noise and for faults of reporters,
// customers or the whole pool.
func TestNoEjection(t *testing.T) {
	for name, bad := range map[string]fault{
		"noise": func(*simul.Fleet, *simul.Attempt) {},
		"sick reporter": func(_ *simul.Fleet, a *simul.Attempt) {
			if a.Daemon.Host == "h-0" {
				a.Kind = report.Failed
			}
		},
		"slow reporter": func(f *simul.Fleet, a *simul.Attempt) {
			if a.Daemon.Host == "h-1" {
				slowTenfold(f, a)
			}
		},
		"small customer": failCustomer("c3"),
		"overload":       slowTenfold,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			must.SliceEmpty(t, ejections(large, 10, bad))
			must.SliceEmpty(t, ejections(small, 10, bad))
		})
	}
}

// TestPoolTrouble guards against a pool that loses its targets one by one when requests
// begin to fail on all targets at once: those of a large customer, or half of all. The
// first target with a few more failures than the others may be ejected once.
func TestPoolTrouble(t *testing.T) {
	for name, bad := range map[string]fault{"large customer": failCustomer("c0"), "all targets": failHalf} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const runs = 20
			a, b := len(ejections(large, runs, bad)), len(ejections(small, runs, bad))
			t.Logf("%d and %d ejections in %d runs", a, b, runs)
			must.LessEq(t, runs/4, a)
			must.LessEq(t, runs/2, b)
		})
	}
}

// TestPathFault guards against a target that is ejected for all daemons because the
// daemons of one failure domain cannot reach it.
func TestPathFault(t *testing.T) {
	const runs = 40
	for _, s := range []simul.Shape{large, small} {
		poolWide, late := 0, 0
		for seed := range uint64(runs) {
			f, from := run(s, seed, 6*time.Second, onTarget("t-0", func(_ *simul.Fleet, a *simul.Attempt) {
				if a.Daemon.Domain == "d0" {
					a.Kind = report.NoResponse
				}
			}))
			must.SliceNotEmpty(t, f.Ejected)
			if f.Ejected[0].At-from > bound {
				late++
			}
			for _, e := range f.Ejected {
				must.EqOp(t, "t-0", e.Verdict.Target)
				if e.Verdict.Domain != "d0" {
					poolWide++
				}
			}
		}
		t.Logf("%d of %d for all daemons, %d late", poolWide, runs, late)
		must.LessEq(t, runs/5, poolWide)
		must.LessEq(t, runs/10, late)
	}
}

// TestFlapping guards against a target that fails every other 10 s and returns for each
// of its bad phases.
func TestFlapping(t *testing.T) {
	for _, s := range []simul.Shape{large, small} {
		failures := 0
		f, _ := run(s, 1, 10*time.Minute, onTarget("t-0", func(f *simul.Fleet, a *simul.Attempt) {
			if f.Now()/(10*time.Second)%2 == 0 {
				a.Kind = report.Failed
				failures++
			}
		}))
		expected := s.Rate / float64(s.Targets) * 300
		t.Logf("%d ejections, %.3f of the failures without ejection", len(f.Ejected), float64(failures)/expected)
		must.LessEq(t, 20, len(f.Ejected))
		must.Less(t, 0.1, float64(failures)/expected)
	}
}

// TestColdStart guards against a judge that needs a healthy history to eject a target
// that is bad from the start.
func TestColdStart(t *testing.T) {
	for _, s := range shapes {
		for seed := range uint64(10) {
			f := simul.NewFleet(s, seed)
			f.InjectFault = func(a *simul.Attempt) { onTarget("t-0", failHalf)(f, a) }
			f.Run(5 * time.Second)
			must.SliceNotEmpty(t, f.Ejected)
			must.EqOp(t, "t-0", f.Ejected[0].Verdict.Target)
		}
	}
}

// TestAllBad guards against requests that find no target when all targets of a small
// pool become bad one after another: the floor must keep enough of them in use.
func TestAllBad(t *testing.T) {
	f, from := run(small, 1, time.Second, func(*simul.Fleet, *simul.Attempt) {})
	refused := f.Refused
	f.InjectFault = func(a *simul.Attempt) {
		if i := slices.IndexFunc(f.Pool.Targets, func(c model.Target) bool { return c.ID == a.Target.ID }); f.Now() > from+time.Duration(i)*8*time.Second {
			failHalf(f, a)
		}
	}
	f.Run(2 * time.Minute)
	must.Positive(t, len(f.Ejected))
	must.EqOp(t, refused, f.Refused)
}

// TestQuietDay guards against false ejections in a simulated day of healthy noise. The
// numbers of targets are those of the pools in one region of both users.
func TestQuietDay(t *testing.T) {
	for _, n := range []int{13, 4, 14, 4} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			q := &simul.HealthyRun{Targets: n, Rate: 7.8, Reporters: 19, Thresholds: judge.DefaultThresholds, Seed: uint64(n)}
			must.SliceEmpty(t, q.Run(24*time.Hour))
		})
	}
}
