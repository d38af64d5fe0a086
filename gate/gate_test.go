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
	claims          fakeClaims
	onEnter         func()       // called while a request is queued
	permits         atomic.Int64 // granted by the queue and not returned
	mu              sync.Mutex
	receivedHeaders []string // of the requests that the target received
	samples         chan ExchangeResult
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

func (r *testGate) observe(s ExchangeResult) {
	select {
	case r.samples <- s:
	default:
	}
}

func (r *testGate) Admit(context.Context, *model.Customer) (Token, error) { return fakeToken{}, nil }

func (r *testGate) Acquire(context.Context, model.PoolID, *model.Customer, time.Time) (func(), error) {
	if r.onEnter != nil {
		r.onEnter()
	}
	r.permits.Add(1)
	return func() { r.permits.Add(-1) }, nil
}

// received returns the headers of the requests that the target received.
func (r *testGate) received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.receivedHeaders)
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
	r := &testGate{holder: conf.NewHolder(), samples: make(chan ExchangeResult, 1)}
	r.claims.states = make(map[string]string)
	r.fresh.Store(true)
	address := serveOnLoopback(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		must.Positive(t, r.permits.Load(), must.Sprint("sent without a pool permit"))
		r.mu.Lock()
		r.receivedHeaders = append(r.receivedHeaders, ctx.Request.Header.String())
		r.mu.Unlock()
		target(ctx)
	}})
	picker := pick.New(pick.Daemon{Host: "h1", Region: "north", Domain: "a"})
	r.holder.Subscribe(func(s *conf.Snapshot) {
		in := s.Intent()
		picker.Update([]*model.Pool{&in.Pools[0]}, []pick.Daemon{{Host: "h1", Region: "north", Domain: "a"}})
	})
	r.installConfig(t, 1, address, []model.Key{{ID: "k", Digest: model.DigestOf([]byte(testKey))}})
	exchange := exch.New()
	t.Cleanup(exchange.Close)
	r.gate = New(Dependencies{
		Snapshot: r.holder.Current, ConfigFresh: r.fresh.Load, Limiter: r, Claims: &r.claims,
		Queues: r, Picker: picker, Exchanger: exchange, Observe: r.observe,
	})
	r.address = serveOnLoopback(t, r.gate.Server())
	t.Cleanup(func() { // each permit was returned once
		must.NoError(t, r.gate.Wait(context.Background()))
		must.Zero(t, r.permits.Load())
	})
	return r
}

// installConfig installs a configuration with a repeatable and a non-repeatable
// route.
func (r *testGate) installConfig(t testing.TB, version model.ConfigVersion, address string, keys []model.Key) {
	t.Helper()
	in := &model.Intent{
		Customers: []model.Customer{{ID: "depots", Rate: 1e6, Burst: 1e6, Keys: keys}},
		Pools: []model.Pool{{ID: "ledger", Targets: []model.Target{
			{ID: "l1", Address: address, Region: "north", Domain: "a", Slots: 64},
			{ID: "l2", Address: address, Region: "north", Domain: "a", Slots: 64},
		}}},
		Routes: []model.Route{
			{ID: "weights", Prefix: "/weights", Pool: "ledger", Deadline: 5000, MaxBodyBytes: 1 << 10},
			{ID: "payouts", Prefix: "/payouts", Pool: "ledger", Deadline: 5000, Repeat: model.RepeatNever},
		},
	}
	root, chunks, err := conf.Build(in, version, model.DigestOf([]byte("audit")), "change")
	must.NoError(t, err)
	s, err := conf.Assemble(root, func(d model.Digest) ([]byte, error) { return chunks[d], nil })
	must.NoError(t, err)
	must.True(t, r.holder.Install(s))
}

// send writes a raw request and returns the answer, or nil if it was incomplete,
// and whether the connection was closed.
func (r *testGate) send(t *testing.T, raw string) (*fasthttp.Response, bool) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
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
	r := newTestGate(t, respondHello)
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
			resp, closed := r.send(t, raw)
			must.NotNil(t, resp)
			must.Between(t, 400, resp.StatusCode(), 499)
			must.True(t, closed, must.Sprint("connection stays open"))
		})
	}
	must.SliceEmpty(t, r.received(), must.Sprint("a malformed request reached the target"))
}

// TestKeyNeverReachesTarget guards against keys, hop-by-hop headers and a forged
// customer header that reach a target.
func TestKeyNeverReachesTarget(t *testing.T) {
	r := newTestGate(t, respondHello)
	resp, _ := r.send(t, request("GET", "/weights", "Connection: X-Private\r\nX-Private: 1\r\nTe: trailers\r\nRhubarbdrift-Customer: another\r\n"))
	must.EqOp(t, 200, resp.StatusCode())
	must.EqOp(t, "hello", string(resp.Body()))
	must.SliceLen(t, 1, r.received())
	for _, secret := range []string{testKey, "X-Api-Key", "X-Private", "trailers", "another"} {
		must.StrNotContains(t, r.received()[0], secret)
	}
	must.StrContains(t, r.received()[0], "Rhubarbdrift-Customer: depots")
}

// TestKeyWithdrawnWhileQueued guards against running a request whose key was
// withdrawn after the request was admitted.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	r := newTestGate(t, respondHello)
	r.onEnter = func() { r.installConfig(t, 2, "127.0.0.1:1", nil) }
	resp, _ := r.send(t, request("GET", "/weights", ""))
	must.EqOp(t, 401, resp.StatusCode())
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceEmpty(t, r.received())
}

// TestStale guards against accepting keys on a daemon whose configuration may be old.
func TestStale(t *testing.T) {
	r := newTestGate(t, respondHello)
	r.fresh.Store(false)
	resp, _ := r.send(t, request("GET", "/weights", ""))
	must.EqOp(t, 503, resp.StatusCode())
	must.EqOp(t, "stale", string(resp.Header.Peek(refuse.HeaderKind)))
	must.SliceEmpty(t, r.received())
}

// TestRunAtMostOnce guards against a second execution of a request that may not be
// repeated, and against "not-run" for a request whose outcome is unknown.
func TestRunAtMostOnce(t *testing.T) {
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		// The target runs the request and closes the connection without an answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	})
	pay := request("POST", "/payouts", "Idempotency-Key: p1\r\nContent-Length: 0\r\n")
	resp, _ := r.send(t, pay)
	must.EqOp(t, "unknown", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceLen(t, 1, r.received())
	resp, _ = r.send(t, pay)
	must.EqOp(t, 409, resp.StatusCode())
	must.EqOp(t, "open", string(resp.Header.Peek(refuse.HeaderKind)))
	must.SliceLen(t, 1, r.received())
	resp, _ = r.send(t, request("POST", "/payouts", "Content-Length: 0\r\n"))
	must.EqOp(t, 400, resp.StatusCode(), must.Sprint("no idempotency key"))
	r.claims.setUnavailable()
	resp, _ = r.send(t, request("POST", "/payouts", "Idempotency-Key: p2\r\nContent-Length: 0\r\n"))
	must.EqOp(t, "unclaimed", string(resp.Header.Peek(refuse.HeaderKind)))
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.SliceLen(t, 1, r.received())
}

// TestShedIsNotRun guards against a claim that stays open, and so blocks the
// caller's retry, although the target shed the request without running it.
func TestShedIsNotRun(t *testing.T) {
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(503)
		ctx.Response.Header.Set(exch.HeaderShed, "1")
	})
	resp, _ := r.send(t, request("POST", "/payouts", "Idempotency-Key: p1\r\nContent-Length: 0\r\n"))
	must.EqOp(t, "busy", string(resp.Header.Peek(refuse.HeaderKind)))
	must.EqOp(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	must.EqOp(t, "", r.claims.state("p1"))
}

// TestRetryBudget guards against retries that add load to a failing pool.
func TestRetryBudget(t *testing.T) {
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) })
	const requests = 300
	for range requests {
		resp, _ := r.send(t, request("GET", "/weights", ""))
		must.EqOp(t, 500, resp.StatusCode())
	}
	must.Less(t, requests*12/10, len(r.received()))
}

// TestTruncatedAnswer guards against a truncated answer that looks complete to the
// caller.
func TestTruncatedAnswer(t *testing.T) {
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("a", 50000))
		})
	})
	resp, broken := r.send(t, request("GET", "/weights", ""))
	must.True(t, resp == nil && broken, must.Sprint("the truncated answer looked complete to the caller"))
}

// TestStallIsEvidence guards against a stalled target that is noticed only at the
// deadlines of its requests.
func TestStallIsEvidence(t *testing.T) {
	finish := make(chan struct{})
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		<-finish
		respondHello(ctx)
	})
	answers := make(chan *fasthttp.Response, 1)
	go func() {
		resp, _ := r.send(t, request("GET", "/weights", ""))
		answers <- resp
	}()
	s := <-r.samples // arrives before the answer, which waits for finish
	must.EqOp(t, exch.NoResponse, s.Outcome.Class)
	close(finish)
	must.EqOp(t, 200, (<-answers).StatusCode())
}

// TestDrain guards against a planned stop that aborts a running request.
func TestDrain(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	r := newTestGate(t, func(ctx *fasthttp.RequestCtx) {
		close(started)
		<-finish
		respondHello(ctx)
	})
	answers := make(chan *fasthttp.Response, 1)
	go func() {
		resp, _ := r.send(t, request("GET", "/weights", ""))
		answers <- resp
	}()
	<-started
	r.gate.Drain()
	waitResult := make(chan error, 1)
	go func() { waitResult <- r.gate.Wait(context.Background()) }()
	close(finish)
	resp := <-answers
	must.EqOp(t, "hello", string(resp.Body()))
	must.True(t, resp.ConnectionClose())
	must.NoError(t, <-waitResult)
}
