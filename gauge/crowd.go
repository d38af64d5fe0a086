package gauge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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

// enter waits for a slot like queue.Queue.Enter.
type enter func(ctx context.Context, id model.CustomerID, weight int, deadline time.Time) (func(), error)

// slots is a queue.Source of a fixed capacity.
type slots int

// Capacity implements queue.Source.
func (s slots) Capacity(model.PoolID) int { return int(s) }

// Free implements queue.Source.
func (s slots) Free(model.PoolID) <-chan struct{} { return nil }

// fifo is the naive policy: whoever came first gets the next slot.
func fifo(n int) enter {
	free := make(chan struct{}, n)
	return func(ctx context.Context, _ model.CustomerID, _ int, deadline time.Time) (func(), error) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case free <- struct{}{}:
			return func() { <-free }, nil
		case <-ctx.Done():
			return nil, ctx.Err()
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
	ctx   context.Context
	enter enter
	mu    sync.Mutex
	got   []service
}

func p99(list []time.Duration) time.Duration {
	slices.Sort(list)
	return rank(list, 0.99)
}

// serve offers requests for a time; the last customer sends the given multiple.
// Arrivals and service times do not depend on the policy or on the multiple.
func (g *Gauge) serve(n int, multiple float64, policy func() enter) []service {
	c := &crowding{got: make([]service, len(loads))}
	g.Bubble(func() {
		c.ctx, c.enter = context.Background(), policy()
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
		time.Sleep(time.Second) // the queue's goroutine ends
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
		work := leastWork + time.Duration(random.ExpFloat64()*float64(meanWork))
		tasks.Go(func() { c.request(customer, work) })
	}
}

func (c *crowding) request(customer int, work time.Duration) {
	start := time.Now()
	release, err := c.enter(c.ctx, model.CustomerID(fmt.Sprint("c", customer)), 1, start.Add(patience))
	if err == nil {
		time.Sleep(work)
		release()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.got[customer]
	s.wanted++
	if took := time.Since(start); err == nil && took <= patience {
		s.took = append(s.took, took)
	}
}

// crowd measures the worst of the other customers while one sends ten times
// its rate, in parts of what each receives without that customer.
func (g *Gauge) crowd(p Pool) []Line {
	n := p.Targets * int(p.Slots)
	policies := map[string]func() enter{
		Ours:  func() enter { return queue.New("pool", slots(n)).Enter },
		First: func() enter { return fifo(n) },
	}
	base := g.serve(n, 0, policies[Ours])
	var out []Line
	for _, policy := range []string{Ours, First} {
		whole, part, worst, longer := 1.0, 1.0, time.Duration(0), 0.0
		for i, with := range g.serve(n, surge, policies[policy])[:len(loads)-1] {
			was := base[i]
			q, before := p99(with.took), p99(was.took)
			whole = min(whole, float64(len(with.took))/float64(with.wanted))
			part = min(part, float64(len(with.took))/float64(len(was.took)))
			worst, longer = max(worst, q), max(longer, q.Seconds()/before.Seconds())
		}
		name := p.Name + ": worst customer, "
		out = append(out,
			Line{Measure: name + "whole/wanted", Policy: policy, Value: whole, Bound: higher},
			Line{Measure: name + "whole/whole without surge", Policy: policy, Value: part, Bound: least(0.9)},
			Line{Measure: name + "p99", Policy: policy, Value: worst.Seconds(), Unit: "s"},
			Line{Measure: name + "p99/p99 without surge", Policy: policy, Value: longer, Bound: most(1.1)})
	}
	return out
}
