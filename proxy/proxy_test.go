package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/caller"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/refuse"
)

var protocol = Protocol{
	Request: "Request", Deadline: "Deadline", Customer: "Customer", Key: "Key",
	ParseKey: func(v string) (string, bool) { return v, v != "" },
	Load:     "Load", ParseLoad: func(string) (float64, bool) { return 0, false },
}

// targetScript holds the responses to the first, second, ... request; the last one is
// repeated. The response "" closes the connection, and "wait" leaves the request
// unanswered. The connection is also closed after truncatedResponse.
type targetScript struct {
	responses []string
	requests  atomic.Int32
	closed    atomic.Bool // the proxy closed the connection of an unanswered request
}

func (s *targetScript) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n := int(s.requests.Add(1))
		raw := s.responses[min(n, len(s.responses))-1]
		if raw == "wait" {
			_, err := r.ReadByte()
			s.closed.Store(err != nil)
			return
		}
		if raw == "" {
			return
		}
		raw = strings.ReplaceAll(raw, "ID", req.Header.Get("Request"))
		if _, err := io.WriteString(c, raw); err != nil || strings.Contains(raw, "Length: 9") {
			return
		}
	}
}

const (
	okResponse        = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nproof"
	errorResponse     = "HTTP/1.1 500 Error\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
	signed503Response = "HTTP/1.1 503 Busy\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
	shedResponse      = "HTTP/1.1 503 Busy\r\nRequest: ID\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"
	foreignResponse   = "HTTP/1.1 200 OK\r\nRequest: another\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong"
	unsignedResponse  = "HTTP/1.1 200 OK\r\nRequest: ID\r\nContent-Length: 5\r\n\r\nproof"
	truncatedResponse = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 9\r\n\r\nproof"
	gzipResponse      = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nproof"
)

// unlimited admits every request and retry.
type unlimited struct{}

func (unlimited) Admit(time.Time, *model.Customer) (time.Duration, bool) { return 0, true }
func (unlimited) Cancel(*model.Customer)                                 {}
func (unlimited) CountRequest(model.PoolID)                              {}
func (unlimited) Retry(model.PoolID, float64) bool                       { return true }

// testProxy is a proxy with two targets that share a script.
type testProxy struct {
	targetScript *targetScript
	age          atomic.Int64
	holder       *conf.Holder
	outdated     atomic.Bool // a newer configuration is due
	closed       bool        // further configurations close the open route
	url          string
	proxy        *Proxy
	atTargets    atomic.Int32 // requests that were reported as sent and not as ended
}

func newTestProxy(t testing.TB, responses ...string) *testProxy {
	t.Helper()
	tp := &testProxy{targetScript: &targetScript{responses: responses}, holder: conf.NewHolder()}
	balancer := place.NewBalancer(place.Location{Region: "r", Domain: "d"})
	var instances []*model.Instance
	for _, id := range []model.TargetID{"one", "two"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go tp.targetScript.serve(c)
			}
		}()
		instances = append(instances, &model.Instance{Pool: "p", Target: model.Target{ID: id, Address: ln.Addr().String(), Region: "r", Domain: "d", Slots: 4}})
	}
	balancer.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": instances})
	tp.install(1, "key")
	p := New(Dependencies{
		Protocol: protocol, Snapshot: tp.holder.Current, MaxKeyAge: 4 * time.Second,
		ConfigAge: func() time.Duration { return time.Duration(tp.age.Load()) }, ConfigOutdated: tp.outdated.Load, Limiter: unlimited{}, Balancer: balancer,
		Exchange:          exch.New(exch.WithHeaders(exch.Headers{Deadline: "Deadline", Expect: "Expect", Shed: "Shed", ShedAnyStatus: true, Request: "Request", Signature: "Signature"})),
		ReportObservation: func(model.TargetID, health.Observation, float64) {},
		ReportRequests:    func(_ model.TargetID, sent, ended uint32) { tp.atTargets.Add(int32(sent) - int32(ended)) },
		ReportLeaving:     func(model.TargetID, int64) {},
		ReportLimit:       func(model.TargetID, bool, model.Rate) {},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := caller.New(p, caller.Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 16, Bytes: 64 << 10})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	tp.url = "http://" + ln.Addr().String()
	tp.proxy = p
	return tp
}

// install activates a configuration with one key.
func (tp *testProxy) install(version model.ConfigVersion, key string) {
	tp.holder.Install(conf.NewSnapshot(version, &model.Intent{
		Customers: []model.Customer{{ID: "c", Rate: 100, Burst: 100, Keys: []model.Key{{ID: "k", Digest: model.DigestOf([]byte(key))}}}},
		Routes: []model.Route{
			{ID: "safe", Host: "127.0.0.1", Prefix: "/safe/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 1000, Attempts: 2},
			{ID: "once", Host: "127.0.0.1", Prefix: "/once/", Pool: "p", Repeat: model.RepeatNever, Deadline: 1000, Attempts: 2},
			{ID: "open", Host: "127.0.0.1", Prefix: "/open/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 1000, Open: !tp.closed},
		},
		Pools: []model.Pool{{ID: "p"}},
	}))
}

func (tp *testProxy) send(ctx context.Context, t *testing.T, path, key string) (status int, body string, header http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tp.url+path, strings.NewReader("10"))
	must.NoError(t, err)
	req.Header.Set("Request", "id-1")
	if key != "" {
		req.Header.Set("Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	test.NoError(t, err)
	return resp.StatusCode, string(text), resp.Header
}

// TestOutcomes guards against running a request twice that must not be repeated,
// against a false "not run", and against a response that is not the target's
// complete response to this request.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		responses []string
		status    int
		body      string
		sends     int32
	}{
		{name: "whole", path: "/once/", responses: []string{okResponse}, status: 200, body: "proof", sends: 1},
		{name: "reset, once", path: "/once/", responses: []string{"", okResponse}, status: 502, sends: 1},
		{name: "reset, safe", path: "/safe/", responses: []string{"", okResponse}, status: 200, body: "proof", sends: 2},
		{name: "shed, once", path: "/once/", responses: []string{shedResponse, okResponse}, status: 200, body: "proof", sends: 2},
		{name: "shed by all", path: "/once/", responses: []string{shedResponse}, status: 503, sends: 2},
		{name: "failed, once", path: "/once/", responses: []string{errorResponse, okResponse}, status: 500, sends: 1},
		{name: "failed, safe", path: "/safe/", responses: []string{errorResponse, okResponse}, status: 200, body: "proof", sends: 2},
		{name: "failed twice", path: "/safe/", responses: []string{errorResponse}, status: 500, sends: 2},
		{name: "503 after a run", path: "/once/", responses: []string{signed503Response, okResponse}, status: 502, sends: 1},
		{name: "answer to another", path: "/once/", responses: []string{foreignResponse + okResponse}, status: 200, body: "proof", sends: 1},
		{name: "only another's", path: "/once/", responses: []string{foreignResponse + foreignResponse + foreignResponse}, status: 502, sends: 1},
		{name: "no signature", path: "/once/", responses: []string{unsignedResponse}, status: 502, sends: 1},
		{name: "no signature, safe", path: "/safe/", responses: []string{unsignedResponse, okResponse}, status: 200, body: "proof", sends: 2},
		{name: "encoded", path: "/once/", responses: []string{gzipResponse}, status: 502, sends: 1},
		{name: "truncated, once", path: "/once/", responses: []string{truncatedResponse}, status: 502, sends: 1},
		{name: "truncated, safe", path: "/safe/", responses: []string{truncatedResponse, okResponse}, status: 200, body: "proof", sends: 2},
		{name: "silent, once", path: "/once/", responses: []string{"wait"}, status: 504, sends: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tp := newTestProxy(t, c.responses...)
			status, body, header := tp.send(t.Context(), t, c.path, "key")
			test.Eq(t, c.status, status)
			test.Eq(t, c.sends, tp.targetScript.requests.Load())
			if c.status == http.StatusOK {
				test.Eq(t, c.body, body)
			} else if c.status != 500 {
				test.Eq(t, "", header.Get("Signature"))
			}
			if c.status == http.StatusServiceUnavailable {
				test.NotEq(t, "", header.Get("Retry-After"))
			}
		})
	}
}

// TestKeys guards against accepting a key that was or may have been withdrawn, and
// against reporting a key as unknown while the daemon's configuration may be old.
func TestKeys(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	status := func(path, key string) int {
		s, _, _ := tp.send(t.Context(), t, path, key)
		return s
	}
	test.Eq(t, 200, status("/safe/", "key"))
	test.Eq(t, 401, status("/safe/", "unknown"))
	test.Eq(t, 404, status("/nowhere/", "key"))
	tp.age.Store(int64(5 * time.Second))
	test.Eq(t, 503, status("/safe/", "key"))
	test.Eq(t, 503, status("/safe/", "unknown"))
	test.Eq(t, 503, status("/nowhere/", "key"))
	test.Eq(t, 200, status("/open/", ""))
	tp.age.Store(0)
	tp.install(2, "new")
	tp.install(1, "key")
	test.Eq(t, 401, status("/safe/", "key"))
	test.Eq(t, 200, status("/safe/", "new"))
}

// TestOutdatedConfig guards against a request that is served by an older configuration than the
// one that is due.
func TestOutdatedConfig(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	for _, path := range []string{"/safe/", "/once/", "/open/", "/nowhere/"} {
		tp.outdated.Store(true)
		status, body, headers := tp.send(t.Context(), t, path, "key")
		test.EqOp(t, 503, status, test.Sprint(path))
		test.NotEq(t, "", headers.Get("Retry-After"), test.Sprint(path))
		test.StrContains(t, body, "not-run", test.Sprint(path))
		tp.outdated.Store(false)
		status, _, _ = tp.send(t.Context(), t, path, "key")
		test.NotEq(t, 503, status, test.Sprint(path))
	}
	test.EqOp(t, 3, tp.targetScript.requests.Load())
}

// TestOpenRouteKeys guards against a request on an open route that reaches a target in the
// name of the former holder of its key: while the configuration may be old, and after the
// key changed hands while the body arrived.
func TestOpenRouteKeys(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	send := func(key string) int {
		s, _, _ := tp.send(t.Context(), t, "/open/", key)
		return s
	}
	test.Eq(t, 200, send("key"))
	test.Eq(t, 200, send("unknown"))
	tp.age.Store(int64(5 * time.Second))
	test.Eq(t, 503, send("key"))
	test.Eq(t, 503, send("unknown"))
	test.Eq(t, 200, send(""))
	test.Eq(t, 3, tp.targetScript.requests.Load())
	tp.age.Store(0)
	tp.sendWhile(t, "Key: key\r\n", func() { tp.install(2, "new") })
	test.Eq(t, 3, tp.targetScript.requests.Load())
}

// TestOpenRouteClosed guards against a request without a key that runs on a route which was
// closed while its body arrived.
func TestOpenRouteClosed(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	tp.sendWhile(t, "", func() {
		tp.closed = true
		tp.install(2, "key")
	})
	test.Zero(t, tp.targetScript.requests.Load())
}

// sendWhile sends a request with the header on the open route, calls change before the end of
// its body, and checks that the request is refused.
func (tp *testProxy) sendWhile(t *testing.T, header string, change func()) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(tp.url, "http://"))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /open/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: 1\r\n"+header+"Content-Length: 2\r\n\r\n1")
	must.NoError(t, err)
	for end := time.Now().Add(5 * time.Second); tp.proxy.Running() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // the key is checked before the body is awaited
	change()
	_, err = io.WriteString(conn, "0")
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	test.Eq(t, 503, resp.StatusCode)
	test.Eq(t, "not-run", resp.Header.Get(refuse.HeaderRun))
}

// TestLeft guards against a target that keeps running a request whose caller closed
// the connection.
func TestLeft(t *testing.T) {
	tp := newTestProxy(t, "wait")
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	status, _, _ := tp.send(ctx, t, "/once/", "key")
	test.Eq(t, 0, status)
	deadline := time.Now().Add(500 * time.Millisecond)
	for !tp.targetScript.closed.Load() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	test.True(t, tp.targetScript.closed.Load())
}

// TestSplit guards against a split route whose pools don't get their weighted share, also if the
// weights are no whole numbers.
func TestSplit(t *testing.T) {
	for _, weights := range [][2]model.Weight{{90, 10}, {0.9, 0.1}, {1 << 30, (1 << 30) / 9.0}, {9e-300, 1e-300}} {
		r := &model.Route{Split: []model.SplitDestination{{Pool: "a", Weight: weights[0]}, {Pool: "none"}, {Pool: "b", Weight: weights[1]}}}
		n := 0
		got := make(map[model.PoolID]int)
		for range 1000 {
			got[selectPool(r, func() float64 { n = (n + 7) % 100; return (float64(n) + 0.5) / 100 })]++
		}
		test.Eq(t, map[model.PoolID]int{"a": 900, "b": 100}, got, test.Sprint(weights))
	}
	r := &model.Route{Pool: "c", Split: []model.SplitDestination{{Pool: "a", Weight: 0.1}, {Pool: "b", Weight: 0.2}, {Pool: "none"}}}
	test.Eq(t, "b", selectPool(r, func() float64 { return math.Nextafter(1, 0) }))
	r.Split = r.Split[2:]
	test.Eq(t, "c", selectPool(r, func() float64 { return 0 }))
}

// pipeline sends requests on one connection without waiting for responses, and returns the
// connection.
func (tp *testProxy) pipeline(t *testing.T, paths ...string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(tp.url, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	for n, path := range paths {
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: id-%d\r\nKey: key\r\n\r\n", path, n)
		must.NoError(t, err)
	}
	return c
}

// awaitRequests waits until the targets have received a number of requests.
func (tp *testProxy) awaitRequests(t *testing.T, count int32) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); tp.targetScript.requests.Load() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests have reached a target, not %d", tp.targetScript.requests.Load(), count)
		}
	}
}

// TestBehind guards against requests that may be repeated and wait for the one before
// them, and against others that do not: when a response closes the connection, or the
// caller leaves, those behind it must not have run.
func TestBehind(t *testing.T) {
	tp := newTestProxy(t, "wait")
	tp.pipeline(t, "/safe/1", "/safe/2", "/once/3")
	tp.awaitRequests(t, 2)
	time.Sleep(200 * time.Millisecond)
	test.Eq(t, 2, tp.targetScript.requests.Load())

	tp = newTestProxy(t, "wait")
	c := tp.pipeline(t, "/once/1", "/once/2", "/once/3")
	tp.awaitRequests(t, 1)
	time.Sleep(200 * time.Millisecond)
	test.Eq(t, 1, tp.targetScript.requests.Load())
	_ = c.Close()
	time.Sleep(time.Second) // until the deadline of all
	test.Eq(t, 1, tp.targetScript.requests.Load())

	// The wait counts against the deadline: the second is refused when it has passed.
	tp = newTestProxy(t, "wait")
	c = tp.pipeline(t, "/once/1", "/once/2")
	in := bufio.NewReader(c)
	for _, status := range []int{504, 503} {
		resp, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		test.Eq(t, status, resp.StatusCode)
	}
	test.Eq(t, 1, tp.targetScript.requests.Load())
}

// TestRefusedInStop guards against requests that are sent to a target although they may
// not end before the planned stop does, and against a stop without answers.
func TestRefusedInStop(t *testing.T) {
	tp := newTestProxy(t, "wait")
	running := make(chan int)
	go func() {
		status, _, _ := tp.send(t.Context(), t, "/once/", "key")
		running <- status
	}()
	tp.awaitRequests(t, 1)
	start := time.Now()
	tp.proxy.Drain(start.Add(500 * time.Millisecond))
	status, _, header := tp.send(t.Context(), t, "/once/", "key") // its timeout is 1 s
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.Eq(t, "not-run", header.Get("Rhubarbdrift-Run"))
	test.Eq(t, http.StatusGatewayTimeout, <-running)
	test.Between(t, 450*time.Millisecond, time.Since(start), 850*time.Millisecond)
	test.Eq(t, 1, tp.targetScript.requests.Load())
}

// TestTakenBeforeStop guards against requests that were taken before a planned stop, whose
// body or turn comes during it, and which are then sent although they may not end in time.
func TestTakenBeforeStop(t *testing.T) {
	tp := newTestProxy(t, "wait")
	c := tp.pipeline(t)
	const text = "POST /once/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: half\r\nKey: key\r\nContent-Length: 2\r\n\r\n"
	_, err := io.WriteString(c, text+"1")
	must.NoError(t, err)
	behind := tp.pipeline(t, "/once/1", "/once/2") // the first is answered when the stop ends
	tp.awaitRequests(t, 1)
	time.Sleep(100 * time.Millisecond) // the others are taken
	tp.proxy.Drain(time.Now().Add(300 * time.Millisecond))
	_, err = io.WriteString(c, "0")
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_ = resp.Body.Close()
	test.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	in := bufio.NewReader(behind)
	for _, status := range []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable} {
		resp, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		test.Eq(t, status, resp.StatusCode)
	}
	test.Eq(t, 1, tp.targetScript.requests.Load())
}

// panicking is an exchanger that panics.
type panicking struct{}

func (panicking) Do(context.Context, *model.Target, *fasthttp.Request, *fasthttp.Response) exch.Outcome {
	panic("test")
}

func (panicking) DoNonRepeatable(context.Context, *model.Target, *fasthttp.Request, *fasthttp.Response) exch.Outcome {
	panic("test")
}

// TestPanic guards against an unexpected error that ends the process, or after which a
// request that must not be repeated is said not to have run.
func TestPanic(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	exchange := tp.proxy.deps.Exchange
	tp.proxy.deps.Exchange = panicking{}
	status, _, header := tp.send(t.Context(), t, "/once/", "key")
	test.Eq(t, http.StatusBadGateway, status)
	test.Eq(t, "unknown", header.Get("Rhubarbdrift-Run"))
	test.Eq(t, 0, tp.atTargets.Load()) // or the target would look busy for good
	tp.proxy.deps.Exchange = exchange
	status, _, _ = tp.send(t.Context(), t, "/once/", "key")
	test.Eq(t, http.StatusOK, status)
}
