package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/store"
)

// forgetfulStore lists objects, but has no history: no watch can be continued.
type forgetfulStore struct {
	store.Store
	lists atomic.Int32
}

func (s *forgetfulStore) List(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error) {
	s.lists.Add(1)
	sleep(ctx, time.Millisecond)
	objects, _, err := s.Store.List(ctx, kind)
	return objects, 9, err
}

func (*forgetfulStore) Watch(ctx context.Context, _ store.Kind, _ store.Version) ([]store.Event, store.Version, error) {
	sleep(ctx, time.Millisecond)
	return nil, 0, store.ErrCompacted()
}

// TestAlwaysCompacted guards against a daemon that lists all objects without a pause from a store
// whose watches always fail because history is gone or their answers are too large.
func TestAlwaysCompacted(t *testing.T) {
	const runTime = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &forgetfulStore{Store: store.NewMem()}
		host := cell.Host{ID: "h0", Address: "h0"}
		m := cell.NewMember(host, "c", "1")
		m.SetRoster(cell.Roster{Version: 1, Hosts: []cell.Host{host}}, true)
		d := New(conf.NewHolder(), m, s, nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = d.watch(ctx) }()
		time.Sleep(runTime)
		test.GreaterEq(t, 2, s.lists.Load())
		test.LessEq(t, 2+int32(runTime/retryDelay), s.lists.Load(), test.Sprint("lists, as many as calls to a store that fails"))
	})
}
