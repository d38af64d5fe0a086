package eval

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/limsim"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

const (
	// perRegion is the number of daemons per region in the simulations of limits and
	// in the type simulation.
	perRegion = 19
	// offeredFraction is the offered load as a fraction of the rate of a customer.
	offeredFraction = 0.95
	// settleTime is the time that the shares of the regions need to follow the
	// demand; requests during it are not counted.
	settleTime = 3 * time.Second
	// refuseBound is the upper bound for refused requests, in percent.
	refuseBound = 0.5
	// minSeeds is the minimum number of runs that give the smallest customer 1000 counted
	// requests. With fewer, a single refusal can exceed the bound.
	minSeeds = 20
	// startTime is the time that the quota owners need to start.
	startTime = time.Second
	// stagger offsets the periodic work of the daemons, so that no two events
	// happen at the same time and their order is the same in every run.
	stagger = 601 * time.Microsecond
)

// pattern is a traffic pattern. Its function chooses the daemon of a request by
// number: the first perRegion daemons are those of the first region. moved is true in
// the second half of a run.
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

// evenSplit returns the naive policy: a token bucket per daemon with a fixed, equal
// fraction of the limits.
func evenSplit(c *model.Customer) limsim.Policy {
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

// refusalCounts counts the offered and refused requests of a run.
type refusalCounts struct {
	sync.Mutex
	offered, refused int
}

// refusals simulates a customer within its rate and counts its requests and their
// refusals.
func (m *Measurement) refusals(c *model.Customer, p pattern, policyName string, seed uint64) *refusalCounts {
	t := new(refusalCounts)
	m.RunVirtual(func() {
		ctx, cancel := context.WithCancel(context.Background())
		f, policies := startFleet(ctx, c, policyName, seed)
		t.offer(ctx, c, p, policies, seed, m.RateTime)
		cancel()
		f.Wait()
		time.Sleep(time.Second) // let pending writes finish
	})
	return t
}

// startFleet starts the quota owners for a customer and returns the fleet and the
// admission of each daemon under the named policy: evenSplit for PolicyEvenSplit, the
// token cache of this project for any other name. The fleet itself offers no requests.
func startFleet(ctx context.Context, c *model.Customer, policyName string, seed uint64) (*limsim.Fleet, []limsim.Policy) {
	f := limsim.NewSized(ctx, seed, c, 0, perRegion)
	time.Sleep(startTime)
	var policies []limsim.Policy
	for _, r := range limsim.Regions {
		for i := range perRegion {
			time.Sleep(stagger)
			if policyName == PolicyEvenSplit {
				policies = append(policies, evenSplit(c))
			} else {
				policies = append(policies, f.CachePolicy(r, i))
			}
		}
	}
	return f, policies
}

// offer sends requests for the given time, with gaps that vary by half around the
// mean, and waits until all are decided. An admitted request pauses for up to 20 ms
// before it is committed, as in package limsim. After half of the time, a pattern
// that moves switches to the other region.
func (t *refusalCounts) offer(ctx context.Context, c *model.Customer, p pattern, policies []limsim.Policy, seed uint64, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	var tasks sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; {
		elapsed := time.Since(start)
		moved := elapsed >= duration/2
		counted := elapsed >= settleTime && (!moved || elapsed >= duration/2+settleTime)
		admit := policies[p.choose(random, moved)]
		pause := time.Duration(random.Float64() * float64(20*time.Millisecond))
		tasks.Go(func() {
			commit, err := admit(ctx)
			if err == nil {
				time.Sleep(pause)
			}
			t.count(counted, err == nil && commit())
		})
		time.Sleep(time.Duration((0.5 + random.Float64()) / (offeredFraction * float64(c.Rate)) * float64(time.Second)))
	}
	tasks.Wait()
}

// count adds a request, unless it arrived while shares were settling.
func (t *refusalCounts) count(counted, ok bool) {
	t.Lock()
	defer t.Unlock()
	if !counted {
		return
	}
	t.offered++
	if !ok {
		t.refused++
	}
}

// measureRefusals measures the refusals of all customers and of the worst-served
// one, over several seeds.
func (m *Measurement) measureRefusals(d Deployment) []Figure {
	var figures []Figure
	for _, p := range patterns {
		for _, policy := range []string{PolicyOurs, PolicyEvenSplit} {
			runs := m.RateSeeds
			if policy != PolicyOurs {
				runs = 1
			}
			counts := parallel(runs*len(customers), func(i uint64) *refusalCounts {
				return m.refusals(&customers[i%uint64(len(customers))], p, policy, d.Seed+i/uint64(len(customers)))
			})
			refusedFraction, worst, note := summary(counts, d.Seed)
			bound := atMost(refuseBound)
			if runs < minSeeds {
				bound = Bound{}
			}
			if policy != PolicyOurs {
				note = ""
			}
			figures = append(figures,
				Figure{Name: "refused within the rate, " + p.name, Policy: policy, Value: 100 * refusedFraction, Unit: "%", Bound: atMost(refuseBound)},
				Figure{Name: "refused, worst customer, " + p.name, Policy: policy, Value: 100 * worst, Unit: "%", Bound: bound, Note: note})
		}
	}
	return figures
}

// summary returns the refused fraction of all requests and that of the
// worst-served customer, and a note with the ID of this customer and the seeds in
// which it was refused.
func summary(counts []*refusalCounts, firstSeed uint64) (refusedFraction, worst float64, note string) {
	var total refusalCounts
	n := len(customers)
	for c := range customers {
		var sum refusalCounts
		var refusedSeeds []uint64
		for i := c; i < len(counts); i += n {
			sum.add(counts[i])
			if counts[i].refused > 0 {
				refusedSeeds = append(refusedSeeds, firstSeed+uint64(i/n))
			}
		}
		total.add(&sum)
		if p := sum.refusedFraction(); p > worst {
			worst, note = p, fmt.Sprintf("%s, seeds %d", customers[c].ID, refusedSeeds)
		}
	}
	return total.refusedFraction(), worst, note
}

// add adds the counts of another run.
func (t *refusalCounts) add(other *refusalCounts) {
	t.offered += other.offered
	t.refused += other.refused
}

// refusedFraction returns the refused fraction of the offered requests.
func (t *refusalCounts) refusedFraction() float64 {
	return float64(t.refused) / float64(max(1, t.offered))
}
