package claim

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TestMain fixes the seed of the generated schedules, so that every run checks
// the same ones.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// platform is a store in memory that loses the answers to some writes. Such a
// write takes effect late or not at all.
type platform struct {
	*store.Mem
	mu         sync.Mutex
	rng        *rand.Rand
	lossRate   float64
	lateWrites sync.WaitGroup
}

func newPlatform(seed uint64) *platform {
	p := &platform{Mem: store.NewMem(), rng: rand.New(rand.NewPCG(seed, 2))}
	p.SetDelay(3 * time.Millisecond)
	return p
}

func (p *platform) random() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// loseAnswer decides at random whether the answer to a write is lost. If so, it
// lets the write take effect later or never, waits for the end of ctx and
// returns true.
func (p *platform) loseAnswer(ctx context.Context, write func(context.Context)) bool {
	if p.random() >= p.lossRate {
		return false
	}
	if p.random() < 0.6 {
		after := time.Duration(p.random() * float64(2*time.Second))
		p.lateWrites.Go(func() {
			time.Sleep(after)
			write(context.WithoutCancel(ctx))
		})
	}
	<-ctx.Done()
	return true
}

func (p *platform) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	if p.loseAnswer(ctx, func(ctx context.Context) { _, _ = p.Mem.Put(ctx, kind, name, value, match) }) {
		return 0, store.ErrUnknown("lost")
	}
	return p.Mem.Put(ctx, kind, name, value, match)
}

func (p *platform) Delete(ctx context.Context, kind store.Kind, name string, match store.Version) error {
	if p.loseAnswer(ctx, func(ctx context.Context) { _ = p.Mem.Delete(ctx, kind, name, match) }) {
		return store.ErrUnknown("lost")
	}
	return p.Mem.Delete(ctx, kind, name, match)
}

func (p *platform) claimNames() []string {
	list, _, _ := p.List(context.Background(), store.KindClaim)
	var claimNames []string
	for _, o := range list {
		claimNames = append(claimNames, o.Name)
	}
	return claimNames
}

// claimer is the part of Keeper that the simulation uses.
type claimer interface {
	Begin(context.Context, model.CustomerID, string, model.Digest) (Claim, error)
	Finish(context.Context, Claim, Result) error
}

// memoryClaims is a faulty claimer that keeps claims in the memory of one daemon
// instead of the platform.
type memoryClaims struct {
	mu      sync.Mutex
	blocked map[string]bool
}

func (m *memoryClaims) Begin(_ context.Context, c model.CustomerID, key string, _ model.Digest) (Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocked[objectName(c, key)] {
		return Claim{}, errOpen()
	}
	m.blocked[objectName(c, key)] = true
	return Claim{objectName: objectName(c, key)}, nil
}

func (m *memoryClaims) Finish(_ context.Context, claimed Claim, r Result) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[claimed.objectName] = r.State != StateReleased
	return nil
}

// schedule holds the generated parameters of a simulation. Rates are fractions
// between 0 and 1.
type schedule struct {
	seed      uint64
	lossRate  float64
	crashRate float64 // of claimed requests whose daemon crashes before Finish
	shedRate  float64 // of claimed requests that the target sheds
	outages   int
}

// world simulates callers that retry the same keys at several daemons.
type world struct {
	schedule
	*platform
	mu        sync.Mutex
	daemons   []claimer
	runs      map[string]int
	newDaemon func() claimer
	history   []porcupine.Operation
	lastOrder int64 // orders the history, because many events share a virtual time
}

const (
	keys     = 5
	attempts = 8
	callers  = 2
)

func simulate(t *testing.T, s schedule, newDaemon func(*platform) claimer) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = &world{schedule: s, platform: newPlatform(s.seed), runs: map[string]int{}}
		w.newDaemon = func() claimer { return newDaemon(w.platform) }
		w.platform.lossRate = s.lossRate // the platform's field; w.lossRate alone is ambiguous
		for range 3 {
			w.daemons = append(w.daemons, w.newDaemon())
		}
		var g sync.WaitGroup
		for k := range keys {
			for c := range callers {
				g.Go(func() { w.sendRequests(fmt.Sprint("key", k), c) })
			}
		}
		for range s.outages {
			g.Go(func() {
				time.Sleep(time.Duration(w.random() * float64(8*time.Second)))
				w.SetUnavailable(true)
				time.Sleep(time.Duration(w.random() * float64(4*time.Second)))
				w.SetUnavailable(false)
			})
		}
		g.Wait()
		w.lateWrites.Wait()
		time.Sleep(time.Second) // lets pending writes end
	})
	return w
}

// operation is an input in the history. The output is the kind of the error.
type operation struct {
	key    string
	finish State // "" for Begin
}

// record runs an operation and adds it to the history. If its effect is unknown,
// it has no end in the history, as it may take effect at any later time.
func (w *world) record(client int, op operation, f func() error) error {
	w.mu.Lock()
	w.lastOrder++
	call := w.lastOrder
	w.mu.Unlock()
	err := f()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastOrder++
	o := porcupine.Operation{ClientId: client, Input: op, Call: call, Output: fault.KindOf(err), Return: w.lastOrder}
	if fault.Is(err, KindUnclaimed) || fault.Is(err, fault.KindUnknown) {
		o.Return = math.MaxInt64
	}
	w.history = append(w.history, o)
	return err
}

// sendRequests sends requests with the same key, whatever the answers are.
func (w *world) sendRequests(key string, client int) {
	for range attempts {
		time.Sleep(time.Duration(w.random() * float64(time.Second)))
		i := int(w.random() * 3)
		w.mu.Lock()
		d := w.daemons[i]
		w.mu.Unlock()
		var claimed Claim
		err := w.record(client, operation{key: key}, func() (err error) {
			claimed, err = d.Begin(context.Background(), "wanjiru", key, "f")
			return err
		})
		if err == nil {
			w.run(d, i, claimed, key, client)
		}
	}
}

// run executes a claimed request at daemon d, whose index is i, unless the target
// sheds it or the daemon crashes before it records the outcome.
func (w *world) run(d claimer, i int, claimed Claim, key string, client int) {
	time.Sleep(time.Duration(w.random() * float64(200*time.Millisecond)))
	shed := w.random() < w.shedRate
	if !shed {
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
	}
	if w.random() < w.crashRate {
		w.mu.Lock()
		w.daemons[i] = w.newDaemon()
		w.mu.Unlock()
		return
	}
	r := Result{State: StateDone, Status: 201}
	if shed {
		r = Result{State: StateReleased}
	}
	_ = w.record(client, operation{key: key, finish: r.State}, func() error { return d.Finish(context.Background(), claimed, r) })
}

// repeatedRuns returns how many executions were not the first of their key.
func (w *world) repeatedRuns() int {
	n := 0
	for _, runs := range w.runs {
		n += max(0, runs-1)
	}
	return n
}

// claimModel is the sequential specification of a claim, whose key is free, open
// or done.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var list [][]porcupine.Operation
		for _, operations := range byKey {
			list = append(list, operations)
		}
		return list
	},
	Init: func() []any { return []any{StateReleased} },
	Step: func(state, input, output any) []any {
		s, op, kind := state.(State), input.(operation), output.(fault.Kind)
		next := func(ok bool, to State) []any {
			if ok {
				return []any{to}
			}
			return nil
		}
		switch {
		case kind == "" && op.finish == "":
			return next(s == StateReleased, StateOpen)
		case kind == "":
			return next(s == StateOpen, op.finish)
		case kind == KindOpen:
			// A create that was repeated after a lost answer may take effect once
			// more after the release. The key is then blocked and no request runs.
			return next(s != StateDone, s)
		case kind == KindDone:
			return next(s == StateDone, s)
		case kind == KindUnclaimed && s == StateReleased:
			return []any{s, StateOpen}
		case kind == fault.KindUnknown && s == StateOpen:
			return []any{s, op.finish}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

func newClaimer(p *platform) claimer { return New(p, WithBudget(1000)) }

// TestAtMostOnce guards against a second execution of a request because of
// retries at several daemons, lost and late writes, crashes and outages. It also
// checks that the history of claims and refusals is linearizable.
func TestAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SampledFrom([]float64{0, 0.1, 0.4})
		s := schedule{
			seed: rapid.Uint64().Draw(rt, "seed"), lossRate: rates.Draw(rt, "lossy"), crashRate: rates.Draw(rt, "crash"),
			shedRate: rates.Draw(rt, "notRun"), outages: rapid.IntRange(0, 2).Draw(rt, "outages"),
		}
		w := simulate(t, s, newClaimer)
		if n := w.repeatedRuns(); n > 0 {
			rt.Fatalf("%d requests ran again", n)
		}
		if r := porcupine.CheckOperationsTimeout(claimModel.ToModel(), w.history, 0); r != porcupine.Ok {
			rt.Fatalf("the history is not linearizable: %v", r)
		}
		total += len(w.runs)
	})
	must.Greater(t, 60*keys/2, total, must.Sprint("requests that ran: too few to show anything"))
}

// TestNaiveRunsTwice guards against a simulation that cannot detect faults: it
// must find that claims kept in the memory of each daemon do not suffice.
func TestNaiveRunsTwice(t *testing.T) {
	w := simulate(t, schedule{seed: 1}, func(*platform) claimer { return &memoryClaims{blocked: map[string]bool{}} })
	must.Positive(t, w.repeatedRuns())
	must.Eq(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel.ToModel(), w.history, 0))
}

// TestRefusals guards against refusals of a wrong kind, writes for concurrent
// requests with the same key, and object names that contain the key.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := newPlatform(3), t.Context()
		k, other := New(p), New(p)
		var claimed Claim
		var refused atomic.Int64
		var g sync.WaitGroup
		for range 5 {
			g.Go(func() {
				got, err := k.Begin(ctx, "wanjiru", "secret", "f")
				if err == nil {
					claimed = got
				} else if fault.Is(err, KindOpen) {
					refused.Add(1)
				}
			})
		}
		g.Wait()
		must.EqOp(t, 4, refused.Load())
		for _, name := range p.claimNames() {
			must.False(t, strings.Contains(name, "secret") || strings.Contains(name, "wanjiru"))
		}
		must.EqOp(t, 1, p.CallCounts().Put)
		_, err := other.Begin(ctx, "wanjiru", "secret", "f")
		must.True(t, fault.Is(err, KindOpen))
		_, err = other.Begin(ctx, "wanjiru", "secret", "g")
		must.True(t, fault.Is(err, KindMismatch))
		must.NoError(t, k.Finish(ctx, claimed, Result{State: StateDone, Status: 202}))
		_, err = other.Begin(ctx, "wanjiru", "secret", "f")
		must.True(t, fault.Is(err, KindDone))
		must.EqOp(t, 202, StatusOf(err))
		p.SetUnavailable(true)
		_, err = k.Begin(ctx, "wanjiru", "next", "f")
		must.True(t, fault.Is(err, KindUnclaimed))
	})
}

// TestBudgetAndSweep guards against more writes than the daemon's share of the
// budget, refusals that come late, and claims that are never deleted.
func TestBudgetAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := newPlatform(4), t.Context()
		k := New(p, WithDaemons(5))
		start := time.Now()
		var g sync.WaitGroup
		for i := range 1000 {
			g.Go(func() {
				start := time.Now()
				claimed, err := k.Begin(ctx, "wanjiru", fmt.Sprint(i), "f")
				must.Less(t, 200*time.Millisecond, time.Since(start))
				if err == nil {
					must.NoError(t, k.Finish(ctx, claimed, Result{State: StateDone}))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		g.Wait()
		const budget = defaultBudget / 5.0 // also the burst
		must.Between(t, budget*9, float64(p.CallCounts().Put), budget*(1+time.Since(start).Seconds()))
		n, err := k.Sweep(ctx)
		must.NoError(t, err)
		must.Zero(t, n)
		time.Sleep(Retention + time.Minute)
		for len(p.claimNames()) > 0 {
			_, err := k.Sweep(ctx)
			must.NoError(t, err)
			time.Sleep(time.Second)
		}
	})
}

// TestSetDaemons guards against a fleet that exceeds the write budget after it
// has grown.
func TestSetDaemons(t *testing.T) {
	k := New(store.NewMem(), WithBudget(100), WithDaemons(10))
	must.EqOp(t, 10, k.limiter.Limit())
	k.SetDaemons(50)
	must.EqOp(t, 2, k.limiter.Limit())
	k.SetDaemons(0)
	must.EqOp(t, 100, k.limiter.Limit())
}
