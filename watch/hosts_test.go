package watch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/fault"
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

// TestOddHosts guards against an odd entry among those of the daemons that is used, or
// keeps the others from being read.
func TestOddHosts(t *testing.T) {
	s := memHostStore{store.NewMem()}
	for name, value := range map[string]string{
		"sound":   `{"id":"sound","region":"r","domain":"d","address":"10.0.0.1:7360","power":0.32}`,
		"port":    `{"id":"port","region":"r","domain":"d","address":"10.0.0.1:73600","power":0.32}`,
		"host":    `{"id":"host","region":"r","domain":"d","address":"here:7360","power":0.32}`,
		"power":   `{"id":"power","region":"r","domain":"d","address":"10.0.0.1:7360","power":1e300}`,
		"endless": `{"id":"endless","region":"r","domain":"d","address":"10.0.0.1:7360","power":1e999}`,
		"none":    `{"id":"none","region":"r","domain":"d","address":"10.0.0.1:7360","power":0}`,
		"domain":  `{"id":"domain","region":"r","address":"10.0.0.1:7360","power":0.32}`,
		"other":   `{"id":"sound","region":"r","domain":"d","address":"10.0.0.9:7360","power":0.32}`,
		"twice":   `{"id":"twice","region":"r","domain":"d","address":"10.0.0.1:7360","power":0.32,"power":3200}`,
		"deep":    strings.Repeat("[", 12000) + strings.Repeat("]", 12000),
		"text":    `"text"`,
	} {
		_, err := s.Put(t.Context(), KindHost, name, []byte(value), 0)
		test.NoError(t, err)
	}
	h := NewHosts(s, mesh.Host{ID: "self", Region: "r", Domain: "d", Address: "10.0.0.2:7360", Cores: 0.32})
	_, err := h.read(t.Context(), true)
	test.NoError(t, err)
	var ids []string
	for _, other := range h.All() {
		ids = append(ids, string(other.ID)+" "+other.Address)
	}
	test.Eq(t, []string{"self 10.0.0.2:7360", "sound 10.0.0.1:7360"}, ids)
}

// TestHostAfterRestore guards against a missing entry of a daemon that runs, and one of a daemon that stopped.
func TestHostAfterRestore(t *testing.T) {
	for name, registered := range map[string]bool{"without its entry": false, "with its entry": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memHostStore{store.NewMem()}
				h := NewHosts(s, mesh.Host{ID: "a", Region: "r", Address: "10.0.0.1:1"})
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); synctest.Wait() }()
				copied := s.Copy()
				go func() { _ = h.Run(ctx) }()
				time.Sleep(time.Second)
				if registered {
					copied = s.Copy()
				}
				s.Restore(copied)
				if !registered {
					time.Sleep(2 * hostsInterval)
				}
				_, err := s.Get(ctx, KindHost, "a")
				test.NoError(t, err)
				h.Deregister(ctx)
				_, err = s.Get(ctx, KindHost, "a")
				test.True(t, fault.Is(err, fault.KindMissing))
			})
		})
	}
}
