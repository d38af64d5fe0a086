package lists

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/store"
)

// pair is a parent and a child that follow the same kind.
type pair struct {
	parent, child *Targets
	age           time.Duration // of the newest word from the store at the parent
	refused       bool          // the parent by the store
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{}
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	p.parent = NewTargets(newScript(), "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return p.age }, func() bool { return !p.refused }, WithBoot(boot))
	p.child = NewTargets(newScript(), "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return 0 }, func() bool { return true }, WithBoot(boot))
	return p
}

// tell lets the child exchange one message with the parent.
func (p *pair) tell() {
	known := p.child.Known()
	r := p.parent.Since(known, "child")
	p.child.Take(&r, known, p.child.boot(), "parent")
}

// learn gives the parent an answer of the store.
func (p *pair) learn(at store.Version, events ...store.Event) {
	p.parent.answered(at, p.parent.boot(), func() {
		if p.parent.at == 0 {
			var objects []store.Object
			for _, e := range events {
				objects = append(objects, e.Object)
			}
			p.parent.reset(objects, at)
			return
		}
		p.parent.change(events, at)
	})
}

func put(name string) store.Event { return store.Event{Object: entryOf(name, false)} }
func gone(name string) store.Event {
	return store.Event{Object: store.Object{Name: name}, Deleted: true}
}
func count(l *Targets) int { return len(l.Set()["p"]) }

// TestRelay guards against changes that a parent does not hand on, and against
// targets that stay in use at its children.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.tell()
		test.False(t, p.child.relayed())
		p.learn(5, put("a"), put("b"))
		p.tell()
		test.Eq(t, 2, count(p.child))
		test.True(t, p.child.relayed())
		p.learn(7, gone("a"), put("c"), put("d"))
		p.learn(9, gone("c"))
		p.tell()
		test.Eq(t, 2, count(p.child))
		test.Eq(t, 9, p.child.Known())
	})
}

// TestRelayAhead guards against a child that leaves its parent, or asks the
// store for ever, only because it has asked the store more lately.
func TestRelayAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.learn(5, put("a"))
		p.tell()
		p.child.answered(8, p.child.boot(), func() { p.child.change([]store.Event{put("b")}, 8) })
		r := p.parent.Since(p.child.Known(), "child")
		test.Greater(t, 0, r.At)
		p.tell()
		test.True(t, p.child.relayed())
		test.Eq(t, 2, count(p.child))
		// What the child knows already comes again and changes nothing.
		p.learn(8, put("b"))
		p.learn(11, gone("a"))
		p.tell()
		test.Eq(t, 1, count(p.child))
		test.Eq(t, 11, p.child.Known())
	})
}

// TestRelayForgotten guards against a child that keeps a target whose removal
// its parent no longer remembers.
func TestRelayForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.learn(5, put("a"), put("b"))
		p.tell()
		p.learn(6, gone("a"))
		p.parent.mu.Lock()
		p.parent.forget()
		p.parent.mu.Unlock()
		p.tell()
		test.Eq(t, 1, count(p.child))
	})
}

// TestRelayOld guards against a child that relies on a parent which the store
// does not answer (sugarleaf scale-2: CONFIG).
func TestRelayOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.learn(5, put("a"))
		p.tell()
		p.age = urgent
		p.tell()
		// At once: this list's own watch must not wait because another list has
		// newer word by now (DRAIN).
		test.False(t, p.child.relayed())
	})
}

// TestRelayUp guards against hosts without word while one of their children
// reaches the store, against word that is handed back to where it came from,
// and against word that outlives its source (sugarleaf-gw-grown: hosts that the
// store refused asked it 100 times a second).
func TestRelayUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.child.answered(5, p.child.boot(), func() { p.child.reset([]store.Object{entryOf("a", false)}, 5) })
		up := func() {
			r := p.child.Since(p.parent.Known(), "parent")
			p.parent.Take(&r, p.parent.Known(), p.parent.boot(), "child")
		}
		up()
		test.Eq(t, 1, count(p.parent))
		test.True(t, p.parent.relayed())
		p.tell()
		test.False(t, p.child.relayed())
		back := p.parent.Since(0, "child")
		test.Eq(t, 0, back.At)
		other := p.parent.Since(0, "other")
		test.Eq(t, 5, other.At)

		// The first host of all goes on asking, and its own answer counts.
		p.parent.First(true)
		test.False(t, p.parent.relayed())
		p.parent.answered(6, p.parent.boot(), func() { p.parent.change([]store.Event{put("b")}, 6) })
		p.tell()
		test.True(t, p.child.relayed())
		test.Eq(t, 2, count(p.child))

		// The child's word is its parent's now, which it does not hand back; when
		// the parent loses the store, the child has no word for others.
		r := p.child.Since(0, "parent")
		test.Eq(t, 0, r.At)
		p.parent.failed(errors.New("refused"))
		p.tell()
		r = p.child.Since(0, "grandchild")
		test.Eq(t, 0, r.At)
	})
}

// TestReader guards against a host whose word others wait for until its watch
// ends (sugarleaf-gw-grown trouble-1: while the store refused the first host, all
// others watched the targets, and each change woke them all: 380 calls).
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.learn(1, put("a"))
		p.tell()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = p.child.Run(ctx) }()
		time.Sleep(wordEvery)
		p.parent.failed(errors.New("refused"))
		p.tell()
		time.Sleep(wordEvery + spread)
		r := p.child.Since(0, "parent")
		test.Eq(t, 1, r.At)

		// The parent's word ends the child's own watch.
		p.learn(2, put("b"))
		time.Sleep(100 * time.Millisecond)
		p.tell()
		synctest.Wait()
		test.False(t, p.child.own.Load())
	})
}

// TestSilentReader guards against a first host whose own watch waits in vain,
// while its word of the configuration comes from a child: it must have no word of
// the targets then, and take the child's (hunt of wanjiru-gate, deploy/days
// parents.toml, seed 891318588075: a region without the store used leaving targets
// for 7 s, DRAIN).
func TestSilentReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.parent.First(true)
		p.learn(5, put("a"), put("b"))
		p.tell()
		test.True(t, p.child.relayed())
		p.refused = true
		p.tell()
		test.False(t, p.child.relayed())
		p.child.answered(6, p.child.boot(), func() { p.child.change([]store.Event{gone("a")}, 6) })
		r := p.child.Since(p.parent.Known(), "parent")
		p.parent.Take(&r, p.parent.Known(), p.parent.boot(), "child")
		test.Eq(t, 1, count(p.parent))
		other := p.parent.Since(0, "other")
		test.Eq(t, 6, other.At)
	})
}
