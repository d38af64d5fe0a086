package lists

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// script is a store whose answers a test sets. A watch without events waits.
type script struct {
	list   []store.Object
	at     store.Version
	events chan []store.Event
	fail   chan error
	// watches counts the calls.
	watches atomic.Int32
	// silence is the age of the newest word from the store.
	silence atomic.Int64
}

func newScript(names ...string) *script {
	s := &script{at: 1, events: make(chan []store.Event, 8), fail: make(chan error, 8)}
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

func (s *script) List(context.Context, store.Kind) ([]store.Object, store.Version, error) {
	return s.list, s.at, nil
}

func (s *script) Poll(context.Context, store.Kind, store.Version) ([]store.Event, store.Version, error) {
	select {
	case err := <-s.fail:
		return nil, 0, err
	default:
		return nil, s.at, nil
	}
}

func (s *script) Watch(ctx context.Context, _ store.Kind, _ store.Version) ([]store.Event, store.Version, error) {
	s.watches.Add(1)
	select {
	case e := <-s.events:
		s.at++
		return e, s.at, nil
	case err := <-s.fail:
		return nil, 0, err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

type plainDecoder struct{}

func (plainDecoder) Target(_ string, value []byte) (model.Instance, error) {
	var i model.Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return i, err
	}
	if i.ID == "" {
		return i, errors.New("no id")
	}
	return i, nil
}

// run follows the script in virtual time and returns the names in use.
func run(t *testing.T, s *script) func() int {
	t.Helper()
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	list := NewTargets(s, "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return time.Duration(s.silence.Load()) }, func() bool { return true }, WithBoot(boot))
	list.First(true) // nobody else asks the store
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
// call failed (wanjiru-gate scale-1 and scale-2: DRAIN).
func TestGoneAfterLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript("a", "b")
		targets := run(t, s)
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
// not renew their entries while the store was away.
func TestLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript("a", "b")
		targets := run(t, s)
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
		time.Sleep(renewal + time.Second)
		test.Eq(t, 1, targets())
	})
}

// TestUnreadable guards against one entry of another writer that empties the list.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript("a")
		s.list = append(s.list, store.Object{Name: "x", Value: []byte(`"none"`)})
		targets := run(t, s)
		time.Sleep(time.Second)
		test.Eq(t, 1, targets())
	})
}

// TestSilentWatch guards against a watch that waits in vain while other lists
// show that the store changed (wanjiru-gate scale-2: DRAIN after 12 s).
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript("a", "b")
		start := time.Now()
		boot := func() time.Duration { return time.Since(start) + time.Hour }
		list := NewTargets(s, "targets", plainDecoder{}, func(Set) {}, func() time.Duration { return 0 }, func() bool { return true }, WithBoot(boot))
		list.First(true) // nobody else asks the store
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = list.Run(ctx) }()
		time.Sleep(2 * time.Second)
		calls := s.watches.Load()
		for range 10 {
			list.Seen(7) // from a daemon that knows more
			list.Seen(1) // from this daemon's own older answer
			time.Sleep(200 * time.Millisecond)
		}
		synctest.Wait()
		test.Greater(t, calls, s.watches.Load())
		// A watch that was ended without an answer proves nothing: the last proof
		// is the list, read four seconds ago.
		test.Eq(t, 4*time.Second, list.age())
	})
}
