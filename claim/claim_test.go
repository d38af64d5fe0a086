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

func TestMain(m *testing.M) {
	flag.Parse()
	// The same schedules on every run.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// platform is a store in memory whose writes can lose their answer and take
// effect late or not at all.
type platform struct {
	*store.Mem
	mu    sync.Mutex
	rng   *rand.Rand
	lossy float64
	late  sync.WaitGroup
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

// lose decides whether an answer is lost and what then becomes of the write.
func (p *platform) lose(ctx context.Context, write func(context.Context)) bool {
	if p.random() >= p.lossy {
		return false
	}
	if p.random() < 0.6 {
		after := time.Duration(p.random() * float64(2*time.Second))
		p.late.Go(func() {
			time.Sleep(after)
			write(context.WithoutCancel(ctx))
		})
	}
	<-ctx.Done()
	return true
}

func (p *platform) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	if p.lose(ctx, func(ctx context.Context) { _, _ = p.Mem.Put(ctx, kind, name, value, match) }) {
		return 0, store.ErrUnknown("lost")
	}
	return p.Mem.Put(ctx, kind, name, value, match)
}

func (p *platform) Delete(ctx context.Context, kind store.Kind, name string, match store.Version) error {
	if p.lose(ctx, func(ctx context.Context) { _ = p.Mem.Delete(ctx, kind, name, match) }) {
		return store.ErrUnknown("lost")
	}
	return p.Mem.Delete(ctx, kind, name, match)
}

func (p *platform) names() []string {
	list, _, _ := p.List(context.Background(), store.KindClaim)
	var names []string
	for _, o := range list {
		names = append(names, o.Name)
	}
	return names
}

// keeping is what the simulation needs of a keeper.
type keeping interface {
	Begin(context.Context, model.CustomerID, string, model.Digest) (Ticket, error)
	Finish(context.Context, Ticket, Result) error
}

// naive keeps claims in the memory of each daemon.
type naive struct {
	mu    sync.Mutex
	known map[string]bool
}

func (n *naive) Begin(_ context.Context, c model.CustomerID, key string, _ model.Digest) (Ticket, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[name(c, key)] {
		return Ticket{}, errOpen()
	}
	n.known[name(c, key)] = true
	return Ticket{name: name(c, key)}, nil
}

func (n *naive) Finish(_ context.Context, t Ticket, r Result) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[t.name] = r.State != StateReleased
	return nil
}

// plan is a drawn schedule of a simulation.
type plan struct {
	seed    uint64
	lossy   float64
	crash   float64 // part of claimed requests whose daemon dies before Finish
	notRun  float64 // part of claimed requests that the target sheds
	outages int
}

// world runs callers that retry the same keys at several daemons.
type world struct {
	plan
	*platform
	mu      sync.Mutex
	daemons []keeping
	runs    map[string]int
	fresh   func() keeping
	history []porcupine.Operation
	now     int64 // orders the history; virtual time has many ties
}

const (
	keys     = 5
	attempts = 8
	callers  = 2
)

func simulate(t *testing.T, p plan, fresh func(*platform) keeping) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = &world{plan: p, platform: newPlatform(p.seed), runs: map[string]int{}}
		w.fresh = func() keeping { return fresh(w.platform) }
		w.platform.lossy = p.lossy
		for range 3 {
			w.daemons = append(w.daemons, w.fresh())
		}
		var g sync.WaitGroup
		for k := range keys {
			for c := range callers {
				g.Go(func() { w.call(fmt.Sprint("key", k), c) })
			}
		}
		for range p.outages {
			g.Go(func() {
				time.Sleep(time.Duration(w.random() * float64(8*time.Second)))
				w.SetUnavailable(true)
				time.Sleep(time.Duration(w.random() * float64(4*time.Second)))
				w.SetUnavailable(false)
			})
		}
		g.Wait()
		w.late.Wait()
		time.Sleep(time.Second) // writes under way end
	})
	return w
}

// operation is an input of the history; the output is the kind of the error.
type operation struct {
	key    string
	finish State // "" for Begin
}

// record adds an operation to the history. One with an unknown effect may take
// effect at any later time.
func (w *world) record(client int, op operation, f func() error) error {
	w.mu.Lock()
	w.now++
	call := w.now
	w.mu.Unlock()
	err := f()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now++
	o := porcupine.Operation{ClientId: client, Input: op, Call: call, Output: fault.KindOf(err), Return: w.now}
	if fault.Is(err, Unclaimed) || fault.Is(err, fault.Unknown) {
		o.Return = math.MaxInt64
	}
	w.history = append(w.history, o)
	return err
}

// call sends a request with a key and retries it whatever the answer was.
func (w *world) call(key string, client int) {
	for range attempts {
		time.Sleep(time.Duration(w.random() * float64(time.Second)))
		i := int(w.random() * 3)
		w.mu.Lock()
		d := w.daemons[i]
		w.mu.Unlock()
		var t Ticket
		err := w.record(client, operation{key: key}, func() (err error) {
			t, err = d.Begin(context.Background(), "wanjiru", key, "f")
			return err
		})
		if err == nil {
			w.run(d, i, t, key, client)
		}
	}
}

func (w *world) run(d keeping, i int, t Ticket, key string, client int) {
	time.Sleep(time.Duration(w.random() * float64(200*time.Millisecond)))
	shed := w.random() < w.notRun
	if !shed {
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
	}
	if w.random() < w.crash {
		w.mu.Lock()
		w.daemons[i] = w.fresh()
		w.mu.Unlock()
		return
	}
	r := Result{State: StateDone, Status: 201}
	if shed {
		r = Result{State: StateReleased}
	}
	_ = w.record(client, operation{key: key, finish: r.State}, func() error { return d.Finish(context.Background(), t, r) })
}

func (w *world) doubled() int {
	n := 0
	for _, runs := range w.runs {
		n += max(0, runs-1)
	}
	return n
}

// claims is the sequential specification: a key is free, open or done.
var claims = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			parts[k] = append(parts[k], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
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
		case kind == Open:
			// A create that was repeated after a lost answer may take effect a second
			// time after the release. It blocks the key and runs nothing.
			return next(s != StateDone, s)
		case kind == Done:
			return next(s == StateDone, s)
		case kind == Unclaimed && s == StateReleased:
			return []any{s, StateOpen}
		case kind == fault.Unknown && s == StateOpen:
			return []any{s, op.finish}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

func keeper(p *platform) keeping { return New(p, WithBudget(1000)) }

// TestAtMostOnce guards against a second execution of a request through
// retries at several daemons, lost and late writes, crashes and outages, and
// against refusals that contradict the order of events.
func TestAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.SampledFrom([]float64{0, 0.1, 0.4})
		p := plan{
			seed: rapid.Uint64().Draw(rt, "seed"), lossy: part.Draw(rt, "lossy"), crash: part.Draw(rt, "crash"),
			notRun: part.Draw(rt, "notRun"), outages: rapid.IntRange(0, 2).Draw(rt, "outages"),
		}
		w := simulate(t, p, keeper)
		if n := w.doubled(); n > 0 {
			rt.Fatalf("%d requests ran again", n)
		}
		if r := porcupine.CheckOperationsTimeout(claims.ToModel(), w.history, 0); r != porcupine.Ok {
			rt.Fatalf("the history is not linearizable: %v", r)
		}
		total += len(w.runs)
	})
	must.Greater(t, 60*keys/2, total, must.Sprint("requests that ran: too few to show anything"))
}

// TestNaiveRunsTwice shows that the simulation finds claims that are kept in
// the memory of each daemon.
func TestNaiveRunsTwice(t *testing.T) {
	w := simulate(t, plan{seed: 1}, func(*platform) keeping { return &naive{known: map[string]bool{}} })
	must.Positive(t, w.doubled())
	must.Eq(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claims.ToModel(), w.history, 0))
}

// TestRefusals guards against a wrong kind of refusal, a write for a
// concurrent request with the same key, and a key in an object's name.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := newPlatform(3), t.Context()
		k, other := New(p), New(p)
		var ticket Ticket
		var refused atomic.Int64
		var g sync.WaitGroup
		for range 5 {
			g.Go(func() {
				got, err := k.Begin(ctx, "wanjiru", "secret", "f")
				if err == nil {
					ticket = got
				} else if fault.Is(err, Open) {
					refused.Add(1)
				}
			})
		}
		g.Wait()
		must.EqOp(t, 4, refused.Load())
		for _, name := range p.names() {
			must.False(t, strings.Contains(name, "secret") || strings.Contains(name, "wanjiru"))
		}
		must.EqOp(t, 1, p.Calls().Put)
		_, err := other.Begin(ctx, "wanjiru", "secret", "f")
		must.True(t, fault.Is(err, Open))
		_, err = other.Begin(ctx, "wanjiru", "secret", "g")
		must.True(t, fault.Is(err, Mismatch))
		must.NoError(t, k.Finish(ctx, ticket, Result{State: StateDone, Status: 202}))
		_, err = other.Begin(ctx, "wanjiru", "secret", "f")
		must.True(t, fault.Is(err, Done))
		must.EqOp(t, 202, StatusOf(err))
		p.SetUnavailable(true)
		_, err = k.Begin(ctx, "wanjiru", "next", "f")
		must.True(t, fault.Is(err, Unclaimed))
	})
}

// TestBudgetAndSweep guards against more writes than the daemon's part of the
// budget, refusals that wait, and claims that are never deleted.
func TestBudgetAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := newPlatform(4), t.Context()
		k := New(p, WithDaemons(5))
		start := time.Now()
		var g sync.WaitGroup
		for i := range 1000 {
			g.Go(func() {
				start := time.Now()
				ticket, err := k.Begin(ctx, "wanjiru", fmt.Sprint(i), "f")
				must.Less(t, 200*time.Millisecond, time.Since(start))
				if err == nil {
					must.NoError(t, k.Finish(ctx, ticket, Result{State: StateDone}))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		g.Wait()
		const budget = defaultBudget / 5.0 // also the burst
		must.Between(t, budget*9, float64(p.Calls().Put), budget*(1+time.Since(start).Seconds()))
		n, err := k.Sweep(ctx)
		must.NoError(t, err)
		must.Zero(t, n)
		time.Sleep(Retention + time.Minute)
		for len(p.names()) > 0 {
			_, err := k.Sweep(ctx)
			must.NoError(t, err)
			time.Sleep(time.Second)
		}
	})
}

// TestSetDaemons guards against a fleet that grows and writes more claims than
// its budget.
func TestSetDaemons(t *testing.T) {
	k := New(store.NewMem(), WithBudget(100), WithDaemons(10))
	must.EqOp(t, 10, k.limiter.Limit())
	k.SetDaemons(50)
	must.EqOp(t, 2, k.limiter.Limit())
	k.SetDaemons(0)
	must.EqOp(t, 100, k.limiter.Limit())
}
