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
	"rhubarbdrift.example/trial"
)

// bound is the time in which a bad target must be out at p99 (design 1.3).
const bound = 3 * time.Second

var (
	large  = trial.Shape{Targets: 25, Slots: 6, Rate: 200, Floor: 0.5}
	small  = trial.Shape{Targets: 8, Slots: 6, Rate: 60, Floor: 0.5}
	shapes = []trial.Shape{large, small, {Targets: 28, Slots: 3, Rate: 200, Floor: 0.5}, {Targets: 8, Slots: 3, Rate: 60, Floor: 0.5}}
)

type fault func(f *trial.Fleet, a *trial.Attempt)

func half(f *trial.Fleet, a *trial.Attempt) {
	if f.Random.IntN(2) == 0 {
		a.Kind = report.Failed
	}
}

func tenfold(_ *trial.Fleet, a *trial.Attempt) { a.Latency *= 10 }

// at limits a fault to one target.
func at(id model.TargetID, next fault) fault {
	return func(f *trial.Fleet, a *trial.Attempt) {
		if a.Target.ID == id {
			next(f, a)
		}
	}
}

// run lets a healthy fleet warm up and then runs it with the fault.
func run(shape trial.Shape, seed uint64, d time.Duration, bad fault) (f *trial.Fleet, from time.Duration) {
	f = trial.NewFleet(shape, seed)
	f.Run(15*time.Second + time.Duration(seed)*10*time.Millisecond)
	from = f.Now()
	f.Behave = func(a *trial.Attempt) { bad(f, a) }
	f.Run(d)
	return f, from
}

// detection returns the sorted times after which target t-0 received no more
// requests, over runs that end before an ejection ends.
func detection(shape trial.Shape, runs int, bad fault) []time.Duration {
	out := make([]time.Duration, runs)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			f, from := run(shape, uint64(i), 5*time.Second, at("t-0", bad))
			out[i] = f.LastPick["t-0"] - from
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

// TestDetection guards against ejections that are later than the bound. Five
// consecutive errors on each daemon alone must miss it in the same simulation.
func TestDetection(t *testing.T) {
	const runs, p99 = 200, 197
	for _, s := range shapes {
		failed, slow := detection(s, runs, half), detection(s, runs, tenfold)
		t.Logf("%d targets, %d slots: failing half p50 %v p99 %v, slow p50 %v p99 %v",
			s.Targets, s.Slots, failed[runs/2], failed[p99], slow[runs/2], slow[p99])
		must.LessEq(t, bound, failed[p99])
		must.LessEq(t, bound, slow[p99])
		s.Naive = true
		must.Greater(t, bound, detection(s, 20, half)[10])
		must.Greater(t, bound, detection(s, 20, tenfold)[10])
	}
}

// TestSomeKinds guards against a target that fails all answers of one route
// only and is never found.
func TestSomeKinds(t *testing.T) {
	for _, s := range []trial.Shape{large, small} {
		for seed := range uint64(10) {
			f, from := run(s, seed, 20*time.Second, at("t-0", func(_ *trial.Fleet, a *trial.Attempt) {
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

// fails lets the requests of one customer fail everywhere.
func fails(customer model.CustomerID) fault {
	return func(_ *trial.Fleet, a *trial.Attempt) {
		if a.Customer == customer {
			a.Kind = report.Failed
		}
	}
}

// ejections runs seeds of the fleet and returns the ejections of all.
func ejections(shape trial.Shape, runs int, bad fault) (out []trial.Ejection) {
	for seed := range uint64(runs) {
		f, _ := run(shape, seed, 20*time.Second, bad)
		out = append(out, f.Ejected...)
	}
	return out
}

// TestNoEjection guards against ejections for causes outside the targets.
func TestNoEjection(t *testing.T) {
	for name, bad := range map[string]fault{
		"noise": func(*trial.Fleet, *trial.Attempt) {},
		"sick reporter": func(_ *trial.Fleet, a *trial.Attempt) {
			if a.Daemon.Host == "h-0" {
				a.Kind = report.Failed
			}
		},
		"slow reporter": func(f *trial.Fleet, a *trial.Attempt) {
			if a.Daemon.Host == "h-1" {
				tenfold(f, a)
			}
		},
		"small customer": fails("c3"),
		"overload":       tenfold,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			must.SliceEmpty(t, ejections(large, 10, bad))
			must.SliceEmpty(t, ejections(small, 10, bad))
		})
	}
}

// TestPoolTrouble guards against a pool that loses its targets one by one when
// half of all requests fail at once, for one customer or for all. The first
// target with a few failures more than the others may be ejected once.
func TestPoolTrouble(t *testing.T) {
	for name, bad := range map[string]fault{"large customer": fails("c0"), "all targets": half} {
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

// TestPathFault guards against a target that is ejected for all daemons
// because those of one failure domain cannot reach it.
func TestPathFault(t *testing.T) {
	const runs = 40
	for _, s := range []trial.Shape{large, small} {
		whole, late := 0, 0
		for seed := range uint64(runs) {
			f, from := run(s, seed, 6*time.Second, at("t-0", func(_ *trial.Fleet, a *trial.Attempt) {
				if a.Daemon.Domain == "d0" {
					a.Kind = report.Silent
				}
			}))
			must.SliceNotEmpty(t, f.Ejected)
			if f.Ejected[0].At-from > bound {
				late++
			}
			for _, e := range f.Ejected {
				must.EqOp(t, "t-0", e.Verdict.Target)
				if e.Verdict.Domain != "d0" {
					whole++
				}
			}
		}
		t.Logf("%d of %d for all daemons, %d late", whole, runs, late)
		must.LessEq(t, runs/5, whole)
		must.LessEq(t, runs/10, late)
	}
}

// TestFlapping guards against a target that is bad half of the time and comes
// back for each bad phase.
func TestFlapping(t *testing.T) {
	for _, s := range []trial.Shape{large, small} {
		wrong := 0
		f, _ := run(s, 1, 10*time.Minute, at("t-0", func(f *trial.Fleet, a *trial.Attempt) {
			if f.Now()/(10*time.Second)%2 == 0 {
				a.Kind = report.Failed
				wrong++
			}
		}))
		fair := s.Rate / float64(s.Targets) * 300
		t.Logf("%d ejections, %.3f of the failures without ejection", len(f.Ejected), float64(wrong)/fair)
		must.LessEq(t, 20, len(f.Ejected))
		must.Less(t, 0.1, float64(wrong)/fair)
	}
}

// TestColdStart guards against a judge that needs a healthy past to find a
// target that is bad from the start.
func TestColdStart(t *testing.T) {
	for _, s := range shapes {
		for seed := range uint64(10) {
			f := trial.NewFleet(s, seed)
			f.Behave = func(a *trial.Attempt) { at("t-0", half)(f, a) }
			f.Run(5 * time.Second)
			must.SliceNotEmpty(t, f.Ejected)
			must.EqOp(t, "t-0", f.Ejected[0].Verdict.Target)
		}
	}
}

// TestAllBad guards against requests that find no target when all targets of
// a small pool fail one after another, because of the floor.
func TestAllBad(t *testing.T) {
	f, from := run(small, 1, time.Second, func(*trial.Fleet, *trial.Attempt) {})
	refused := f.Refused
	f.Behave = func(a *trial.Attempt) {
		if i := slices.IndexFunc(f.Pool.Targets, func(c model.Target) bool { return c.ID == a.Target.ID }); f.Now() > from+time.Duration(i)*8*time.Second {
			half(f, a)
		}
	}
	f.Run(2 * time.Minute)
	must.Positive(t, len(f.Ejected))
	must.EqOp(t, refused, f.Refused)
}

// TestQuietDay guards against false ejections in a day of healthy noise in the
// pools of one region of both users.
func TestQuietDay(t *testing.T) {
	for _, n := range []int{13, 4, 14, 4} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			q := &trial.Quiet{Targets: n, Rate: 7.8, Reporters: 19, Limits: judge.DefaultLimits, Seed: uint64(n)}
			must.SliceEmpty(t, q.Run(24*time.Hour))
		})
	}
}
