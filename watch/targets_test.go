package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// scriptedStore is a store whose answers are set by the test. A watch without
// events waits.
type scriptedStore struct {
	list    []store.Object
	version store.Version
	events  chan []store.Event
	fail    chan error
	// watches is the number of calls of Watch.
	watches atomic.Int32
	// silence is the time since the store's last answer, in nanoseconds.
	silence atomic.Int64
}

func newScriptedStore(names ...string) *scriptedStore {
	s := &scriptedStore{version: 1, events: make(chan []store.Event, 8), fail: make(chan error, 8)}
	for _, n := range names {
		s.list = append(s.list, entryOf(n, false))
	}
	return s
}

func entryOf(name string, leaving bool) store.Object {
	value, err := json.Marshal(model.Instance{Target: model.Target{ID: model.TargetID(name), Leaving: leaving}, Pool: "p"})
	if err != nil {
		panic(err)
	}
	return store.Object{Name: name, Value: value}
}

func (s *scriptedStore) List(context.Context, store.Kind) ([]store.Object, store.Version, error) {
	return s.list, s.version, nil
}

func (s *scriptedStore) Poll(context.Context, store.Kind, store.Version) ([]store.Event, store.Version, error) {
	select {
	case err := <-s.fail:
		return nil, 0, err
	default:
		return nil, s.version, nil
	}
}

func (s *scriptedStore) Watch(ctx context.Context, _ store.Kind, _ store.Version) ([]store.Event, store.Version, error) {
	s.watches.Add(1)
	select {
	case e := <-s.events:
		s.version++
		return e, s.version, nil
	case err := <-s.fail:
		return nil, 0, err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

type jsonDecoder struct{}

func (jsonDecoder) Target(_ string, value []byte) (model.Instance, error) {
	var i model.Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return i, err
	}
	if i.ID == "" {
		return i, errors.New("no id")
	}
	return i, nil
}

// startTargets follows the scripted store in virtual time and returns a function
// for the number of targets in use.
func startTargets(t *testing.T, s *scriptedStore) func() int {
	t.Helper()
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	list := NewTargets(s, "targets", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return time.Duration(s.silence.Load()) }, func() bool { return true }, WithClock(boot))
	list.SetFirst(true) // no other daemon calls the store
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go func() { _ = list.Run(ctx) }()
	return func() int {
		synctest.Wait()
		return len(list.Set()["p"])
	}
}

// TestGoneAfterLongWatch guards against a target that is kept in use after its
// entry was removed, only because nothing had changed for long before and one
// call failed (wanjiru-gate scale-1 and scale-2: check DRAIN).
func TestGoneAfterLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore("a", "b")
		targets := startTargets(t, s)
		time.Sleep(10 * time.Second)
		test.Eq(t, 2, targets())
		for range 4 {
			s.fail <- store.ErrUnavailable("test")
		}
		time.Sleep(8 * time.Second)
		s.events <- []store.Event{{Object: entryOf("a", false), Deleted: true}}
		time.Sleep(100 * time.Millisecond)
		test.Eq(t, 1, targets())
	})
}

// TestLapsed guards against a pool that is emptied because its targets could
// not renew their entries while the store was unreachable.
func TestLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore("a", "b")
		targets := startTargets(t, s)
		time.Sleep(2 * time.Second)
		for range 8 {
			s.fail <- store.ErrUnavailable("test")
		}
		time.Sleep(5 * time.Second)
		s.silence.Store(int64(5 * time.Second))
		s.events <- []store.Event{{Object: entryOf("a", false), Deleted: true}, {Object: entryOf("b", false), Deleted: true}}
		time.Sleep(time.Second)
		test.Eq(t, 2, targets())
		s.silence.Store(0)
		s.events <- []store.Event{{Object: entryOf("a", false)}}
		time.Sleep(renewalTime + time.Second)
		test.Eq(t, 1, targets())
	})
}

// TestUnreadable guards against a list that becomes empty because one entry, from
// another writer, cannot be decoded.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore("a")
		s.list = append(s.list, store.Object{Name: "x", Value: []byte(`"none"`)})
		targets := startTargets(t, s)
		time.Sleep(time.Second)
		test.Eq(t, 1, targets())
	})
}

// TestOddEntries guards against a target that stays in use when its entry becomes odd,
// against one that is not used when the entry is sound again, and against odd entries
// that are logged or counted at each of their changes.
func TestOddEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore("a", "b")
		targets := startTargets(t, s)
		test.Eq(t, 2, targets())
		for _, odd := range []store.Object{
			{Name: "b", Problem: "nested too deeply"},
			{Name: "b", Value: []byte(strings.Repeat("[", MaxEntry+1))},
			{Name: "b", Value: []byte(`{}`)},
			{Name: "", Problem: "no name"},
			{Name: strings.Repeat("n", store.MaxName+1), Value: []byte(`{}`)},
		} {
			s.events <- []store.Event{{Object: odd}}
			time.Sleep(time.Second)
			test.Eq(t, 1, targets())
		}
		s.events <- []store.Event{{Object: entryOf("b", false)}}
		time.Sleep(time.Second)
		test.Eq(t, 2, targets())
	})

	var log bytes.Buffer
	odd := oddEntries{options: newOptions([]Option{WithLog(zerolog.New(&log))})}
	for range 3 {
		odd.add("targets", &store.Object{Name: "b"}, "one")
	}
	odd.add("targets", &store.Object{Name: "b"}, "two")
	odd.remove("b")
	odd.add("targets", &store.Object{Name: "b"}, "two")
	test.Eq(t, 3, strings.Count(log.String(), "odd entry left out"))
}

// TestSilentWatch guards against a watch that never returns while other lists
// show that the store changed (wanjiru-gate scale-2: check DRAIN after 12 s).
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedStore("a", "b")
		start := time.Now()
		boot := func() time.Duration { return time.Since(start) + time.Hour }
		list := NewTargets(s, "targets", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return 0 }, func() bool { return true }, WithClock(boot))
		list.SetFirst(true) // no other daemon calls the store
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = list.Run(ctx) }()
		time.Sleep(2 * time.Second)
		calls := s.watches.Load()
		for range 10 {
			list.VersionSeen(7) // from a daemon with a newer version
			list.VersionSeen(1) // from this daemon's own older answer
			time.Sleep(200 * time.Millisecond)
		}
		synctest.Wait()
		test.Greater(t, calls, s.watches.Load())
		// A watch that ended without an answer does not renew the age, which counts
		// from the list read four seconds ago.
		test.Eq(t, 4*time.Second, list.age())
	})
}
