package eval

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/limsim"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/queue"
)

const (
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 4 * time.Second
	// minWork is the minimum service time. An exponentially distributed time
	// with the mean meanWork is added to it.
	minWork  = 300 * time.Millisecond
	meanWork = 400 * time.Millisecond
	// surgeFactor is the multiple of its rate that the overloading customer sends.
	surgeFactor = 10
	// overloadSeed is the seed of arrivals, service times and random choices.
	overloadSeed = 7
)

// loads holds for each customer the load at its rate: the mean number of slots that
// its requests occupy, as a fraction of the slots of the pool. The last customer is
// the one that sends surgeFactor times its rate.
var loads = []float64{0.02, 0.04, 0.06, 0.08, 0.10, 0.12, 0.12, 0.08}

// request is one simulated request.
type request struct {
	customer model.CustomerID
	seed     uint64        // of the random choices made for this request
	work     time.Duration // service time at the target
}

// executor executes a request under one policy, including the wait for a slot, and
// reports whether it completed.
type executor func(ctx context.Context, r *request) bool

// slots is a queue.Source with a fixed number of slots.
type slots int

// Capacity implements queue.Source.
func (s slots) Capacity(model.PoolID) int { return int(s) }

// SlotFreed implements queue.Source. It never signals, because the capacity is fixed.
func (s slots) SlotFreed(model.PoolID) <-chan struct{} { return nil }

// queuePolicies returns constructors of the policies by name. Each call of one makes
// a single queue that owns all slots of the pool.
func (p Pool) queuePolicies() map[string]func() executor {
	n := p.Targets * int(p.Slots)
	return map[string]func() executor{
		PolicyOurs: func() executor {
			q := queue.New("pool", slots(n))
			return func(ctx context.Context, r *request) bool {
				release, err := q.Acquire(ctx, r.customer, 1, time.Now().Add(requestTimeout))
				if err != nil {
					return false
				}
				defer release()
				time.Sleep(r.work)
				return true
			}
		},
		PolicyFIFO: func() executor { return fifo(n) },
	}
}

// fifo returns the naive policy: slots are granted in order of arrival,
// regardless of the customer.
func fifo(n int) executor {
	occupied := make(chan struct{}, n)
	return func(ctx context.Context, r *request) bool {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		select {
		case occupied <- struct{}{}:
			time.Sleep(r.work)
			<-occupied
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// customerStats counts the requests of one customer, including refused ones, and
// holds the latencies of those that completed within requestTimeout.
type customerStats struct {
	requests int
	latency  []time.Duration
}

// overloadRun is one run of a pool under overload.
type overloadRun struct {
	ctx         context.Context
	executor    executor
	limits      []limsim.Policy // admission of the last customer, one per daemon; empty means no limits
	mu          sync.Mutex
	perCustomer []customerStats
}

// p99 sorts the list in place and returns its 99th percentile.
func p99(list []time.Duration) time.Duration {
	slices.Sort(list)
	return quantile(list, 0.99)
}

// runOverload offers the requests of all customers for the time Size.OverloadTime
// and returns the statistics by customer. n is the number of slots. The last customer
// sends the given multiple of its rate, or nothing if multiple is 0; if limits is set,
// admission reduces its requests to its rate. Arrivals and service times of the other
// customers do not depend on the policy or on the multiple.
func (m *Measurement) runOverload(n int, multiple float64, limits bool, newPolicy func() executor) []customerStats {
	run := &overloadRun{perCustomer: make([]customerStats, len(loads))}
	m.RunVirtual(func() {
		ctx, cancel := context.WithCancel(context.Background())
		run.ctx, run.executor = ctx, newPolicy()
		wait := func() {}
		if limits {
			rate := loads[len(loads)-1] * float64(n) / (minWork + meanWork).Seconds()
			var f *limsim.Fleet
			f, run.limits = startFleet(ctx, &model.Customer{ID: "surge", Rate: model.Rate(rate), Burst: model.Burst(rate)}, PolicyOurs, overloadSeed)
			wait = f.Wait
		}
		var tasks sync.WaitGroup
		for i, fraction := range loads {
			if i == len(loads)-1 {
				fraction *= multiple
			}
			rate := fraction * float64(n) / (minWork + meanWork).Seconds()
			if rate > 0 {
				tasks.Go(func() { run.offer(i, rate, m.OverloadTime, &tasks) })
			}
		}
		tasks.Wait()
		cancel()
		wait()
		time.Sleep(time.Second) // let pending writes and the goroutine of the queue finish
	})
	return run.perCustomer
}

// offer sends the requests of one customer for the given duration, with exponentially
// distributed gaps, and does not wait for their results.
func (o *overloadRun) offer(customer int, rate float64, duration time.Duration, tasks *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(overloadSeed, uint64(customer)))
	start := time.Now()
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(start) > duration {
			return
		}
		r := &request{
			customer: model.CustomerID(fmt.Sprint("c", customer)), seed: random.Uint64(),
			work: minWork + time.Duration(random.ExpFloat64()*float64(meanWork)),
		}
		tasks.Go(func() { o.request(customer, r) })
	}
}

// request passes one request through admission and the policy and records its result.
func (o *overloadRun) request(customer int, r *request) {
	start := time.Now()
	ok := o.admit(customer, r) && o.executor(o.ctx, r)
	latency := time.Since(start)
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.perCustomer[customer]
	s.requests++
	if ok && latency <= requestTimeout {
		s.latency = append(s.latency, latency)
	}
}

// admit applies the limits of the last customer on a daemon chosen by the seed of
// the request. Other customers are always admitted.
func (o *overloadRun) admit(customer int, r *request) bool {
	if len(o.limits) == 0 || customer < len(loads)-1 {
		return true
	}
	commit, err := o.limits[r.seed%uint64(len(o.limits))](o.ctx)
	return err == nil && commit()
}

// measureOverload measures the worst-served customer while another sends
// surgeFactor times its rate. The figures are also given relative to a run under
// PolicyOurs in which that customer sends nothing.
func (m *Measurement) measureOverload(p Pool) []Figure {
	n := p.Targets * int(p.Slots)
	figures := m.worstCustomer(p.Name+": one queue, worst customer, ", n, false, p.queuePolicies(), PolicyOurs, PolicyFIFO)
	if !m.SimulateFleet {
		return figures
	}
	figures = append(figures, m.worstCustomer(p.Name+": fleet, worst customer, ", n, false, p.fleetPolicies(), PolicyOurs, PolicyFIFO)...)
	return append(figures, m.worstCustomer(p.Name+": fleet with limits, worst customer, ", n, true, p.fleetPolicies(), PolicyOurs)...)
}

// worstCustomer returns, for each named policy, the worst figures of all customers
// but the last. The names of the measures begin with prefix; in them, "whole" is the
// number of completed requests, "wanted" that of all requests, and "without surge"
// refers to the run in which the last customer sends nothing.
func (m *Measurement) worstCustomer(prefix string, n int, limits bool, policies map[string]func() executor, policyNames ...string) []Figure {
	baseline := m.runOverload(n, 0, limits, policies[PolicyOurs])
	var figures []Figure
	for _, policyName := range policyNames {
		completed, relative, worstP99, p99Ratio := 1.0, 1.0, time.Duration(0), 0.0
		for i, with := range m.runOverload(n, surgeFactor, limits, policies[policyName])[:len(loads)-1] {
			without := baseline[i]
			surgeP99, baseP99 := p99(with.latency), p99(without.latency)
			completed = min(completed, float64(len(with.latency))/float64(with.requests))
			relative = min(relative, float64(len(with.latency))/float64(len(without.latency)))
			worstP99, p99Ratio = max(worstP99, surgeP99), max(p99Ratio, surgeP99.Seconds()/baseP99.Seconds())
		}
		figures = append(figures,
			Figure{Name: prefix + "whole/wanted", Policy: policyName, Value: completed, Bound: higherIsBetter},
			Figure{Name: prefix + "whole/whole without surge", Policy: policyName, Value: relative, Bound: atLeast(0.9)},
			Figure{Name: prefix + "p99", Policy: policyName, Value: worstP99.Seconds(), Unit: "s"},
			Figure{Name: prefix + "p99/p99 without surge", Policy: policyName, Value: p99Ratio, Bound: atMost(1.1)})
	}
	return figures
}
