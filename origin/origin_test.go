package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
)

// TestMain fails if goroutines of a target or client are left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a running target with a client.
type harness struct {
	*Server
	t      *testing.T
	target *model.Target
	client *exch.Client
}

// startTarget serves a target on a free port until the test ends.
func startTarget(t *testing.T, options ...Option) *harness {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &harness{Server: New(options...), t: t, client: exch.New(),
		target: &model.Target{Address: ln.Addr().String()}}
	done := make(chan error)
	go func() { done <- h.Serve(ln) }()
	t.Cleanup(func() {
		h.client.Close()
		test.NoError(t, h.Stop(context.WithoutCancel(t.Context())))
		test.NoError(t, <-done)
	})
	return h
}

// send sends one request through the client.
func (h *harness) send(ctx context.Context, method, uri, id string) (exch.Outcome, *fasthttp.Response) {
	var req fasthttp.Request
	resp := new(fasthttp.Response)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.SetHost("target")
	req.Header.Set(HeaderRequest, id)
	return h.client.Do(ctx, h.target, &req, resp), resp
}

// waitFor polls until ready returns true.
func waitFor(ready func() bool) {
	for !ready() {
		time.Sleep(time.Millisecond)
	}
}

// TestFaults guards against a fault setting without effect: tests of the daemons
// would pass although the fault never occurred.
func TestFaults(t *testing.T) {
	for name, row := range map[string]struct {
		faults  Faults
		class   exch.Class
		status  int
		started int
		done    int
	}{
		"none":         {Faults{}, exch.Complete, 200, 1, 1},
		"slow":         {Faults{Slow: 2}, exch.Complete, 200, 1, 1},
		"late":         {Faults{SlowPastDeadline: 2}, exch.Complete, 200, 1, 1},
		"fail":         {Faults{Fail: 1}, exch.Complete, 500, 0, 0},
		"other path":   {Faults{Fail: 1, Paths: []string{"/artwork"}}, exch.Complete, 200, 1, 1},
		"other caller": {Faults{Fail: 1, Customers: []model.CustomerID{"x"}}, exch.Complete, 200, 1, 1},
		"lose":         {Faults{DropResponse: 1}, exch.Unknown, 0, 1, 1},
		"truncate":     {Faults{Truncate: 1}, exch.Broken, 200, 1, 1},
		"bare":         {Faults{Unframed: 1}, exch.Complete, 200, 1, 1},
		"shed":         {Faults{Shed: true, Drain: true}, exch.Shed, 503, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := startTarget(t, WithFaults(row.faults))
			out, resp := h.send(t.Context(), "POST", "/orders?size=100000", "r1")
			test.Eq(t, row.class, out.Class)
			test.Eq(t, row.status, out.Status)
			test.Eq(t, row.faults.Drain, out.Draining)
			if out.Class == exch.Complete && out.Status == 200 {
				test.Eq(t, "r1", string(resp.Header.Peek(HeaderRequest)))
				test.Len(t, 100000, resp.Body())
				test.True(t, Matches("r1", resp.Body()))
				test.False(t, Matches("r2", resp.Body()))
			}
			started, done := 0, 0
			for _, e := range h.Executions().Entries {
				started, done = started+e.Started, done+e.Completed
			}
			test.Eq(t, row.started, started)
			test.Eq(t, row.done, done)
		})
	}
}

// TestCancellation guards against slots that stay busy after the client
// disconnected, and against silenced connections that still respond.
func TestCancellation(t *testing.T) {
	h := startTarget(t, WithSlots(1), WithFaults(Faults{Stall: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan exch.Outcome)
	go func() { out, _ := h.send(ctx, "GET", "/", "r1"); first <- out }()
	waitFor(func() bool { return len(h.Executions().Entries) == 1 })
	out, _ := h.send(t.Context(), "GET", "/", "r2")
	test.Eq(t, exch.Shed, out.Class)
	cancel()
	test.True(t, (<-first).Canceled)
	waitFor(func() bool { return h.Busy() == 0 })
	must.NoError(t, h.SetFaults(Faults{}))
	out, _ = h.send(t.Context(), "GET", "/", "r3")
	test.Eq(t, exch.Complete, out.Class)
	h.SilenceConnections()
	ctx, cancel = context.WithCancel(t.Context())
	go func() { out, _ := h.send(ctx, "GET", "/", "r4"); first <- out }()
	waitFor(func() bool { _, idle := h.client.Connections(h.target); return idle == 0 })
	out, _ = h.send(t.Context(), "GET", "/", "r5")
	test.Eq(t, exch.Complete, out.Class)
	cancel()
	<-first
}

// TestControl guards against misspelled or invalid fault settings that are
// accepted, and against health and load endpoints that ignore the settings for
// false and stale reports.
func TestControl(t *testing.T) {
	h := startTarget(t)
	call := func(method, path, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.target.Address+path, strings.NewReader(body))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		return resp.StatusCode, string(data)
	}
	defer http.DefaultClient.CloseIdleConnections()
	for _, invalid := range []string{`{"sloow":1}`, `{"fail":2}`, `{"fail":0.6,"lose":0.6}`, `{"health":"maybe"}`} {
		status, text := call("PUT", "/control", invalid)
		test.Eq(t, 400, status)
		test.StrContains(t, text, "remedy")
	}
	status, _ := call("PUT", "/control", `{"fail":1,"health":"good","load":"bad"} /* lies */`)
	test.Eq(t, 200, status)
	status, _ = call("GET", "/health", "")
	test.Eq(t, 200, status)
	_, text := call("GET", "/load", "")
	test.StrContains(t, text, `"busy":6`)
	call("PUT", "/control", `{"fail":1,"stale":3600000}`)
	status, _ = call("GET", "/health", "")
	test.Eq(t, 200, status, test.Sprint("the earlier claim is repeated"))
	call("PUT", "/control", `{"fail":1}`)
	status, _ = call("GET", "/health", "")
	test.Eq(t, 503, status)
	call("PUT", "/control", `{}`)
	call("POST", "/orders", "")
	_, text = call("GET", "/control/executions", "")
	test.StrContains(t, text, `"path":"/orders"`)
	call("DELETE", "/control/executions", "")
	test.Eq(t, 0, len(h.Executions().Entries))
}
