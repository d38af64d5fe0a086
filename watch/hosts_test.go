package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/store"
)

// memHostStore is an in-memory store whose ListStale returns up-to-date lists.
type memHostStore struct{ *store.Mem }

func (s memHostStore) ListStale(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error) {
	return s.List(ctx, kind)
}

// TestHosts guards against a daemon that is not on the list after a start, a
// restart or the loss of its entry, and against unnecessary calls to the store
// after a restart (sugarleaf-gw-grown trouble-1: three more for each of 147 hosts).
func TestHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memHostStore{store.NewMem()}
		start := func(address string) (h *Hosts, stop func()) {
			h = NewHosts(s, mesh.Host{ID: "a", Region: "r", Address: address})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = h.Run(ctx) }()
			time.Sleep(hostsJoinInterval / 2)
			return h, func() { cancel(); synctest.Wait() }
		}
		listed := func() string {
			o, err := s.Get(t.Context(), KindHost, "a")
			if err != nil {
				return ""
			}
			return string(o.Value)
		}
		_, stop := start("10.0.0.1:1")
		test.StrContains(t, listed(), "10.0.0.1:1")
		time.Sleep(time.Second)
		stop()

		before := s.CallCounts()
		_, stop = start("10.0.0.1:1")
		after := s.CallCounts()
		test.Eq(t, before.Put, after.Put)
		test.Eq(t, 1, after.List-before.List)
		stop()

		h, stop := start("10.0.0.2:1") // the address changed
		test.StrContains(t, listed(), "10.0.0.2:1")
		time.Sleep(time.Second)
		o, err := s.Get(t.Context(), KindHost, "a")
		test.NoError(t, err)
		test.NoError(t, s.Delete(t.Context(), KindHost, "a", o.Version))
		time.Sleep(2 * hostsInterval)
		test.StrContains(t, listed(), "10.0.0.2:1")
		h.Deregister(t.Context())
		test.Eq(t, "", listed())
		stop()
	})
}
