package gate

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbdrift.example/refuse"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
)

const testKey = "depots-key"

// testGate is a Gate with one target server on loopback and fakes for the limiter,
// the claims and the queue.
type testGate struct {
	gate            *Gate
	holder          *conf.Holder
	address         string // of the Gate
	fresh           atomic.Bool
	target          string        // address
	routes          []model.Route // of further configurations, beside the usual ones
	claims          fakeClaims
	onAcquire       func()       // called while a request is queued
	permits         atomic.Int64 // granted by the queue and not returned
	mu              sync.Mutex
	receivedHeaders []string // of the requests that the target received
	results         chan ExchangeResult
}

// fakeClaims records claims in memory.
type fakeClaims struct {
	mu          sync.Mutex
	states      map[string]string
	unavailable bool // the platform is unavailable
}

func (f *fakeClaims) Begin(_ context.Context, _ model.CustomerID, key string, _ model.Digest) (Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, fault.New(fault.Kind(refuse.KindUnclaimed), "gone", "wait")
	}
	if state := f.states[key]; state != "" {
		return nil, fault.New(fault.Kind(state), state, "none")
	}
	f.states[key] = "open"
	return &fakeClaim{f, key}, nil
}

func (f *fakeClaims) state(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[key]
}

func (f *fakeClaims) setUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = true
}

type fakeClaim struct {
	claims *fakeClaims
	key    string
}

func (c *fakeClaim) set(state string) error {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.states[c.key] = state
	return nil
}

func (c *fakeClaim) Done(context.Context, int) error { return c.set("done") }
func (c *fakeClaim) Release(context.Context) error   { return c.set("") }
func (c *fakeClaim) Abandon(context.Context) error   { return nil }

type fakeToken struct{}

func (fakeToken) Commit() bool { return true }
func (fakeToken) Cancel()      {}

func (tg *testGate) observe(result ExchangeResult) {
	select {
	case tg.results <- result:
	default:
	}
}

func (tg *testGate) Admit(context.Context, *model.Customer) (Token, error) { return fakeToken{}, nil }

func (tg *testGate) Acquire(context.Context, model.PoolID, *model.Customer, time.Time) (func(), error) {
	if tg.onAcquire != nil {
		tg.onAcquire()
	}
	tg.permits.Add(1)
	return func() { tg.permits.Add(-1) }, nil
}

// received returns the headers of the requests that the target received.
func (tg *testGate) received() []string {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return slices.Clone(tg.receivedHeaders)
}

func serveOnLoopback(t testing.TB, s *fasthttp.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

func newTestGate(t testing.TB, target fasthttp.RequestHandler) *testGate {
	t.Helper()
	tg := &testGate{holder: conf.NewHolder(), results: make(chan ExchangeResult, 1)}
	tg.claims.states = make(map[string]string)
	tg.fresh.Store(true)
	address := serveOnLoopback(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		must.Positive(t, tg.permits.Load(), must.Sprint("sent without a pool permit"))
		tg.mu.Lock()
		tg.receivedHeaders = append(tg.receivedHeaders, ctx.Request.Header.String())
		tg.mu.Unlock()
		target(ctx)
	}})
	picker := pick.New(pick.Daemon{Host: "h1", Region: "north", Domain: "a"})
	tg.holder.Subscribe(func(s *conf.Snapshot) {
		intent := s.Intent()
		picker.Update([]*model.Pool{&intent.Pools[0]}, []pick.Daemon{{Host: "h1", Region: "north", Domain: "a"}})
	})
	tg.target = address
	tg.installConfig(t, 1, address, []model.Key{{ID: "k", Digest: model.DigestOf([]byte(testKey))}})
	exchange := exch.New()
	t.Cleanup(exchange.Close)
	tg.gate = New(Dependencies{
		Snapshot: tg.holder.Current, ConfigFresh: tg.fresh.Load, Limiter: tg, Claims: &tg.claims,
		Queues: tg, Picker: picker, Exchanger: exchange, Observe: tg.observe,
	})
	tg.address = serveOnLoopback(t, tg.gate.Server())
	t.Cleanup(func() { // each permit was returned once
		must.NoError(t, tg.gate.Wait(context.Background()))
		must.Zero(t, tg.permits.Load())
	})
	return tg
}

// installConfig installs a configuration with a repeatable and a non-repeatable
// route.
func (tg *testGate) installConfig(t testing.TB, version model.ConfigVersion, address string, keys []model.Key) {
	t.Helper()
	intent := &model.Intent{
		Customers: []model.Customer{{ID: "depots", Rate: 1e6, Burst: 1e6, Keys: keys}, {ID: "others", Rate: 1, Burst: 1}},
		Pools: []model.Pool{{ID: "ledger", Targets: []model.Target{
			{ID: "l1", Address: address, Region: "north", Domain: "a", Slots: 64},
			{ID: "l2", Address: address, Region: "north", Domain: "a", Slots: 64},
		}}},
		Routes: []model.Route{
			{ID: "weights", Prefix: "/weights", Pool: "ledger", Deadline: 5000, MaxBodyBytes: 1 << 10},
			{ID: "payouts", Prefix: "/payouts", Pool: "ledger", Deadline: 5000, Repeat: model.RepeatNever},
		},
	}
	intent.Routes = append(intent.Routes, tg.routes...)
	root, chunks, err := conf.Build(intent, version, model.DigestOf([]byte("audit")), "change")
	must.NoError(t, err)
	s, err := conf.Assemble(root, func(d model.Digest) ([]byte, error) { return chunks[d], nil })
	must.NoError(t, err)
	must.True(t, tg.holder.Install(s))
}

// send writes a raw request and returns the answer, or nil if it was incomplete,
// and whether the connection was closed.
func (tg *testGate) send(t *testing.T, raw string) (*fasthttp.Response, bool) {
	t.Helper()
	conn, err := net.Dial("tcp", tg.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, raw)
	must.NoError(t, err)
	resp := new(fasthttp.Response)
	b := bufio.NewReader(conn)
	if err := resp.Read(b); err != nil {
		return nil, true
	}
	if !resp.ConnectionClose() {
		return resp, false
	}
	// The server may reset the connection if it did not read the whole request.
	_, err = b.ReadByte()
	return resp, err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func request(method, path, extra string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: yard\r\nX-Api-Key: " + testKey + "\r\n" + extra + "\r\n"
}

func respondHello(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }

// TestShapes guards against request smuggling: ambiguous requests whose end two
// parsers place differently.
func TestShapes(t *testing.T) {
	tg := newTestGate(t, respondHello)
	shapes := map[string]string{
		"two lengths":         request("POST", "/weights", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab",
		"same length twice":   request("POST", "/weights", "Content-Length: 1\r\nContent-Length: 1\r\n") + "a",
		"length and chunked":  request("POST", "/weights", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		"unknown encoding":    request("POST", "/weights", "Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n",
		"folded header":       request("GET", "/weights", "X-A: b\r\n c\r\n"),
		"large header":        request("GET", "/weights", "X-A: "+strings.Repeat("a", maxHeaderBytes)+"\r\n"),
		"large body of route": request("POST", "/weights", "Idempotency-Key: i\r\nContent-Length: 2000\r\n") + strings.Repeat("a", 2000),
	}
	for name, raw := range shapes {
		t.Run(name, func(t *testing.T) {
			resp, closed := tg.send(t, raw)
			must.NotNil(t, resp)
			must.Between(t, 400, resp.StatusCode(), 499)
			must.True(t, closed, must.Sprint("connection stays open"))
		})
	}
	must.SliceEmpty(t, tg.received(), must.Sprint("a malformed request reached the target"))
}

// TestKeyNeverReachesTarget guards against keys, hop-by-hop headers and a forged
// customer header that reach a target.
func TestKeyNeverReachesTarget(t *testing.T) {
	tg := newTestGate(t, respondHello)
	resp, _ := tg.send(t, request("GET", "/weights", "Connection: X-Private\r\nX-Private: 1\r\nTe: trailers\r\nRhubarbdrift-Customer: another\r\n"))
	must.EqOp(t, 200, resp.StatusCode())
	must.EqOp(t, "hello", string(resp.Body()))
	must.SliceLen(t, 1, tg.received())
	for _, secret := range []string{testKey, "X-Api-Key", "X-Private", "trailers", "another"} {
		must.StrNotContains(t, tg.received()[0], secret)
	}
	must.StrContains(t, tg.received()[0], "Rhubarbdrift-Customer: depots")
}

// TestKeyWithdrawnWhileQueued guards against running a request whose key was
// withdrawn after the request was admitted.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	tg := newTestGate(t, respondHello)
	tg.onAcquire = func() { tg.installConfig(t, 2, "127.0.0.1:1", nil) }
	resp, _ := tg.send(t, request("GET", "/weights", ""))
	must.EqOp(t, 401, resp.StatusCode())
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceEmpty(t, tg.received())
}

// TestStale guards against accepting keys on a daemon whose configuration may be old.
func TestStale(t *testing.T) {
	tg := newTestGate(t, respondHello)
	tg.fresh.Store(false)
	resp, _ := tg.send(t, request("GET", "/weights", ""))
	must.EqOp(t, 503, resp.StatusCode())
	must.EqOp(t, "stale", string(resp.Header.Peek(refuse.HeaderKind)))
	must.SliceEmpty(t, tg.received())
}

// TestOpenRoute guards against a request that runs without the customer of its key, or
// without a key, although its route is no longer open: while the configuration may be old,
// and after it changed while the request was queued.
func TestOpenRoute(t *testing.T) {
	open := []model.Route{{ID: "look", Prefix: "/look", Pool: "ledger", Deadline: 5000, Open: true}}
	closed := []model.Route{{ID: "look", Prefix: "/look", Pool: "ledger", Deadline: 5000}}
	key := []model.Key{{ID: "k", Digest: model.DigestOf([]byte(testKey))}}
	withKey, without := request("GET", "/look", ""), "GET /look HTTP/1.1\r\nHost: yard\r\n\r\n"
	for name, c := range map[string]struct {
		raw          string
		stale        bool // from the arrival on
		goesStale    bool // while the request is queued
		after        []model.Route
		status, runs int
	}{
		"key":                       {raw: withKey, after: open, status: 200, runs: 1},
		"no key":                    {raw: without, after: open, status: 200, runs: 1},
		"key, old configuration":    {raw: withKey, stale: true, after: open, status: 503},
		"no key, old configuration": {raw: without, stale: true, after: open, status: 200, runs: 1},
		"key, while queued":         {raw: withKey, goesStale: true, after: open, status: 503},
		"key, closed":               {raw: withKey, after: closed, status: 503},
		"no key, closed":            {raw: without, after: closed, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGate(t, respondHello)
			tg.routes = open
			tg.installConfig(t, 2, tg.target, key)
			tg.fresh.Store(!c.stale)
			tg.onAcquire = func() {
				tg.routes = c.after
				tg.installConfig(t, 3, tg.target, key)
				tg.fresh.Store(!c.stale && !c.goesStale)
			}
			resp, _ := tg.send(t, c.raw)
			must.EqOp(t, c.status, resp.StatusCode())
			must.SliceLen(t, c.runs, tg.received())
			if c.runs == 0 {
				must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
				must.EqOp(t, "stale", string(resp.Header.Peek(refuse.HeaderKind)))
			}
		})
	}
}

// TestRightsWithdrawnWhileQueued guards against running a request whose customer lost the
// right to its route after the request was admitted.
func TestRightsWithdrawnWhileQueued(t *testing.T) {
	tg := newTestGate(t, respondHello)
	key := []model.Key{{ID: "k", Digest: model.DigestOf([]byte(testKey))}}
	route := model.Route{ID: "look", Prefix: "/look", Pool: "ledger", Deadline: 5000, Customers: []model.CustomerID{"depots"}}
	tg.routes = []model.Route{route}
	tg.installConfig(t, 2, tg.target, key)
	tg.onAcquire = func() {
		route.Customers = []model.CustomerID{"others"}
		tg.routes = []model.Route{route}
		tg.installConfig(t, 3, tg.target, key)
	}
	resp, _ := tg.send(t, request("GET", "/look", ""))
	must.EqOp(t, 401, resp.StatusCode())
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceEmpty(t, tg.received())
}

// TestRunAtMostOnce guards against a second execution of a request that may not be
// repeated, and against "not-run" for a request whose outcome is unknown.
func TestRunAtMostOnce(t *testing.T) {
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		// The target runs the request and closes the connection without an answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	})
	pay := request("POST", "/payouts", "Idempotency-Key: p1\r\nContent-Length: 0\r\n")
	resp, _ := tg.send(t, pay)
	must.EqOp(t, "unknown", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceLen(t, 1, tg.received())
	resp, _ = tg.send(t, pay)
	must.EqOp(t, 409, resp.StatusCode())
	must.EqOp(t, "open", string(resp.Header.Peek(refuse.HeaderKind)))
	must.SliceLen(t, 1, tg.received())
	resp, _ = tg.send(t, request("POST", "/payouts", "Content-Length: 0\r\n"))
	must.EqOp(t, 400, resp.StatusCode(), must.Sprint("no idempotency key"))
	tg.claims.setUnavailable()
	resp, _ = tg.send(t, request("POST", "/payouts", "Idempotency-Key: p2\r\nContent-Length: 0\r\n"))
	must.EqOp(t, "unclaimed", string(resp.Header.Peek(refuse.HeaderKind)))
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceLen(t, 1, tg.received())
}

// TestShedIsNotRun guards against a claim that stays open, and so blocks the
// caller's retry, although the target shed the request without running it.
func TestShedIsNotRun(t *testing.T) {
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(503)
		ctx.Response.Header.Set(exch.HeaderShed, "1")
	})
	resp, _ := tg.send(t, request("POST", "/payouts", "Idempotency-Key: p1\r\nContent-Length: 0\r\n"))
	must.EqOp(t, "busy", string(resp.Header.Peek(refuse.HeaderKind)))
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.EqOp(t, "", tg.claims.state("p1"))
}

// TestRetryBudget guards against retries that add load to a failing pool.
func TestRetryBudget(t *testing.T) {
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) })
	const requests = 300
	for range requests {
		resp, _ := tg.send(t, request("GET", "/weights", ""))
		must.EqOp(t, 500, resp.StatusCode())
	}
	must.Less(t, requests*12/10, len(tg.received()))
}

// TestTruncatedAnswer guards against a truncated answer that looks complete to the
// caller.
func TestTruncatedAnswer(t *testing.T) {
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("a", 50000))
		})
	})
	resp, broken := tg.send(t, request("GET", "/weights", ""))
	must.True(t, resp == nil && broken, must.Sprint("the truncated answer looked complete to the caller"))
}

// TestStallIsEvidence guards against a stalled target that is noticed only at the
// deadlines of its requests.
func TestStallIsEvidence(t *testing.T) {
	finish := make(chan struct{})
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		<-finish
		respondHello(ctx)
	})
	answers := make(chan *fasthttp.Response, 1)
	go func() {
		resp, _ := tg.send(t, request("GET", "/weights", ""))
		answers <- resp
	}()
	result := <-tg.results // arrives before the answer, which waits for finish
	must.EqOp(t, exch.NoResponse, result.Outcome.Class)
	close(finish)
	must.EqOp(t, 200, (<-answers).StatusCode())
}

// TestPanic guards against a request that ends the process.
func TestPanic(t *testing.T) {
	tg := newTestGate(t, respondHello)
	snapshot := tg.gate.deps.Snapshot
	tg.gate.deps.Snapshot = func() *conf.Snapshot { panic("test") }
	resp, _ := tg.send(t, request("GET", "/weights", ""))
	must.EqOp(t, fasthttp.StatusBadGateway, resp.StatusCode())
	must.EqOp(t, "unknown", string(resp.Header.Peek("Rhubarbdrift-Run")))
	tg.gate.deps.Snapshot = snapshot
	resp, _ = tg.send(t, request("GET", "/weights", ""))
	must.EqOp(t, "hello", string(resp.Body()))
}

// TestDrain guards against a planned stop that aborts a running request.
func TestDrain(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	tg := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		close(started)
		<-finish
		respondHello(ctx)
	})
	answers := make(chan *fasthttp.Response, 1)
	go func() {
		resp, _ := tg.send(t, request("GET", "/weights", ""))
		answers <- resp
	}()
	<-started
	tg.gate.Drain()
	waitResult := make(chan error, 1)
	go func() { waitResult <- tg.gate.Wait(context.Background()) }()
	close(finish)
	resp := <-answers
	must.EqOp(t, "hello", string(resp.Body()))
	must.True(t, resp.ConnectionClose())
	must.NoError(t, <-waitResult)
}
