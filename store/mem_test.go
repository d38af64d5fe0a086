package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// TestLateWrite guards against a store that discards a delayed write when its
// context ends. Over a network such a write still takes effect.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMem()
		m.SetDelay(4 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := m.Put(ctx, KindLease, "a", []byte("x"), 0)
		must.True(t, fault.Is(err, fault.KindUnknown))
		m.SetDelay(0)
		_, err = m.Get(t.Context(), KindLease, "a")
		must.True(t, fault.Is(err, fault.KindMissing))
		time.Sleep(5 * time.Second)
		_, err = m.Get(t.Context(), KindLease, "a")
		must.NoError(t, err)
	})
}

// TestLink guards against faults of one path that affect another one, and against
// writes without an effect on a path that only loses answers.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMem()
		a, b := m.Link(), m.Link()
		a.SetLoseAnswers(true)
		_, err := a.Put(t.Context(), KindLease, "x", nil, 0)
		must.True(t, fault.Is(err, fault.KindUnknown))
		_, _, err = a.Watch(t.Context(), KindLease, 0)
		must.True(t, fault.Is(err, fault.KindUnavailable))
		_, err = b.Get(t.Context(), KindLease, "x")
		must.NoError(t, err)
		m.LoseNextAnswers(1)
		_, err = b.Put(t.Context(), KindLease, "y", nil, 0)
		must.True(t, fault.Is(err, fault.KindUnknown))
		m.SetUnavailable(true)
		_, err = b.Get(t.Context(), KindLease, "x")
		must.True(t, fault.Is(err, fault.KindUnavailable))
	})
}

// TestHistory guards against a watch that misses dropped events without an error.
func TestHistory(t *testing.T) {
	m := NewMem(WithHistory(2))
	var version Version
	var err error
	for range 6 {
		version, err = m.Put(t.Context(), KindConf, "root", nil, version)
		must.NoError(t, err)
	}
	_, _, err = m.Watch(t.Context(), KindConf, 0)
	must.True(t, fault.Is(err, KindCompacted))
	events, _, err := m.Watch(t.Context(), KindConf, version-1)
	must.NoError(t, err)
	must.Len(t, 1, events)
}

// TestHostLag guards against a simulated host list that does not lag: tests would
// miss the faults that the lag of the real list causes.
func TestHostLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMem(WithHostListLag(5 * time.Second))
		m.SetHost(Host{ID: "h1"})
		hosts, err := m.Hosts(t.Context())
		must.NoError(t, err)
		must.Len(t, 0, hosts)
		time.Sleep(5 * time.Second)
		m.RemoveHost("h1")
		hosts, err = m.Hosts(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, hosts)
	})
}
