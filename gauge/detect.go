package gauge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/trial"
)

const (
	// detectBound is the bound for detection at p99.
	detectBound = 3 * time.Second
	// horizon ends a run of detection: an ejection can end after 5 s. A target
	// that still receives requests then counts with this time.
	horizon = 5 * time.Second
	// troubleTime is the time with a customer whose requests fail everywhere.
	troubleTime = 20 * time.Second
	// reporters is the number of daemons of a region.
	reporters = 19
	// healthyErrors is the failure rate of healthy targets.
	healthyErrors = 0.005
	// inRow is the number of consecutive errors at which the naive policy ejects.
	inRow = 5
)

type defect func(f *trial.Fleet, a *trial.Attempt)

func failHalf(f *trial.Fleet, a *trial.Attempt) {
	if f.Random.IntN(2) == 0 {
		a.Kind = report.Failed
	}
}

func slowTenfold(_ *trial.Fleet, a *trial.Attempt) { a.Latency *= 10 }

func (p Pool) shape(policy string) trial.Shape {
	return trial.Shape{Targets: p.Targets, Slots: p.Slots, Rate: p.Rate, Floor: 0.5, Naive: policy == Five}
}

// warm returns a healthy fleet that has run for a while.
func (p Pool) warm(policy string, seed uint64) *trial.Fleet {
	f := trial.NewFleet(p.shape(policy), seed)
	f.Run(15*time.Second + time.Duration(seed%100)*10*time.Millisecond)
	return f
}

// parallel runs seeds on all processors and returns their figures in order.
func parallel[T any](runs int, one func(seed uint64) T) []T {
	out := make([]T, runs)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range out {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = one(uint64(i))
			<-slots
		})
	}
	wg.Wait()
	return out
}

// detect returns the times in which t-0 receives its last request, sorted, and
// the seeds of those beyond the bound.
func (p Pool) detect(policy string, runs int, bad defect) (list []time.Duration, late []int) {
	list = parallel(runs, func(seed uint64) time.Duration {
		f := p.warm(policy, seed)
		from := f.Now()
		f.Behave = func(a *trial.Attempt) {
			if a.Target.ID == "t-0" {
				bad(f, a)
			}
		}
		f.Run(horizon)
		return max(0, f.LastPick["t-0"]-from)
	})
	for seed, d := range list {
		if d > detectBound {
			late = append(late, seed)
		}
	}
	slices.Sort(list)
	return list, late
}

// rank returns the value at a part of a sorted list (nearest rank).
func rank(list []time.Duration, part float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(math.Ceil(part*float64(len(list))))-1]
}

func (g *Gauge) detection(p Pool) []Line {
	var out []Line
	for _, c := range []struct {
		name string
		bad  defect
	}{{"fails half", failHalf}, {"10x slower", slowTenfold}} {
		for _, policy := range []string{Ours, Five} {
			runs := g.Runs
			if policy != Ours {
				runs = g.Naive
			}
			list, late := p.detect(policy, runs, c.bad)
			name := p.Name + ": detection, " + c.name
			note := fmt.Sprint("seeds ", late)
			if policy != Ours {
				note = ""
			}
			out = append(out,
				Line{Measure: name + ", p50", Policy: policy, Value: rank(list, 0.5).Seconds(), Unit: "s"},
				Line{Measure: name + ", p99", Policy: policy, Value: rank(list, 0.99).Seconds(), Unit: "s", Bound: most(detectBound.Seconds()), Note: note})
		}
	}
	return out
}

// quiet counts false ejections in healthy noise, and while all requests of one
// large customer fail.
func (g *Gauge) quiet(p Pool) []Line {
	ours := parallel(2, func(seed uint64) int {
		q := &trial.Quiet{Targets: p.Targets / 2, Rate: p.Rate / float64(p.Targets), Reporters: reporters, Limits: judge.DefaultLimits, Seed: seed}
		return len(q.Run(g.Quiet))
	})
	naive := parallel(2, func(seed uint64) int { return g.rows(p, seed) })
	healthy, trouble := p.Name+": false ejections, healthy day", p.Name+": ejections, one customer fails everywhere"
	hours := g.Quiet.Hours()
	return []Line{
		{Measure: healthy, Policy: Ours, Value: float64(ours[0]+ours[1]) / hours, Unit: "/h", Bound: most(0)},
		{Measure: healthy, Policy: Five, Value: float64(naive[0]+naive[1]) / hours, Unit: "/h", Bound: most(0)},
		{Measure: trouble, Policy: Ours, Value: g.trouble(p, Ours), Unit: "/run"},
		{Measure: trouble, Policy: Five, Value: g.trouble(p, Five), Unit: "/run"},
	}
}

// rows counts the ejections of five errors in a row in one region. It draws
// the gaps between failures instead of the answers.
func (g *Gauge) rows(p Pool, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 5))
	pairs := float64(p.Targets / 2 * reporters)
	answers := int(g.Quiet.Seconds() * p.Rate / 2 / pairs)
	ejected := 0
	for range int(pairs) {
		row := 0
		for at := 0; at < answers; at++ {
			gap := int(random.ExpFloat64() / healthyErrors)
			at += gap
			if gap > 0 {
				row = 0
			}
			if row++; row == inRow {
				ejected++
			}
		}
	}
	return ejected
}

// trouble returns the ejections per run. An ejection on one daemon counts as
// the part of the fleet that it is.
func (g *Gauge) trouble(p Pool, policy string) float64 {
	sum := 0.0
	for _, n := range parallel(g.Trouble, func(seed uint64) float64 {
		f := p.warm(policy, seed)
		f.Behave = func(a *trial.Attempt) {
			if a.Customer == model.CustomerID("c0") {
				a.Kind = report.Failed
			}
		}
		f.Run(troubleTime)
		return float64(len(f.Ejected)) + float64(f.Local)/float64(len(f.Daemons))
	}) {
		sum += n
	}
	return sum / float64(g.Trouble)
}
