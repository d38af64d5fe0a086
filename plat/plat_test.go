package plat

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

func start(t *testing.T, options ...Option) (*Server, *store.Client) {
	s := New(options...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	c := store.NewClient("http://" + ln.Addr().String())
	t.Cleanup(func() {
		c.Close()
		must.NoError(t, s.Stop())
		must.NoError(t, <-done)
	})
	return s, c
}

// TestClient guards against answers that the client maps to the wrong error,
// above all a write with a lost answer that looks as if it had no effect.
func TestClient(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	v, err := c.Put(ctx, store.KindLease, "north/3", []byte("a"), 0)
	must.NoError(t, err)
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("b"), 0)
	must.True(t, fault.Is(err, fault.Conflict))
	_, err = c.Get(ctx, store.KindLease, "north/4")
	must.True(t, fault.Is(err, fault.Missing))

	s.Mem().LoseAnswers(1)
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("c"), v)
	must.True(t, fault.Is(err, fault.Unknown))
	o, err := c.Get(ctx, store.KindLease, "north/3")
	must.NoError(t, err)
	must.EqOp(t, "c", string(o.Value))

	s.Mem().SetUnavailable(true)
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("d"), o.Version)
	must.True(t, fault.Is(err, fault.Unavailable))
	_, _, err = c.List(ctx, store.KindLease)
	must.True(t, fault.Is(err, fault.Unavailable))
	s.Mem().SetUnavailable(false)

	objects, _, err := c.List(ctx, store.KindLease)
	must.NoError(t, err)
	must.Eq(t, []store.Object{o}, objects)
	must.NoError(t, c.Delete(ctx, store.KindLease, "north/3", o.Version))
	must.EqOp(t, 2, s.Mem().Calls().Get)
}

// TestRefusedConnection guards against a write reported as unknown although
// no connection was opened.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	c := store.NewClient("http://" + ln.Addr().String())
	_, err = c.Put(context.Background(), store.KindConf, "root", nil, 0)
	must.True(t, fault.Is(err, fault.Unavailable))
}

// TestWatch guards against watches that miss a change, hang after the caller
// left, or resume over a gap.
func TestWatch(t *testing.T) {
	s, c := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for s.Mem().Calls().Watch == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _ = s.Mem().Put(ctx, store.KindConf, "root", []byte("x"), 0)
	}()
	events, version, err := c.Watch(ctx, store.KindConf, 0)
	must.NoError(t, err)
	must.Len(t, 1, events)
	must.EqOp(t, store.Version(1), version)

	s.Mem().Compact()
	_, _, err = c.Watch(ctx, store.KindConf, 0)
	must.True(t, fault.Is(err, store.Compacted))
	cancel()
	_, _, err = c.Watch(ctx, store.KindConf, version)
	must.True(t, fault.Is(err, fault.Unavailable))
}

// TestHosts guards against a host list that loses the leaving flag.
func TestHosts(t *testing.T) {
	s, c := start(t)
	h := store.Host{ID: "h1", Region: "north", Domain: "n1", Address: "127.0.0.1:1", Leaving: true}
	s.Mem().SetHost(h)
	hosts, err := c.Hosts(context.Background())
	must.NoError(t, err)
	must.Eq(t, []store.Host{h}, hosts)
}
