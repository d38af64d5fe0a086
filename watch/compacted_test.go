package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/store"
)

// forgetfulStore lists objects, but has no history: no watch can be continued while lost is set.
type forgetfulStore struct {
	lost  atomic.Bool
	lists atomic.Int32
}

func (s *forgetfulStore) List(ctx context.Context, _ store.Kind) ([]store.Object, store.Version, error) {
	s.lists.Add(1)
	sleep(ctx, time.Millisecond)
	return []store.Object{{Name: "a", Version: 9}}, 9, ctx.Err()
}

func (s *forgetfulStore) Watch(ctx context.Context, _ store.Kind, _ store.Version) ([]store.Event, store.Version, error) {
	sleep(ctx, time.Millisecond)
	if s.lost.Load() {
		return nil, 0, store.ErrCompacted()
	}
	sleep(ctx, time.Second)
	return nil, 9, ctx.Err()
}

func (s *forgetfulStore) Poll(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error) {
	return s.Watch(ctx, kind, after)
}

// TestAlwaysCompacted guards against a host that lists all objects without a pause from a store
// whose watches always fail because history is gone or their answers are too large.
func TestAlwaysCompacted(t *testing.T) {
	const runTime = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &forgetfulStore{}
		s.lost.Store(true)
		start := time.Now()
		f := newFollower(s, "config", 0, newOptions([]Option{WithClock(func() time.Duration { return time.Since(start) + time.Hour })}))
		f.onList, f.onEvents = func([]store.Object) {}, func([]store.Event) {}
		f.first.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = f.run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		test.LessEq(t, 2, s.lists.Load(), test.Sprint("the list is read again at once, but only once"))
		time.Sleep(runTime)
		test.LessEq(t, 4+int32(runTime/(maxRetry*3/4)), s.lists.Load(), test.Sprint("lists, as many as calls to a store that fails"))
		test.Less(t, 2*maxRetry, f.age())
		// A watch that is continued ends the sequence.
		s.lost.Store(false)
		time.Sleep(2 * time.Second)
		s.lost.Store(true)
		s.lists.Store(0)
		time.Sleep(1100 * time.Millisecond)
		test.GreaterEq(t, 1, s.lists.Load())
		test.LessEq(t, 5, s.lists.Load())
	})
}
