package eval

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
	"rhubarbdrift.example/simul"
)

const (
	// detectBound is the upper bound for the p99 of the detection time.
	detectBound = 3 * time.Second
	// detectHorizon is the length of a detection run after the fault begins. The
	// shortest ejection takes 5 s, so an ejection because of the fault does not end
	// within the run. If the target is not ejected, the run counts with about this
	// time.
	detectHorizon = 5 * time.Second
	// failureTime is the time during which the requests of one customer fail at
	// all targets.
	failureTime = 20 * time.Second
	// reporters is the number of daemons per region that send reports to a judge. It
	// equals perRegion.
	reporters = 19
	// healthyErrors is the share of failed requests at healthy targets.
	healthyErrors = 0.005
	// consecutiveErrors is the number of errors in a row at which the naive policy
	// ejects a target.
	consecutiveErrors = 5
)

// faultInjector changes the outcome of an attempt at a faulty target.
type faultInjector func(f *simul.Fleet, a *simul.Attempt)

// failHalf makes half of the attempts fail.
func failHalf(f *simul.Fleet, a *simul.Attempt) {
	if f.Random.IntN(2) == 0 {
		a.Kind = report.Failed
	}
}

// slowTenfold multiplies the latency by ten.
func slowTenfold(_ *simul.Fleet, a *simul.Attempt) { a.Latency *= 10 }

// shape returns the simulated pool; its daemons use the naive policy for PolicyFiveErrors.
func (p Pool) shape(policy string) simul.Shape {
	return simul.Shape{Targets: p.Targets, Slots: p.Slots, Rate: p.Rate, Floor: 0.5, Naive: policy == PolicyFiveErrors}
}

// warm returns a healthy fleet after a warm-up of 15 s or more. The length depends
// on the seed, so that faults begin at different phases of periodic work.
func (p Pool) warm(policy string, seed uint64) *simul.Fleet {
	f := simul.NewFleet(p.shape(policy), seed)
	f.Run(15*time.Second + time.Duration(seed%100)*10*time.Millisecond)
	return f
}

// parallel calls the function for the seeds 0 to runs-1, at most 8 at a time, and
// returns the results in the order of the seeds.
func parallel[T any](runs int, run func(seed uint64) T) []T {
	results := make([]T, runs)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 8)
	for i := range results {
		semaphore <- struct{}{}
		wg.Go(func() {
			results[i] = run(uint64(i))
			<-semaphore
		})
	}
	wg.Wait()
	return results
}

// detect makes target t-0 faulty in a warm fleet, once for each seed. It returns, in
// ascending order, the times from the start of the fault to the last request sent to
// t-0, and the seeds of the runs whose time exceeds detectBound.
func (p Pool) detect(policy string, runs int, inject faultInjector) (times []time.Duration, late []int) {
	times = parallel(runs, func(seed uint64) time.Duration {
		f := p.warm(policy, seed)
		start := f.Now()
		f.InjectFault = func(a *simul.Attempt) {
			if a.Target.ID == "t-0" {
				inject(f, a)
			}
		}
		f.Run(detectHorizon)
		return max(0, f.LastRequest["t-0"]-start)
	})
	for seed, d := range times {
		if d > detectBound {
			late = append(late, seed)
		}
	}
	slices.Sort(times)
	return times, late
}

// quantile returns the quantile of a sorted list by the nearest-rank method, or 0
// for an empty list.
func quantile(list []time.Duration, fraction float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(math.Ceil(fraction*float64(len(list))))-1]
}

// measureDetection measures how long requests are still sent to a target after it
// becomes faulty.
func (m *Measurement) measureDetection(p Pool) []Figure {
	var figures []Figure
	for _, failure := range []struct {
		name   string
		inject faultInjector
	}{{"fails half", failHalf}, {"10x slower", slowTenfold}} {
		for _, policy := range []string{PolicyOurs, PolicyFiveErrors} {
			runs := m.DetectionRuns
			if policy != PolicyOurs {
				runs = m.NaiveDetectionRuns
			}
			times, late := p.detect(policy, runs, failure.inject)
			name := p.Name + ": detection, " + failure.name
			note := fmt.Sprint("seeds ", late)
			if policy != PolicyOurs {
				note = ""
			}
			figures = append(figures,
				Figure{Name: name + ", p50", Policy: policy, Value: quantile(times, 0.5).Seconds(), Unit: "s"},
				Figure{Name: name + ", p99", Policy: policy, Value: quantile(times, 0.99).Seconds(), Unit: "s", Bound: atMost(detectBound.Seconds()), Note: note})
		}
	}
	return figures
}

// measureEjections counts false ejections at the error rate of healthy targets,
// and ejections while all requests of one large customer fail. Half of the targets
// and of the requests belong to each of the two regions; the seeds 0 and 1 stand for
// the regions.
func (m *Measurement) measureEjections(p Pool) []Figure {
	ours := parallel(2, func(seed uint64) int {
		q := &simul.HealthyRun{Targets: p.Targets / 2, Rate: p.Rate / float64(p.Targets), Reporters: reporters, Thresholds: judge.DefaultThresholds, Seed: seed}
		return len(q.Run(m.HealthyTime))
	})
	naive := parallel(2, func(seed uint64) int { return m.naiveEjections(p, seed) })
	healthy, failingCustomer := p.Name+": false ejections, healthy day", p.Name+": ejections, one customer fails everywhere"
	hours := m.HealthyTime.Hours()
	return []Figure{
		{Name: healthy, Policy: PolicyOurs, Value: float64(ours[0]+ours[1]) / hours, Unit: "/h", Bound: atMost(0)},
		{Name: healthy, Policy: PolicyFiveErrors, Value: float64(naive[0]+naive[1]) / hours, Unit: "/h", Bound: atMost(0)},
		{Name: failingCustomer, Policy: PolicyOurs, Value: m.failingCustomer(p, PolicyOurs), Unit: "/run"},
		{Name: failingCustomer, Policy: PolicyFiveErrors, Value: m.failingCustomer(p, PolicyFiveErrors), Unit: "/run"},
	}
}

// naiveEjections counts the ejections by the naive policy in one region of healthy
// targets. For each pair of a daemon and a target it samples the numbers of successful
// answers between two failures instead of single answers.
func (m *Measurement) naiveEjections(p Pool, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 5))
	pairs := float64(p.Targets / 2 * reporters)
	answersPerPair := int(m.HealthyTime.Seconds() * p.Rate / 2 / pairs)
	ejected := 0
	for range int(pairs) {
		consecutive := 0
		for at := 0; at < answersPerPair; at++ {
			gap := int(random.ExpFloat64() / healthyErrors)
			at += gap
			if gap > 0 {
				consecutive = 0
			}
			if consecutive++; consecutive == consecutiveErrors {
				ejected++
			}
		}
	}
	return ejected
}

// failingCustomer returns the ejections per run while all requests of customer c0
// fail, which sends half of the requests of a simul.Fleet. An ejection by a single
// daemon counts as one divided by the number of daemons.
func (m *Measurement) failingCustomer(p Pool, policy string) float64 {
	sum := 0.0
	for _, n := range parallel(m.FailureRuns, func(seed uint64) float64 {
		f := p.warm(policy, seed)
		f.InjectFault = func(a *simul.Attempt) {
			if a.Customer == model.CustomerID("c0") {
				a.Kind = report.Failed
			}
		}
		f.Run(failureTime)
		return float64(len(f.Ejected)) + float64(f.LocalEjections)/float64(len(f.Daemons))
	}) {
		sum += n
	}
	return sum / float64(m.FailureRuns)
}
