// Package limsim simulates the rate limiting of one customer in virtual time:
// daemons in two regions with drifting clocks, the messages between them, the
// platform, and faults of all these. It measures the refusals of a customer within
// its rate, and the largest excess over burst + rate*t in any time window.
//
// # Usage
//
// Inside a bubble of testing/synctest:
//
//	f := limsim.New(ctx, seed, customer, 20*time.Second)
//	f.SetFaults(func(s *limsim.Faults) { s.MessageLoss = 0.05 })
//	for _, r := range limsim.Regions {
//		f.Offer(f.CachePolicy(r, 0), func(time.Duration) float64 { return 40 })
//	}
//	time.Sleep(20 * time.Second)
//	cancel()
//	f.Wait()
//	fmt.Println(f.RefusedFraction(), f.Excess())
//
// A Policy decides which requests are admitted. CachePolicy returns the policy of this
// project; other policies can be compared with it.
package limsim

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
	"rhubarbdrift.example/tokens"
)

// Regions lists the simulated regions.
var Regions = []model.Region{"north", "south"}

// Hosts is the number of daemons per region in a fleet made by New.
const Hosts = 4

// Faults sets the faults that a simulation injects. Shares are between 0 and 1.
type Faults struct {
	MessageLoss float64 // share of share requests that are lost, and of token requests that are lost, delayed, duplicated or reordered
	PauseShare  float64 // share of requests that pause between admission and the write to the target
	WriteLoss   float64 // share of platform writes whose response is lost
	Partitioned bool    // network partition between the regions
}

// Fleet is a running simulation. Its methods are safe for concurrent use, except
// ExcludeTimes, which must be called before requests are offered.
type Fleet struct {
	// Customer is the customer whose limits are simulated.
	Customer *model.Customer
	// Platform is the store shared by all daemons, without injected faults.
	Platform *store.Mem

	ctx   context.Context
	start time.Time
	hosts int // number of daemons per region
	seed  uint64
	tasks sync.WaitGroup

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	end          time.Duration                   // time since the start at which Offer stops
	holder       map[model.Region]int            // daemon that owns the shard; -1 during a change of owner
	terms        map[model.Region]uint64         // number of completed changes of owner
	owners       map[model.Region][]*quota.Owner // one per daemon; only that of holder owns the shard
	excludeTimes func(time.Duration) bool        // may be nil
	admitted     []time.Duration                 // times of the admissions since the start
	refused      int
	offered      int
}

// New starts the quota owners of a fleet with Hosts daemons per region, one per daemon.
// They run until ctx ends. Requests are sent only by Offer, which stops when end has
// passed since the start.
func New(ctx context.Context, seed uint64, c *model.Customer, end time.Duration) *Fleet {
	return NewSized(ctx, seed, c, end, Hosts)
}

// NewSized is like New with the given number of daemons per region.
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
			o := quota.NewOwner(r, Regions, ownership{f, r, i}, find, faultyStore{f.Platform, f}, f,
				quota.WithOwnerClock(f.clock()), quota.WithOwnerShards(1))
			f.owners[r] = append(f.owners[r], o)
			startDelay := time.Duration(f.rng.IntN(int(time.Millisecond)))
			f.tasks.Go(func() {
				// Owners whose periodic work runs in phase would race for the stored
				// shares.
				time.Sleep(startDelay)
				_ = o.Run(ctx)
			})
		}
	}
	return f
}

// clock returns a clock whose constant drift is drawn from up to 200 ppm in either
// direction.
func (f *Fleet) clock() model.Clock {
	drift := 1 + (f.Random()*2-1)*200e-6
	return func() time.Time {
		return f.start.Add(time.Duration(float64(f.Elapsed()) * drift))
	}
}

// Random returns the next pseudo-random number in [0, 1).
func (f *Fleet) Random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// currentFaults returns the faults that are injected now.
func (f *Fleet) currentFaults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// SetFaults modifies the injected faults. The function must not call methods of f.
func (f *Fleet) SetFaults(set func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.faults)
}

// ExcludeTimes sets the function that reports whether the requests that are decided at
// a time since the start are excluded from RefusedFraction.
func (f *Fleet) ExcludeTimes(excluded func(time.Duration) bool) { f.excludeTimes = excluded }

// Go runs a task in a new goroutine that Wait waits for.
func (f *Fleet) Go(task func()) { f.tasks.Go(task) }

// Wait waits for all tasks. The context of New must have ended.
func (f *Fleet) Wait() { f.tasks.Wait() }

// Elapsed returns the time since the start.
func (f *Fleet) Elapsed() time.Duration { return time.Since(f.start) }

// ownership is the shard table of one daemon of a region. There is one shard, and each
// region has its own owner of it.
type ownership struct {
	fleet  *Fleet
	region model.Region
	host   int
}

// Holds reports whether the daemon owns the shard.
func (t ownership) Holds(model.Shard) bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.fleet.holder[t.region] == t.host
}

// Owner returns false, so that a refusal names no other owner: RequestFromOwner
// finds the owner of a region without it.
func (t ownership) Owner(model.Shard) (model.HostID, bool) { return "", false }

// Term returns the number of completed changes of owner in the region.
func (t ownership) Term(model.Shard) uint64 {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return t.fleet.terms[t.region]
}

// ChangeOwner revokes the ownership in a region and assigns it to a random daemon of
// the region when the last grant has expired, slightly after quota.OwnerLifetime. It
// returns when this is done, or at once if another change is in progress.
func (f *Fleet) ChangeOwner(r model.Region) {
	f.mu.Lock()
	if f.holder[r] < 0 {
		f.mu.Unlock()
		return
	}
	next := (f.holder[r] + 1 + f.rng.IntN(f.hosts)) % f.hosts // may be the same daemon
	f.holder[r] = -1
	f.mu.Unlock()
	time.Sleep(quota.OwnerLifetime + 5*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder[r], f.terms[r] = next, f.terms[r]+1
}

// reaches reports whether messages can pass between two regions.
func (f *Fleet) reaches(from, to model.Region) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from == to || !f.faults.Partitioned
}

// delay sleeps for the one-way latency of a message: 0.4 to 0.6 ms within a
// region, 4.8 to 7.2 ms between regions.
func (f *Fleet) delay(from, to model.Region) {
	base := time.Millisecond // mean time for a message and its answer
	if from != to {
		base = 12 * time.Millisecond
	}
	// The jitter depends on the seed and the time instead of being drawn from rng,
	// because the order in which goroutines draw at the same time varies between runs.
	jitter := rand.New(rand.NewPCG(f.seed, uint64(f.Elapsed()))).Float64()
	time.Sleep(time.Duration(float64(base) * (0.4 + 0.2*jitter)))
}

// SendShareRequest implements share.Requester. It delivers the request to all daemons
// of the region, or blocks until ctx ends if the message is lost.
func (f *Fleet) SendShareRequest(ctx context.Context, to model.Region, req share.Request) error {
	f.delay(req.From, to)
	if !f.reaches(req.From, to) || f.Random() < f.currentFaults().MessageLoss {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, o := range f.owners[to] {
		o.HandleShareRequest(req)
	}
	return nil
}

// link implements quota.TokenClient for one daemon over a faulty network.
type link struct {
	fleet *Fleet
	from  model.Region
}

// RequestTokens sends the request to the owner in the region. Of all requests, a share
// of Faults.MessageLoss meets a fault: a quarter of these each are lost, delivered a
// second time, delivered late, or lose their response.
func (l link) RequestTokens(ctx context.Context, r model.Region, _ model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	f := l.fleet
	f.delay(l.from, r)
	lost := func() (quota.Grant, error) {
		<-ctx.Done()
		return quota.Grant{}, ctx.Err()
	}
	if !f.reaches(l.from, r) {
		return lost()
	}
	loss, outcome := f.currentFaults().MessageLoss, f.Random()
	switch {
	case outcome < loss/4:
		return lost()
	case outcome < loss/2: // delivered a second time, possibly after later requests
		repeatDelay := time.Duration(f.Random() * float64(time.Second))
		f.tasks.Go(func() {
			time.Sleep(repeatDelay)
			_, _ = f.RequestFromOwner(r, t)
		})
	case outcome < loss*3/4: // delivered late
		time.Sleep(time.Duration(f.Random() * float64(50*time.Millisecond)))
	}
	g, err := f.RequestFromOwner(r, t)
	if outcome > 1-loss/4 {
		return lost()
	}
	f.delay(r, l.from)
	if ctx.Err() != nil {
		return quota.Grant{}, ctx.Err()
	}
	return g, err
}

// RequestFromOwner passes the token request to the owner in the region and converts the
// answer to its wire form and back. During a change of owner it calls the first daemon,
// which refuses because it does not own the shard.
func (f *Fleet) RequestFromOwner(r model.Region, t quota.TokenRequest) (quota.Grant, error) {
	f.mu.Lock()
	i := max(0, f.holder[r])
	f.mu.Unlock()
	return quota.AnswerOf(f.owners[r][i].Grant(f.ctx, t)).Result()
}

// faultyStore is the store of a Fleet with faulty writes. The share Faults.WriteLoss of
// the writes returns no response; half of these take effect late, the others never.
type faultyStore struct {
	*store.Mem
	fleet *Fleet
}

// Put implements store.Store.
func (s faultyStore) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	f := s.fleet
	if f.Random() >= f.currentFaults().WriteLoss {
		return s.Mem.Put(ctx, kind, name, value, match)
	}
	if f.Random() < 0.5 {
		writeDelay := time.Duration(f.Random() * float64(3*time.Second))
		f.tasks.Go(func() {
			time.Sleep(writeDelay)
			_, _ = s.Mem.Put(context.WithoutCancel(ctx), kind, name, value, match)
		})
	}
	<-ctx.Done()
	return 0, store.ErrUnknown("lost")
}

// Policy admits requests at one daemon. An error means that the request is refused.
// commit is called immediately before the write to the target and reports whether
// the request may still run.
type Policy func(ctx context.Context) (commit func() bool, err error)

// CachePolicy returns the policy of this project: the token cache of a daemon.
func (f *Fleet) CachePolicy(r model.Region, host int) Policy {
	o := quota.Origin{Host: model.HostID(fmt.Sprint(r, host)), Incarnation: "1", Region: r}
	return f.CachePolicyWith(o, link{f, r})
}

// CachePolicyWith returns the policy of a token cache that uses the given client.
func (f *Fleet) CachePolicyWith(o quota.Origin, client quota.TokenClient) Policy {
	cache := tokens.New(o, Regions, client, tokens.WithClock(f.clock()), tokens.WithShards(1))
	f.tasks.Go(func() { _ = cache.Run(f.ctx) })
	return func(ctx context.Context) (func() bool, error) {
		a, err := cache.Admit(ctx, f.Customer)
		return a.Commit, err
	}
}

// Offer sends requests under the policy of a daemon until the end of the run. The
// function returns the rate in requests per second at a time since the start; gaps
// vary by half around the mean.
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

// request sends one request and records whether it was admitted. Between admission and
// commit it pauses for up to 20 ms, and under the fault PauseShare for up to two
// lifetimes of a grant.
func (f *Fleet) request(p Policy) {
	commit, err := p(f.ctx)
	if err == nil {
		time.Sleep(time.Duration(f.Random() * float64(20*time.Millisecond)))
		if f.Random() < f.currentFaults().PauseShare {
			time.Sleep(time.Duration(f.Random() * float64(2*quota.GrantLifetime)))
		}
	}
	ok := err == nil && commit()
	at := f.Elapsed()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.excludeTimes == nil || !f.excludeTimes(at) {
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

// RecordAdmissions records n admissions at the current time without consulting a policy.
func (f *Fleet) RecordAdmissions(n int) {
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

// RefusedFraction returns the fraction of the counted requests that was refused.
func (f *Fleet) RefusedFraction() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.refused) / float64(max(1, f.offered))
}

// Excess returns the number of admissions by which the worst of all time windows
// exceeds burst + rate*t; the limit is kept if it is at most 0. Let t(i) be the time of
// admission i. The window from admission i to j contains j-i+1 admissions and exceeds
// the limit by (j - rate*t(j)) - (i - rate*t(i)) + 1 - burst. The worst window that
// ends at j therefore starts at the i for which i - rate*t(i) is minimal.
func (f *Fleet) Excess() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.admitted)
	worst, lowest := -float64(f.Customer.Burst), 0.0
	for j, at := range f.admitted {
		level := float64(j) - float64(f.Customer.Rate)*at.Seconds()
		if j == 0 || level < lowest {
			lowest = level
		}
		worst = max(worst, level-lowest+1-float64(f.Customer.Burst))
	}
	return worst
}
