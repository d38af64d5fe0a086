package gate

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/refuse"
)

// newBoundedGate returns a test gate that serves within limits, and its account.
func newBoundedGate(t *testing.T, total int64, connectionLimit int, target fasthttp.RequestHandler) (*testGate, *budget.Account) {
	t.Helper()
	tg := newTestGate(t, target)
	a := budget.New(budget.Limits{Total: total, Caller: total, Connection: total})
	tg.gate = New(tg.gate.deps, WithAccount(a, connectionLimit))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := tg.gate.Server()
	go func() { _ = server.Serve(tg.gate.Listener(ln)) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	tg.address = ln.Addr().String()
	return tg, a
}

// unfinished opens a connection, sends a part of a request and leaves it open.
func (tg *testGate) unfinished(t *testing.T, raw string) {
	t.Helper()
	conn, err := net.Dial("tcp", tg.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, raw) // fails if the gate refused it
}

// TestUnfinishedBodies guards against bodies that are held without a bound, a "not run"
// that is untrue, and bytes that stay counted.
func TestUnfinishedBodies(t *testing.T) {
	tg, a := newBoundedGate(t, 8<<20, 100, respondHello)
	const size = 1000 << 10
	large := strings.Repeat("a", size)
	for n := range 20 {
		framing := "Content-Length: 1024001\r\n"
		body := large
		if n%2 == 1 {
			framing, body = "Transfer-Encoding: chunked\r\n", "fa000\r\n"+large
		}
		tg.unfinished(t, request("POST", "/payouts", "Idempotency-Key: i\r\n"+framing)+body)
	}
	resp, _ := tg.send(t, request("POST", "/payouts", "Idempotency-Key: j\r\nContent-Length: 1024000\r\n")+large)
	must.NotNil(t, resp)
	test.Eq(t, 503, resp.StatusCode())
	test.Eq(t, "not-run", string(resp.Header.Peek(refuse.HeaderRun)))
	test.NotEq(t, "", string(resp.Header.Peek("Retry-After")))
	test.SliceEmpty(t, tg.received())
	resp, _ = tg.send(t, request("POST", "/payouts", "Idempotency-Key: k\r\nContent-Length: 5\r\n")+"small")
	must.NotNil(t, resp)
	test.Eq(t, 200, resp.StatusCode())
	test.LessEq(t, 8<<20, a.Status().Total)
	time.Sleep(2100 * time.Millisecond) // then those without progress can be cut off
	resp, _ = tg.send(t, request("POST", "/payouts", "Idempotency-Key: j\r\nContent-Length: 1024000\r\n")+large)
	must.NotNil(t, resp)
	test.Eq(t, 200, resp.StatusCode())
	test.Positive(t, a.Status().Evicted)
}

// TestBodyUnchanged guards against bodies that reach the target changed or in part.
func TestBodyUnchanged(t *testing.T) {
	bodies := make(chan []byte, 1)
	tg, a := newBoundedGate(t, 8<<20, 100, func(ctx *fasthttp.RequestCtx) {
		bodies <- bytes.Clone(ctx.PostBody())
		ctx.SetBodyString("hello")
	})
	text := strings.Repeat("0123456789", 105<<10)
	for _, size := range []int{0, 1, prefetched, prefetched + 1, 300_000, 1 << 20} {
		for _, raw := range []string{"Content-Length: " + fmt.Sprint(size) + "\r\n\r\n" + text[:size],
			"Transfer-Encoding: chunked\r\n\r\n" + chunk(text[:size]) + "0\r\n\r\n"} {
			resp, _ := tg.send(t, "PUT /payouts HTTP/1.1\r\nHost: yard\r\nX-Api-Key: "+testKey+"\r\nIdempotency-Key: "+raw[:3]+fmt.Sprint(size)+"\r\n"+raw)
			must.NotNil(t, resp)
			must.Eq(t, 200, resp.StatusCode())
			test.Eq(t, text[:size], string(<-bodies))
		}
	}
	for a.Status().Total > 0 { // until all connections have ended
		time.Sleep(time.Millisecond)
	}
}

// chunk returns the text as one chunk, or nothing if it is empty.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// TestConnectionLimit guards against callers that are kept out by idle connections and
// unfinished headers.
func TestConnectionLimit(t *testing.T) {
	tg, _ := newBoundedGate(t, 8<<20, 8, respondHello)
	for n := range 16 {
		tg.unfinished(t, request("GET", "/weights", "")[:n%2*20])
	}
	time.Sleep(headPatience + 100*time.Millisecond)
	for range 20 {
		resp, _ := tg.send(t, request("GET", "/weights", ""))
		must.NotNil(t, resp)
		test.Eq(t, 200, resp.StatusCode())
		test.LessEq(t, 9, tg.gate.Connections())
	}
}

// TestPausingTarget guards against a caller that is cut off, while memory is short, because
// the target pauses within its response.
func TestPausingTarget(t *testing.T) {
	resume := make(chan struct{})
	part := strings.Repeat("a", 2*socketTakes)
	tg, a := newBoundedGate(t, 8<<20, 100, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			_, _ = w.WriteString(part)
			_ = w.Flush()
			<-resume
			_, _ = w.WriteString(part)
		})
	})
	c, err := net.Dial("tcp", tg.address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, request("GET", "/weights", ""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(part)))
	must.NoError(t, err)
	time.Sleep(2100 * time.Millisecond) // the time without progress after which callers can be cut off
	test.Eq(t, 0, a.EvictSlow(time.Now(), 10))
	close(resume)
	rest, err := io.ReadAll(resp.Body)
	test.NoError(t, err)
	test.Eq(t, len(part), len(rest))
}

// TestUnreadResponse guards against a response that a caller does not read and that keeps
// its memory while memory is short.
func TestUnreadResponse(t *testing.T) {
	tg, a := newBoundedGate(t, 8<<20, 100, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(make([]byte, 32<<20))
	})
	tg.unfinished(t, request("GET", "/weights", ""))
	end := time.Now().Add(6 * time.Second)
	for a.EvictSlow(time.Now(), 10) == 0 {
		must.True(t, time.Now().Before(end))
		time.Sleep(50 * time.Millisecond)
	}
	for tg.gate.Connections() > 0 {
		must.True(t, time.Now().Before(end))
		time.Sleep(time.Millisecond)
	}
}
