package wallet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The same schedules on every run.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "15")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var regions = []model.Region{"north", "south"}

const hostsPerRegion = 4

// fleet simulates daemons in two regions, the messages between them and the
// platform. All faults are switches that a test sets over time.
type fleet struct {
	mu       sync.Mutex
	rng      *rand.Rand
	customer *model.Customer
	start    time.Time
	end      time.Duration
	loss     float64 // part of messages that are lost, late, repeated or reordered
	pauses   float64 // part of requests that pause before their write
	apart    bool    // no messages between regions
	holder   map[model.Region]int
	terms    map[model.Region]uint64
	owners   map[model.Region][]*quota.Owner
	platform *platform
	admitted []time.Duration
	refused  int
	offered  int
	settling func(time.Duration) bool // requests that do not count as offered or refused
	ctx      context.Context
	tasks    sync.WaitGroup
}

func newFleet(ctx context.Context, seed uint64, c *model.Customer, end time.Duration) *fleet {
	f := &fleet{
		ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), customer: c, start: time.Now(), end: end,
		holder: map[model.Region]int{}, terms: map[model.Region]uint64{}, owners: map[model.Region][]*quota.Owner{},
	}
	f.platform = &platform{Mem: store.NewMem(), fleet: f}
	f.platform.SetDelay(2 * time.Millisecond)
	for _, r := range regions {
		for i := range hostsPerRegion {
			find := func(model.CustomerID) (*model.Customer, bool) { return c, true }
			o := quota.NewOwner(r, regions, table{f, r, i}, find, f.platform, f,
				quota.WithOwnerClock(f.clock()), quota.WithOwnerShards(1))
			f.owners[r] = append(f.owners[r], o)
			f.tasks.Go(func() { _ = o.Run(ctx) })
		}
	}
	return f
}

// clock drifts by up to 200 ppm.
func (f *fleet) clock() model.Clock {
	drift := 1 + (f.random()*2-1)*200e-6
	return func() time.Time {
		return f.start.Add(time.Duration(float64(time.Since(f.start)) * drift))
	}
}

func (f *fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *fleet) get(v *float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *v
}

// set changes switches.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// table is the ownership as the host i of a region sees it.
type table struct {
	fleet  *fleet
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

// changeOwner ends an ownership and starts the next after the longest grant.
func (f *fleet) changeOwner(r model.Region) {
	f.mu.Lock()
	if f.holder[r] < 0 {
		f.mu.Unlock()
		return
	}
	next := (f.holder[r] + 1 + f.rng.IntN(hostsPerRegion)) % hostsPerRegion // may be the same host
	f.holder[r] = -1
	f.mu.Unlock()
	time.Sleep(quota.Longest + 5*time.Millisecond)
	f.set(func() { f.holder[r], f.terms[r] = next, f.terms[r]+1 })
}

func (f *fleet) reaches(from, to model.Region) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from == to || !f.apart
}

func (f *fleet) delay(from, to model.Region) {
	base := time.Millisecond
	if from != to {
		base = 12 * time.Millisecond
	}
	time.Sleep(time.Duration(float64(base) * (0.4 + 0.2*f.random())))
}

// Wish implements quota.Peers. The sender's region is part of the wish.
func (f *fleet) Wish(ctx context.Context, to model.Region, w share.Wish) error {
	f.delay(w.From, to)
	if !f.reaches(w.From, to) || f.random() < f.get(&f.loss) {
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
	fleet *fleet
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
	loss, kind := f.get(&f.loss), f.random()
	switch {
	case kind < loss/4:
		return lost()
	case kind < loss/2: // arrives a second time, after later ones
		again := time.Duration(f.random() * float64(time.Second))
		f.tasks.Go(func() {
			time.Sleep(again)
			_, _ = f.take(r, t)
		})
	case kind < loss*3/4: // arrives late
		time.Sleep(time.Duration(f.random() * float64(50*time.Millisecond)))
	}
	g, err := f.take(r, t)
	if kind > 1-loss/4 {
		return lost()
	}
	f.delay(r, l.from)
	if ctx.Err() != nil {
		return quota.Grant{}, ctx.Err()
	}
	return g, err
}

// take calls the host that the asker believes to be the owner and passes the
// answer through its transport form.
func (f *fleet) take(r model.Region, t quota.Take) (quota.Grant, error) {
	f.mu.Lock()
	i := max(0, f.holder[r])
	f.mu.Unlock()
	return quota.AnswerOf(f.owners[r][i].Take(f.ctx, t)).Result()
}

// platform is a store whose writes can lose their answer and take effect late
// or not at all.
type platform struct {
	*store.Mem
	fleet *fleet
	lossy float64
}

func (p *platform) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	f := p.fleet
	if f.random() >= f.get(&p.lossy) {
		return p.Mem.Put(ctx, kind, name, value, match)
	}
	if f.random() < 0.5 {
		after := time.Duration(f.random() * float64(3*time.Second))
		f.tasks.Go(func() {
			time.Sleep(after)
			_, _ = p.Mem.Put(context.WithoutCancel(ctx), kind, name, value, match)
		})
	}
	<-ctx.Done()
	return 0, store.ErrUnknown("lost")
}

// policy admits requests at one daemon; commit is called immediately before the write.
type policy func(ctx context.Context) (commit func() bool, err error)

// granted is the policy under test.
func (f *fleet) granted(r model.Region, host int) policy {
	o := quota.Origin{Host: model.HostID(fmt.Sprint(r, host)), Incarnation: "1", Region: r}
	return f.through(o, link{f, r})
}

func (f *fleet) through(o quota.Origin, asker quota.Asker) policy {
	w := New(o, regions, asker, WithClock(f.clock()), WithShards(1))
	f.tasks.Go(func() { _ = w.Run(f.ctx) })
	return func(ctx context.Context) (func() bool, error) {
		a, err := w.Admit(ctx, f.customer)
		return a.Valid, err
	}
}

// offer sends requests at a daemon at the rate per second that the function
// returns for a time, with gaps that vary by half.
func (f *fleet) offer(p policy, rate func(time.Duration) float64) {
	f.tasks.Go(func() {
		for time.Since(f.start) < f.end {
			r := rate(time.Since(f.start))
			if r > 0 {
				f.tasks.Go(func() { f.request(p) })
			}
			time.Sleep(time.Duration((0.5 + f.random()) / max(r, 1) * float64(time.Second)))
		}
	})
}

func (f *fleet) request(p policy) {
	commit, err := p(f.ctx)
	if err == nil {
		time.Sleep(time.Duration(f.random() * float64(20*time.Millisecond)))
		if f.random() < f.get(&f.pauses) {
			time.Sleep(time.Duration(f.random() * float64(2*quota.Lifetime)))
		}
	}
	ok := err == nil && commit()
	at := time.Since(f.start)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settling == nil || !f.settling(at) {
		f.offered++
		if !ok {
			f.refused++
		}
	}
	if !ok {
		if debug {
			fmt.Println("DBG", at, err)
		}
		return
	}
	f.admitted = append(f.admitted, at)
}

// excess returns by how many admissions the worst of all windows exceeds
// burst + rate*t; at most 0 is correct. A window from admission i to j holds
// j-i+1, so the worst one that ends at j starts where i - rate*t(i) is least.
func (f *fleet) excess() float64 {
	slices.Sort(f.admitted)
	worst, least := -float64(f.customer.Burst), 0.0
	for j, at := range f.admitted {
		level := float64(j) - float64(f.customer.Rate)*at.Seconds()
		if j == 0 || level < least {
			least = level
		}
		worst = max(worst, level-least+1-float64(f.customer.Burst))
	}
	return worst
}

var debug = os.Getenv("DBG") != ""
