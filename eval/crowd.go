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

// loads are the loads that the customers offer at their rates, as fractions of
// the slots of a pool. The last customer is the one that sends surgeFactor times
// its rate.
var loads = []float64{0.02, 0.04, 0.06, 0.08, 0.10, 0.12, 0.12, 0.08}

// request is one simulated request.
type request struct {
	customer model.CustomerID
	seed     uint64        // of the random choices made for this request
	work     time.Duration // service time at the target
}

// server executes a request under one policy and reports whether it completed.
type server func(ctx context.Context, r *request) bool

// slots is a queue.Source with a fixed number of slots.
type slots int

// Capacity implements queue.Source.
func (s slots) Capacity(model.PoolID) int { return int(s) }

// SlotFreed implements queue.Source. It never signals, because the capacity is fixed.
func (s slots) SlotFreed(model.PoolID) <-chan struct{} { return nil }

// queuePolicies returns the policies by name, each for a single queue that owns
// all slots of the pool.
func (p Pool) queuePolicies() map[string]func() server {
	n := p.Targets * int(p.Slots)
	return map[string]func() server{
		PolicyOurs: func() server {
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
		PolicyFIFO: func() server { return fifo(n) },
	}
}

// fifo returns the naive policy: slots are granted in order of arrival,
// regardless of the customer.
func fifo(n int) server {
	free := make(chan struct{}, n)
	return func(ctx context.Context, r *request) bool {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		select {
		case free <- struct{}{}:
			time.Sleep(r.work)
			<-free
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// service counts the requests of one customer and records the latencies of those
// that completed within requestTimeout.
type service struct {
	requests int
	latency  []time.Duration
}

// overloadRun is one run of a pool under overload.
type overloadRun struct {
	ctx      context.Context
	server   server
	limits   []limsim.Policy // admission of the last customer, one per daemon; empty means no limits
	mu       sync.Mutex
	services []service
}

// p99 sorts the list in place and returns its 99th percentile.
func p99(list []time.Duration) time.Duration {
	slices.Sort(list)
	return quantile(list, 0.99)
}

// serve offers the requests of all customers for the time Size.OverloadTime and returns
// the results by customer. n is the number of slots. The last customer sends
// the given multiple of its rate, reduced to its rate by admission if limits is
// set. Arrivals and service times of the other customers do not depend on the
// policy or on the multiple.
func (g *Measurement) serve(n int, multiple float64, limits bool, policy func() server) []service {
	run := &overloadRun{services: make([]service, len(loads))}
	g.RunVirtual(func() {
		ctx, cancel := context.WithCancel(context.Background())
		run.ctx, run.server = ctx, policy()
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
				tasks.Go(func() { run.offer(i, rate, g.OverloadTime, &tasks) })
			}
		}
		tasks.Wait()
		cancel()
		wait()
		time.Sleep(time.Second) // let pending writes and the goroutine of the queue finish
	})
	return run.services
}

// offer sends the requests of one customer for the given time, with
// exponentially distributed gaps.
func (c *overloadRun) offer(customer int, rate float64, length time.Duration, tasks *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(overloadSeed, uint64(customer)))
	start := time.Now()
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(start) > length {
			return
		}
		r := &request{
			customer: model.CustomerID(fmt.Sprint("c", customer)), seed: random.Uint64(),
			work: minWork + time.Duration(random.ExpFloat64()*float64(meanWork)),
		}
		tasks.Go(func() { c.request(customer, r) })
	}
}

// request sends one request and records its result.
func (c *overloadRun) request(customer int, r *request) {
	start := time.Now()
	ok := c.admit(customer, r) && c.server(c.ctx, r)
	latency := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.services[customer]
	s.requests++
	if ok && latency <= requestTimeout {
		s.latency = append(s.latency, latency)
	}
}

// admit applies the limits of the last customer on a daemon chosen by the seed of
// the request. Other customers are always admitted.
func (c *overloadRun) admit(customer int, r *request) bool {
	if len(c.limits) == 0 || customer < len(loads)-1 {
		return true
	}
	commit, err := c.limits[r.seed%uint64(len(c.limits))](c.ctx)
	return err == nil && commit()
}

// measureOverload measures the worst-served customer while another sends
// surgeFactor times its rate. The figures are also given relative to the service
// of each customer without the overload.
func (g *Measurement) measureOverload(p Pool) []Figure {
	n := p.Targets * int(p.Slots)
	lines := g.worstCustomer(p.Name+": one queue, worst customer, ", n, false, p.queuePolicies(), PolicyOurs, PolicyFIFO)
	if !g.SimulateFleet {
		return lines
	}
	lines = append(lines, g.worstCustomer(p.Name+": fleet, worst customer, ", n, false, p.fleetPolicies(), PolicyOurs, PolicyFIFO)...)
	return append(lines, g.worstCustomer(p.Name+": fleet with limits, worst customer, ", n, true, p.fleetPolicies(), PolicyOurs)...)
}

// worstCustomer returns, for each named policy, the worst figures of all
// customers but the last.
func (g *Measurement) worstCustomer(name string, n int, limits bool, policies map[string]func() server, names ...string) []Figure {
	baseline := g.serve(n, 0, limits, policies[PolicyOurs])
	var lines []Figure
	for _, policy := range names {
		completed, relative, worstP99, p99Ratio := 1.0, 1.0, time.Duration(0), 0.0
		for i, with := range g.serve(n, surgeFactor, limits, policies[policy])[:len(loads)-1] {
			without := baseline[i]
			surgeP99, baseP99 := p99(with.latency), p99(without.latency)
			completed = min(completed, float64(len(with.latency))/float64(with.requests))
			relative = min(relative, float64(len(with.latency))/float64(len(without.latency)))
			worstP99, p99Ratio = max(worstP99, surgeP99), max(p99Ratio, surgeP99.Seconds()/baseP99.Seconds())
		}
		lines = append(lines,
			Figure{Measure: name + "whole/wanted", Policy: policy, Value: completed, Bound: higherIsBetter},
			Figure{Measure: name + "whole/whole without surge", Policy: policy, Value: relative, Bound: atLeast(0.9)},
			Figure{Measure: name + "p99", Policy: policy, Value: worstP99.Seconds(), Unit: "s"},
			Figure{Measure: name + "p99/p99 without surge", Policy: policy, Value: p99Ratio, Bound: atMost(1.1)})
	}
	return lines
}
