package gauge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/fleet"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

const (
	// perRegion is the number of daemons of a region.
	perRegion = 19
	// within is the offered part of a customer's rate.
	within = 0.95
	// settleTime is the time in which region shares follow the demand; requests
	// in it are not counted.
	settleTime = 3 * time.Second
	// refuseBound is the bound for refusals, in percent.
	refuseBound = 0.5
	// enoughSeeds is the number of runs that give the smallest customer 1000
	// counted requests. With fewer, a single refusal can exceed the bound.
	enoughSeeds = 20
	// startTime is the time in which the owners start.
	startTime = time.Second
	// stagger separates the periodic work of the daemons, so that no two events
	// happen at the same time and their order is the same on every run.
	stagger = 601 * time.Microsecond
)

// pattern chooses the daemon of a request: a region and a number in it.
type pattern struct {
	name   string
	choose func(random *rand.Rand, moved bool) int
}

var patterns = []pattern{
	{"even traffic", func(r *rand.Rand, _ bool) int { return r.IntN(2 * perRegion) }},
	{"one daemon", func(*rand.Rand, bool) int { return 1 }},
	{"moves between regions", func(r *rand.Rand, moved bool) int {
		if moved {
			return perRegion + r.IntN(perRegion)
		}
		return r.IntN(perRegion)
	}},
}

// evenSplit is a naive policy: each daemon has a fixed part of the limits.
func evenSplit(c *model.Customer) fleet.Policy {
	const n = 2 * perRegion
	var mu sync.Mutex
	burst := max(1, float64(c.Burst)/n)
	last, tokens := time.Now(), burst
	return func(context.Context) (func() bool, error) {
		mu.Lock()
		defer mu.Unlock()
		tokens = min(burst, tokens+time.Since(last).Seconds()*float64(c.Rate)/n)
		last = time.Now()
		if tokens < 1 {
			return nil, quota.Limited(time.Second)
		}
		tokens--
		return func() bool { return true }, nil
	}
}

// tally counts the requests of a run.
type tally struct {
	sync.Mutex
	offered, refused int
}

// refusals returns the part of a customer's requests that is refused although
// the customer is within its rate.
func (g *Gauge) refusals(c *model.Customer, p pattern, policy string, seed uint64) *tally {
	t := new(tally)
	g.Bubble(func() {
		ctx, cancel := context.WithCancel(context.Background())
		f, daemons := limited(ctx, c, policy, seed)
		t.offer(ctx, c, p, daemons, seed, g.Limits)
		cancel()
		f.Wait()
		time.Sleep(time.Second) // writes under way end
	})
	return t
}

// limited starts the owners of a customer's limits and returns the policies of
// all daemons.
func limited(ctx context.Context, c *model.Customer, policy string, seed uint64) (*fleet.Fleet, []fleet.Policy) {
	f := fleet.NewSized(ctx, seed, c, 0, perRegion)
	time.Sleep(startTime)
	var daemons []fleet.Policy
	for _, r := range fleet.Regions {
		for i := range perRegion {
			time.Sleep(stagger)
			if policy == Even {
				daemons = append(daemons, evenSplit(c))
			} else {
				daemons = append(daemons, f.Granted(r, i))
			}
		}
	}
	return f, daemons
}

// offer sends one stream of requests with gaps that vary by half, and waits
// for its end. The stream moves in the middle.
func (t *tally) offer(ctx context.Context, c *model.Customer, p pattern, daemons []fleet.Policy, seed uint64, end time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	var tasks sync.WaitGroup
	for start := time.Now(); time.Since(start) < end; {
		at := time.Since(start)
		moved := at >= end/2
		counts := at >= settleTime && (!moved || at >= end/2+settleTime)
		admit := daemons[p.choose(random, moved)]
		wait := time.Duration(random.Float64() * float64(20*time.Millisecond))
		tasks.Go(func() {
			commit, err := admit(ctx)
			if err == nil {
				time.Sleep(wait)
			}
			t.count(counts, err == nil && commit())
		})
		time.Sleep(time.Duration((0.5 + random.Float64()) / (within * float64(c.Rate)) * float64(time.Second)))
	}
	tasks.Wait()
}

func (t *tally) count(counts, ok bool) {
	t.Lock()
	defer t.Unlock()
	if !counts {
		return
	}
	t.offered++
	if !ok {
		t.refused++
	}
}

// limits measures the refusals of all customers and of the worst, over several seeds.
func (g *Gauge) limits(d Deployment) []Line {
	var out []Line
	for _, p := range patterns {
		for _, policy := range []string{Ours, Even} {
			runs := g.Seeds
			if policy != Ours {
				runs = 1
			}
			all := parallel(runs*len(customers), func(i uint64) *tally {
				return g.refusals(&customers[i%uint64(len(customers))], p, policy, d.Seed+i/uint64(len(customers)))
			})
			part, worst, seeds := summary(all, d.Seed)
			bound := most(refuseBound)
			if runs < enoughSeeds {
				bound = Bound{}
			}
			if policy != Ours {
				seeds = ""
			}
			out = append(out,
				Line{Measure: "refused within the rate, " + p.name, Policy: policy, Value: 100 * part, Unit: "%", Bound: most(refuseBound)},
				Line{Measure: "refused, worst customer, " + p.name, Policy: policy, Value: 100 * worst, Unit: "%", Bound: bound, Note: seeds})
		}
	}
	return out
}

// summary returns the refused part of all requests and of those of the worst
// customer, whose seeds with refusals it names.
func summary(all []*tally, seed uint64) (part, worst float64, seeds string) {
	var total tally
	n := len(customers)
	for c := range customers {
		var sum tally
		var bad []uint64
		for i := c; i < len(all); i += n {
			sum.add(all[i])
			if all[i].refused > 0 {
				bad = append(bad, seed+uint64(i/n))
			}
		}
		total.add(&sum)
		if p := sum.part(); p > worst {
			worst, seeds = p, fmt.Sprintf("%s, seeds %d", customers[c].ID, bad)
		}
	}
	return total.part(), worst, seeds
}

func (t *tally) add(other *tally) {
	t.offered += other.offered
	t.refused += other.refused
}

func (t *tally) part() float64 { return float64(t.refused) / float64(max(1, t.offered)) }
