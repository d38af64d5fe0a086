// Package fleet simulates the limits of one customer in virtual time: daemons
// in two regions with drifting clocks, the messages between them, the platform
// and their faults. It measures refusals of a customer within its rate, and
// the largest excess over burst + rate*t in any window.
//
// # Usage
//
// Inside a bubble of testing/synctest:
//
//	f := fleet.New(ctx, seed, customer, 20*time.Second)
//	f.Change(func(s *Fleet.Faults) { s.Loss = 0.05 })
//	for _, r := range fleet.Regions {
//		f.Offer(f.Granted(r, 0), func(time.Duration) float64 { return 40 })
//	}
//	time.Sleep(20 * time.Second)
//	cancel()
//	f.Wait()
//	fmt.Println(f.Waste(), f.Excess())
//
// A Policy decides on requests. Granted is the product's; others can be
// compared with it.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wallet"
)

// Regions lists the simulated regions.
var Regions = []model.Region{"north", "south"}

// Hosts is the number of daemons per region of New.
const Hosts = 4

// Faults are the switches of a simulation.
type Faults struct {
	Loss   float64 // part of messages that are lost, late, repeated or reordered
	Pauses float64 // part of requests that pause before their write
	Lossy  float64 // part of platform writes whose answer is lost
	Apart  bool    // no messages between regions
}

// Fleet is a simulation.
type Fleet struct {
	// Customer is the customer whose limits are simulated.
	Customer *model.Customer
	// Platform is the store that the daemons share.
	Platform *store.Mem

	ctx   context.Context
	start time.Time
	hosts int // per region
	seed  uint64
	tasks sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	end      time.Duration
	holder   map[model.Region]int
	terms    map[model.Region]uint64
	owners   map[model.Region][]*quota.Owner
	settling func(time.Duration) bool
	admitted []time.Duration
	refused  int
	offered  int
}

// New starts the owners of a fleet. Requests are offered until end.
func New(ctx context.Context, seed uint64, c *model.Customer, end time.Duration) *Fleet {
	return NewSized(ctx, seed, c, end, Hosts)
}

// NewSized is New with another number of daemons per region.
func NewSized(ctx context.Context, seed uint64, c *model.Customer, end time.Duration, hosts int) *Fleet {
	f := &Fleet{
		Customer: c, Platform: store.NewMem(), hosts: hosts, seed: seed,
		ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), end: end,
		holder: map[model.Region]int{}, terms: map[model.Region]uint64{}, owners: map[model.Region][]*quota.Owner{},
	}
	f.Platform.SetDelay(2 * time.Millisecond)
	for _, r := range Regions {
		for i := range hosts {
			find := func(model.CustomerID) (*model.Customer, bool) { return c, true }
			o := quota.NewOwner(r, Regions, table{f, r, i}, find, platform{f.Platform, f}, f,
				quota.WithOwnerClock(f.clock()), quota.WithOwnerShards(1))
			f.owners[r] = append(f.owners[r], o)
			after := time.Duration(f.rng.IntN(int(time.Millisecond)))
			f.tasks.Go(func() {
				// Owners with the same phase would race for the shares' objects.
				time.Sleep(after)
				_ = o.Run(ctx)
			})
		}
	}
	return f
}

// clock drifts by up to 200 ppm.
func (f *Fleet) clock() model.Clock {
	drift := 1 + (f.Random()*2-1)*200e-6
	return func() time.Time {
		return f.start.Add(time.Duration(float64(f.Elapsed()) * drift))
	}
}

// Random returns a number in [0, 1) from the seed.
func (f *Fleet) Random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *Fleet) state() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Change sets switches.
func (f *Fleet) Change(set func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.faults)
}

// Settling names the times at which requests do not count for Waste.
func (f *Fleet) Settling(at func(time.Duration) bool) { f.settling = at }

// Go runs a task that Wait waits for.
func (f *Fleet) Go(task func()) { f.tasks.Go(task) }

// Wait waits for all tasks. The context of New must have ended.
func (f *Fleet) Wait() { f.tasks.Wait() }

// Elapsed returns the time since the start.
func (f *Fleet) Elapsed() time.Duration { return time.Since(f.start) }

// table is the ownership as the host i of a region sees it.
type table struct {
	fleet  *Fleet
	region model.Region
	host   int
}

func (t table) Holds(model.Shard) bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.fleet.holder[t.region] == t.host
}

func (t table) Owner(model.Shard) (model.HostID, bool) { return "", false }

func (t table) Term(model.Shard) uint64 {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.fleet.terms[t.region]
}

// ChangeOwner ends an ownership and starts the next after the longest grant.
func (f *Fleet) ChangeOwner(r model.Region) {
	f.mu.Lock()
	if f.holder[r] < 0 {
		f.mu.Unlock()
		return
	}
	next := (f.holder[r] + 1 + f.rng.IntN(f.hosts)) % f.hosts // may be the same host
	f.holder[r] = -1
	f.mu.Unlock()
	time.Sleep(quota.Longest + 5*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder[r], f.terms[r] = next, f.terms[r]+1
}

func (f *Fleet) reaches(from, to model.Region) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from == to || !f.faults.Apart
}

func (f *Fleet) delay(from, to model.Region) {
	base := time.Millisecond
	if from != to {
		base = 12 * time.Millisecond
	}
	// Drawn from the time, because the order of draws at the same time varies.
	part := rand.New(rand.NewPCG(f.seed, uint64(f.Elapsed()))).Float64()
	time.Sleep(time.Duration(float64(base) * (0.4 + 0.2*part)))
}

// Wish implements quota.Peers. The sender's region is part of the wish.
func (f *Fleet) Wish(ctx context.Context, to model.Region, w share.Wish) error {
	f.delay(w.From, to)
	if !f.reaches(w.From, to) || f.Random() < f.state().Loss {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, o := range f.owners[to] {
		o.Handle(w)
	}
	return nil
}

// link implements quota.Asker for one daemon.
type link struct {
	fleet *Fleet
	from  model.Region
}

func (l link) Ask(ctx context.Context, r model.Region, _ model.Shard, t quota.Take) (quota.Grant, error) {
	f := l.fleet
	f.delay(l.from, r)
	lost := func() (quota.Grant, error) {
		<-ctx.Done()
		return quota.Grant{}, ctx.Err()
	}
	if !f.reaches(l.from, r) {
		return lost()
	}
	loss, kind := f.state().Loss, f.Random()
	switch {
	case kind < loss/4:
		return lost()
	case kind < loss/2: // arrives a second time, after later ones
		again := time.Duration(f.Random() * float64(time.Second))
		f.tasks.Go(func() {
			time.Sleep(again)
			_, _ = f.Take(r, t)
		})
	case kind < loss*3/4: // arrives late
		time.Sleep(time.Duration(f.Random() * float64(50*time.Millisecond)))
	}
	g, err := f.Take(r, t)
	if kind > 1-loss/4 {
		return lost()
	}
	f.delay(r, l.from)
	if ctx.Err() != nil {
		return quota.Grant{}, ctx.Err()
	}
	return g, err
}

// Take calls the host that the asker believes to be the owner and passes the
// answer through its transport form.
func (f *Fleet) Take(r model.Region, t quota.Take) (quota.Grant, error) {
	f.mu.Lock()
	i := max(0, f.holder[r])
	f.mu.Unlock()
	return quota.AnswerOf(f.owners[r][i].Take(f.ctx, t)).Result()
}

// platform is the store with writes that can lose their answer and take effect
// late or not at all.
type platform struct {
	*store.Mem
	fleet *Fleet
}

func (p platform) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	f := p.fleet
	if f.Random() >= f.state().Lossy {
		return p.Mem.Put(ctx, kind, name, value, match)
	}
	if f.Random() < 0.5 {
		after := time.Duration(f.Random() * float64(3*time.Second))
		f.tasks.Go(func() {
			time.Sleep(after)
			_, _ = p.Mem.Put(context.WithoutCancel(ctx), kind, name, value, match)
		})
	}
	<-ctx.Done()
	return 0, store.ErrUnknown("lost")
}

// Policy admits requests at one daemon; commit is called immediately before
// the write to the target and reports whether the request may still run.
type Policy func(ctx context.Context) (commit func() bool, err error)

// Granted returns the product's policy: a wallet of a daemon.
func (f *Fleet) Granted(r model.Region, host int) Policy {
	o := quota.Origin{Host: model.HostID(fmt.Sprint(r, host)), Incarnation: "1", Region: r}
	return f.Through(o, link{f, r})
}

// Through returns the policy of a wallet with another asker.
func (f *Fleet) Through(o quota.Origin, asker quota.Asker) Policy {
	w := wallet.New(o, Regions, asker, wallet.WithClock(f.clock()), wallet.WithShards(1))
	f.tasks.Go(func() { _ = w.Run(f.ctx) })
	return func(ctx context.Context) (func() bool, error) {
		a, err := w.Admit(ctx, f.Customer)
		return a.Valid, err
	}
}

// Offer sends requests at a daemon at the rate per second that the function
// returns for a time, with gaps that vary by half.
func (f *Fleet) Offer(p Policy, rate func(time.Duration) float64) {
	f.tasks.Go(func() {
		for f.Elapsed() < f.end {
			r := rate(f.Elapsed())
			if r > 0 {
				f.tasks.Go(func() { f.request(p) })
			}
			time.Sleep(time.Duration((0.5 + f.Random()) / max(r, 1) * float64(time.Second)))
		}
	})
}

func (f *Fleet) request(p Policy) {
	commit, err := p(f.ctx)
	if err == nil {
		time.Sleep(time.Duration(f.Random() * float64(20*time.Millisecond)))
		if f.Random() < f.state().Pauses {
			time.Sleep(time.Duration(f.Random() * float64(2*quota.Lifetime)))
		}
	}
	ok := err == nil && commit()
	at := f.Elapsed()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settling == nil || !f.settling(at) {
		f.offered++
		if !ok {
			f.refused++
		}
	}
	if !ok {
		return
	}
	f.admitted = append(f.admitted, at)
}

// Admit counts n admissions at this time that no policy decided on.
func (f *Fleet) Admit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		f.admitted = append(f.admitted, time.Since(f.start))
	}
}

// Admitted returns the number of admissions.
func (f *Fleet) Admitted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.admitted)
}

// Waste returns the part of the counted requests that was refused.
func (f *Fleet) Waste() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.refused) / float64(max(1, f.offered))
}

// Excess returns by how many admissions the worst of all windows exceeds
// burst + rate*t; at most 0 is correct. A window from admission i to j holds
// j-i+1, so the worst one that ends at j starts where i - rate*t(i) is least.
func (f *Fleet) Excess() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.admitted)
	worst, least := -float64(f.Customer.Burst), 0.0
	for j, at := range f.admitted {
		level := float64(j) - float64(f.Customer.Rate)*at.Seconds()
		if j == 0 || level < least {
			least = level
		}
		worst = max(worst, level-least+1-float64(f.Customer.Burst))
	}
	return worst
}
