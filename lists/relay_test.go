package lists

import (
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
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{}
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	p.parent = NewTargets(newScript(), "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return p.age }, WithBoot(boot))
	p.child = NewTargets(newScript(), "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return 0 }, WithBoot(boot))
	return p
}

// tell lets the child exchange one message with the parent.
func (p *pair) tell() {
	known := p.child.Known()
	r := p.parent.Since(known)
	p.child.Take(&r, known, p.child.boot())
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
		r := p.parent.Since(p.child.Known())
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
