package objapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// startServer serves on a free port until the test ends. It returns the server, a
// client and the base URL.
func startServer(t *testing.T, options ...Option) (s *Server, c *store.Client, base string) {
	s = New(options...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	base = "http://" + ln.Addr().String()
	c = store.NewClient(base)
	t.Cleanup(func() {
		c.Close()
		must.NoError(t, s.Stop())
		must.NoError(t, <-done)
	})
	return s, c, base
}

// setFaults sets the injected faults over HTTP.
func setFaults(t *testing.T, base string, f Faults) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(base + "/faults")
	req.Header.SetMethod("PUT")
	body, err := json.Marshal(f)
	must.NoError(t, err)
	req.SetBody(body)
	must.NoError(t, fasthttp.Do(req, resp))
	must.EqOp(t, 200, resp.StatusCode())
}

// TestClient guards against responses that the client maps to the wrong error
// kind, above all a write whose response is lost and that is reported as a write
// without effect.
func TestClient(t *testing.T) {
	_, c, base := startServer(t)
	ctx := context.Background()
	v, err := c.Put(ctx, store.KindLease, "north/3", []byte("a"), 0)
	must.NoError(t, err)
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("b"), 0)
	must.True(t, fault.Is(err, fault.KindConflict))
	_, err = c.Get(ctx, store.KindLease, "north/4")
	must.True(t, fault.Is(err, fault.KindMissing))

	setFaults(t, base, Faults{DropWriteResponses: 1})
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("c"), v)
	must.True(t, fault.Is(err, fault.KindUnknown))
	o, err := c.Get(ctx, store.KindLease, "north/3")
	must.NoError(t, err)
	must.EqOp(t, "c", string(o.Value))

	setFaults(t, base, Faults{DropResponses: true})
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("d"), 0)
	must.True(t, fault.Is(err, fault.KindUnknown))
	_, err = c.Get(ctx, store.KindLease, "north/3")
	must.True(t, fault.Is(err, fault.KindUnavailable))
	setFaults(t, base, Faults{Delay: 1500})
	_, err = c.Put(ctx, store.KindShare, "slow", nil, 0)
	must.True(t, fault.Is(err, fault.KindUnknown)) // the client's timeout passed

	setFaults(t, base, Faults{Unavailable: true})
	_, err = c.Put(ctx, store.KindLease, "north/3", []byte("d"), o.Version)
	must.True(t, fault.Is(err, fault.KindUnavailable))
	_, _, err = c.List(ctx, store.KindLease)
	must.True(t, fault.Is(err, fault.KindUnavailable))
	setFaults(t, base, Faults{})

	objects, _, err := c.List(ctx, store.KindLease)
	must.NoError(t, err)
	must.Eq(t, []store.Object{o}, objects)
	must.NoError(t, c.Delete(ctx, store.KindLease, "north/3", o.Version))
	status, body, err := fasthttp.Get(nil, base+"/calls")
	must.NoError(t, err)
	must.EqOp(t, 200, status)
	must.StrContains(t, string(body), `"get":3`)
}

// TestRefusedConnection guards against a write that is reported with the kind
// fault.KindUnknown although no connection was opened and it cannot have had an
// effect.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	c := store.NewClient("http://" + ln.Addr().String())
	_, err = c.Put(context.Background(), store.KindConf, "root", nil, 0)
	must.True(t, fault.Is(err, fault.KindUnavailable))
}

// TestWatch guards against watches that miss a change, that hang after their
// context is canceled, or that resume although changes were discarded since.
func TestWatch(t *testing.T) {
	s, c, _ := startServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for s.Mem().CallCounts().Watch == 0 {
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
	must.True(t, fault.Is(err, store.KindCompacted))
	cancel()
	_, _, err = c.Watch(ctx, store.KindConf, version)
	must.True(t, fault.Is(err, fault.KindUnavailable))
}

// TestHosts guards against a host list that drops the field Leaving.
func TestHosts(t *testing.T) {
	s, c, _ := startServer(t)
	h := store.Host{ID: "h1", Region: "north", Domain: "n1", Address: "127.0.0.1:1", Leaving: true}
	s.Mem().SetHost(h)
	hosts, err := c.Hosts(context.Background())
	must.NoError(t, err)
	must.Eq(t, []store.Host{h}, hosts)
}

// TestLongList guards against a list that no daemon can read because one answer with all
// objects is larger than the daemon allows, and against objects that are missing from it.
func TestLongList(t *testing.T) {
	const maxAnswer = 16 << 20 // of the smallest daemon
	s, _, base := startServer(t)
	c := store.NewClient(base, store.WithMaxAnswer(maxAnswer), store.WithTimeout(time.Minute))
	defer c.Close()
	value := make([]byte, store.MaxValue)
	large := maxAnswer / len(value)
	for i := range large {
		_, err := s.Mem().Put(t.Context(), "large", fmt.Sprintf("%04d", i), value, 0)
		must.NoError(t, err)
	}
	const small = 40_000
	for i := range small {
		_, err := s.Mem().Put(t.Context(), "small", fmt.Sprint(i), nil, 0)
		must.NoError(t, err)
	}
	for kind, count := range map[store.Kind]int{"large": large, "small": small, "none": 0} {
		objects, version, err := c.List(t.Context(), kind)
		must.NoError(t, err)
		must.EqOp(t, store.Version(large+small), version)
		names := make(map[string]bool)
		for _, o := range objects {
			names[o.Name] = true
		}
		must.MapLen(t, count, names)
		must.Len(t, count, objects)
	}
}
