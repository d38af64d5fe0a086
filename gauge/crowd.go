package gauge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/fleet"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/queue"
)

const (
	// patience is the deadline of a request.
	patience = 4 * time.Second
	// leastWork and meanWork describe the service times: the least, and the
	// mean of an exponential time that is added.
	leastWork = 300 * time.Millisecond
	meanWork  = 400 * time.Millisecond
	// surge is the factor of the customer that sends above its rate.
	surge = 10
	// crowdSeed is the seed of arrivals and service times.
	crowdSeed = 7
)

// loads are the customers' offered loads as parts of a pool's slots. The last
// customer is the one that sends ten times its rate.
var loads = []float64{0.02, 0.04, 0.06, 0.08, 0.10, 0.12, 0.12, 0.08}

// request is one request of a run.
type request struct {
	customer model.CustomerID
	seed     uint64 // of the request's own choices
	work     time.Duration
}

// server serves a request and reports whether it was answered.
type server func(ctx context.Context, r *request) bool

// slots is a queue.Source of a fixed capacity.
type slots int

// Capacity implements queue.Source.
func (s slots) Capacity(model.PoolID) int { return int(s) }

// Free implements queue.Source.
func (s slots) Free(model.PoolID) <-chan struct{} { return nil }

// alone returns the policies of one queue that has all slots of a pool.
func (p Pool) alone() map[string]func() server {
	n := p.Targets * int(p.Slots)
	return map[string]func() server{
		Ours: func() server {
			q := queue.New("pool", slots(n))
			return func(ctx context.Context, r *request) bool {
				release, err := q.Enter(ctx, r.customer, 1, time.Now().Add(patience))
				if err != nil {
					return false
				}
				defer release()
				time.Sleep(r.work)
				return true
			}
		},
		First: func() server { return fifo(n) },
	}
}

// fifo is the naive policy: whoever came first gets the next slot.
func fifo(n int) server {
	free := make(chan struct{}, n)
	return func(ctx context.Context, r *request) bool {
		ctx, cancel := context.WithTimeout(ctx, patience)
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

// service is what one customer received.
type service struct {
	wanted int
	took   []time.Duration // of whole answers in time
}

// crowding is one run of a pool under overload.
type crowding struct {
	ctx    context.Context
	server server
	limits []fleet.Policy // of the last customer on each daemon; none: no limits
	mu     sync.Mutex
	got    []service
}

func p99(list []time.Duration) time.Duration {
	slices.Sort(list)
	return rank(list, 0.99)
}

// serve offers requests for a time; the last customer sends the given multiple
// of its rate, which its limits cut if they are on.
// Arrivals and service times do not depend on the policy or on the multiple.
func (g *Gauge) serve(n int, multiple float64, limits bool, policy func() server) []service {
	c := &crowding{got: make([]service, len(loads))}
	g.Bubble(func() {
		ctx, cancel := context.WithCancel(context.Background())
		c.ctx, c.server = ctx, policy()
		wait := func() {}
		if limits {
			rate := loads[len(loads)-1] * float64(n) / (leastWork + meanWork).Seconds()
			var f *fleet.Fleet
			f, c.limits = limited(ctx, &model.Customer{ID: "surge", Rate: model.Rate(rate), Burst: model.Burst(rate)}, Ours, crowdSeed)
			wait = f.Wait
		}
		var tasks sync.WaitGroup
		for i, part := range loads {
			if i == len(loads)-1 {
				part *= multiple
			}
			rate := part * float64(n) / (leastWork + meanWork).Seconds()
			if rate > 0 {
				tasks.Go(func() { c.offer(i, rate, g.Crowd, &tasks) })
			}
		}
		tasks.Wait()
		cancel()
		wait()
		time.Sleep(time.Second) // writes under way and the queue's goroutine end
	})
	return c.got
}

func (c *crowding) offer(customer int, rate float64, end time.Duration, tasks *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(crowdSeed, uint64(customer)))
	start := time.Now()
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(start) > end {
			return
		}
		r := &request{
			customer: model.CustomerID(fmt.Sprint("c", customer)), seed: random.Uint64(),
			work: leastWork + time.Duration(random.ExpFloat64()*float64(meanWork)),
		}
		tasks.Go(func() { c.request(customer, r) })
	}
}

func (c *crowding) request(customer int, r *request) {
	start := time.Now()
	ok := c.admit(customer, r) && c.server(c.ctx, r)
	took := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.got[customer]
	s.wanted++
	if ok && took <= patience {
		s.took = append(s.took, took)
	}
}

// admit applies the limits of the last customer.
func (c *crowding) admit(customer int, r *request) bool {
	if len(c.limits) == 0 || customer < len(loads)-1 {
		return true
	}
	commit, err := c.limits[r.seed%uint64(len(c.limits))](c.ctx)
	return err == nil && commit()
}

// crowd measures the worst of the other customers while one sends ten times
// its rate, in parts of what each receives without that customer.
func (g *Gauge) crowd(p Pool) []Line {
	n := p.Targets * int(p.Slots)
	out := g.worst(p.Name+": one queue, worst customer, ", n, false, p.alone(), Ours, First)
	if !g.Fleet {
		return out
	}
	out = append(out, g.worst(p.Name+": fleet, worst customer, ", n, false, p.fleet(), Ours, First)...)
	return append(out, g.worst(p.Name+": fleet with limits, worst customer, ", n, true, p.fleet(), Ours)...)
}

func (g *Gauge) worst(name string, n int, limits bool, policies map[string]func() server, names ...string) []Line {
	base := g.serve(n, 0, limits, policies[Ours])
	var out []Line
	for _, policy := range names {
		whole, part, worst, longer := 1.0, 1.0, time.Duration(0), 0.0
		for i, with := range g.serve(n, surge, limits, policies[policy])[:len(loads)-1] {
			was := base[i]
			q, before := p99(with.took), p99(was.took)
			whole = min(whole, float64(len(with.took))/float64(with.wanted))
			part = min(part, float64(len(with.took))/float64(len(was.took)))
			worst, longer = max(worst, q), max(longer, q.Seconds()/before.Seconds())
		}
		out = append(out,
			Line{Measure: name + "whole/wanted", Policy: policy, Value: whole, Bound: higher},
			Line{Measure: name + "whole/whole without surge", Policy: policy, Value: part, Bound: least(0.9)},
			Line{Measure: name + "p99", Policy: policy, Value: worst.Seconds(), Unit: "s"},
			Line{Measure: name + "p99/p99 without surge", Policy: policy, Value: longer, Bound: most(1.1)})
	}
	return out
}
