package watch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// domainDecoder decodes entries with the value {}, whose name is that of the domain.
type domainDecoder struct{}

func (domainDecoder) Evacuation(name string, value []byte) (model.Domain, error) {
	if string(value) != "{}" {
		return "", errors.New("not an empty object")
	}
	return model.Domain(name), nil
}

func evacuationOf(name string) store.Object { return store.Object{Name: name, Value: []byte("{}")} }

// evacuee is a host that follows the evacuations.
type evacuee struct {
	*Evacuations
	age     time.Duration // time since the store's last answer to any host
	current atomic.Value  // the list that was passed on last, as names with spaces between them
}

func newEvacuee(t *testing.T, s Watcher) *evacuee {
	t.Helper()
	e := &evacuee{}
	e.current.Store("unknown")
	start := time.Now()
	e.Evacuations = NewEvacuations(s, "evacuations", domainDecoder{}, func(domains map[model.Domain]bool) {
		var names []string
		for _, d := range slices.Sorted(maps.Keys(domains)) {
			names = append(names, string(d))
		}
		e.current.Store(strings.Join(names, " "))
	}, func() time.Duration { return e.age }, func() bool { return true }, WithClock(func() time.Duration { return time.Since(start) + time.Hour }))
	return e
}

// start follows the list until the test ends.
func (e *evacuee) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go func() { _ = e.Run(ctx) }()
	time.Sleep(startWait + time.Second)
}

// relayTo applies the update of this host for another one there.
func (e *evacuee) relayTo(to *evacuee) {
	known := to.Version()
	u := e.Since(known, "to")
	to.ApplyUpdate(&u, known, to.sinceBoot(), "from")
}

// TestEvacuations guards against an evacuation or its end that isn't passed on, an empty
// list that leaves a host without knowledge, and odd entries that keep others from being
// used.
func TestEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore()
		e := newEvacuee(t, s)
		e.SetFirst(true)
		test.Eq(t, "unknown", e.current.Load())
		e.start(t)
		test.Eq(t, "", e.current.Load())
		send := func(events ...store.Event) {
			s.events <- events
			time.Sleep(time.Second)
		}
		send(store.Event{Object: evacuationOf("a")}, store.Event{Object: store.Object{Name: "x", Value: []byte("[]")}}, store.Event{Object: evacuationOf("b")})
		test.Eq(t, "a b", e.current.Load())
		send(store.Event{Object: store.Object{Name: "y", Problem: "nested too deeply"}}, deleteEvent("a"))
		test.Eq(t, "b", e.current.Load())
		send(store.Event{Object: evacuationOf("x")}, deleteEvent("b"))
		test.Eq(t, "x", e.current.Load())
		send(deleteEvent("x"))
		test.Eq(t, "", e.current.Load())
	})
}

// TestEvacuationStoreLost guards against an evacuation that was acknowledged and read by
// one host, and does not reach the others since the store is gone; against a host that
// forgets an evacuation while it has contact to nothing; and against a restarted host that
// learns of it from nobody.
func TestEvacuationStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, other, restarted := newEvacuee(t, newScriptedStore()), newEvacuee(t, newScriptedStore()), newEvacuee(t, newScriptedStore())
		reader.applyAnswer(5, reader.sinceBoot(), func() { reader.replaceList(nil, 5) })
		reader.relayTo(other)
		test.Eq(t, "", other.current.Load())
		reader.applyAnswer(6, reader.sinceBoot(), func() { reader.applyEvents([]store.Event{{Object: evacuationOf("a")}}, 6) })
		reader.recordFailure(errors.New("refused"))
		reader.age = maxRelayAge
		reader.relayTo(other)
		test.Eq(t, "a", other.current.Load())

		// A host that starts now knows nothing before a neighbour tells it.
		test.Eq(t, "unknown", restarted.current.Load())
		other.relayTo(restarted)
		test.Eq(t, "a", restarted.current.Load())
		time.Sleep(time.Minute)
		other.age, restarted.age = time.Minute, time.Minute
		other.relayTo(restarted)
		test.Eq(t, "a", other.current.Load())
		test.Eq(t, "a", restarted.current.Load())

		// Without a neighbour it reads the store.
		s := newScriptedStore()
		s.list = []store.Object{evacuationOf("a")}
		alone := newEvacuee(t, s)
		alone.start(t)
		test.Eq(t, "a", alone.current.Load())
	})
}

// TestEvacuationSilentWatch guards against a watch on a dead connection that delays an
// evacuation beyond its bound, and against restarts of a watch that returns: without
// changes the version of the list stays behind that of the store, which targets raise.
func TestEvacuationSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held = 1500 * time.Millisecond // how long the store holds a watch without changes
		s := newScriptedStore()
		e := newEvacuee(t, s)
		e.SetFirst(true)
		e.start(t)
		version := store.Version(1)
		seeFor := func(d time.Duration, answers bool) {
			for since := time.Duration(0); since < d; since += 300 * time.Millisecond {
				version += 10
				e.VersionSeen(version)
				if answers && since%held == 0 {
					s.version = version
					s.events <- nil
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
		before := s.watches.Load()
		seeFor(30*time.Second, true)
		test.Eq(t, 20, s.watches.Load()-before)
		before = s.watches.Load()
		seeFor(maxEvacuationBehind+600*time.Millisecond, false)
		test.Greater(t, before, s.watches.Load())

		// A host that relies on relays has no watch, and keeps no restart for the next one.
		e.lastCallOK.Store(false)
		seeFor(2*maxEvacuationBehind, false)
		test.Eq(t, 0, len(e.restart))
	})
}

// TestEvacuationMissing guards against an evacuated domain in use, or out of use for good, after a restore.
func TestEvacuationMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuee(t, newScriptedStore())
		version, objects := inEra(1, 9, evacuationOf("north"), evacuationOf("south"))
		list(e.follower, version, objects)
		version, _ = inEra(2, 9)
		list(e.follower, version, nil)
		test.Eq(t, "north south", e.current.Load())
		// One is written again and then removed, which is the operator's word.
		for i, event := range []store.Event{{Object: evacuationOf("south")}, deleteEvent("south")} {
			v := version + store.Version(i) + 1
			e.applyAnswer(v, e.sinceBoot(), func() { e.applyEvents([]store.Event{event}, v) })
		}
		test.Eq(t, "north", e.current.Load())
		time.Sleep(keepEvacuated + time.Millisecond)
		test.Eq(t, "", e.current.Load())
	})
}
