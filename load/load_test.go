package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/origin"
)

// runAgainst runs a plan against a server with the handler. It must be called in
// a synctest bubble, so that the run takes virtual time.
func runAgainst(ctx context.Context, t *testing.T, p Plan, handler fasthttp.RequestHandler) Report {
	ln := fasthttputil.NewInmemoryListener()
	// fasthttp's goroutine that updates the date header never ends, which would
	// keep the synctest bubble from ending.
	s := &fasthttp.Server{Handler: handler, NoDefaultDate: true}
	done := make(chan error)
	go func() { done <- s.Serve(ln) }()
	client := exch.New(exch.WithMaxConnections(1000), exch.WithDial(func(context.Context, string) (net.Conn, error) { return ln.Dial() }))
	p.Entries = []string{"127.0.0.1:1", "127.0.0.1:2"}
	out, err := run(ctx, p, client)
	must.NoError(t, err)
	client.Close()
	must.NoError(t, s.Shutdown())
	must.NoError(t, <-done)
	time.Sleep(time.Minute) // lets the server's worker pool end
	return out
}

// respond sends the correct response.
func respond(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(origin.HeaderRequest))
	ctx.Response.Header.Set(origin.HeaderRequest, id)
	body := make([]byte, ctx.QueryArgs().GetUintOrZero("size"))
	_, _ = io.ReadFull(origin.Content(id), body)
	ctx.SetBody(body)
}

// TestOpenLoop guards against coordinated omission: a stall of one second must
// show in the latency of every request that was planned during it.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		out := runAgainst(t.Context(), t, Plan{Duration: 5000, Customers: []Customer{{ID: "north", Rate: 100, ResponseSize: 100}}},
			func(ctx *fasthttp.RequestCtx) {
				if now := time.Since(start); now >= 2*time.Second && now < 3*time.Second {
					time.Sleep(3*time.Second - now)
				}
				respond(ctx)
			})
		c := out.Customers[0]
		test.Eq(t, 500, c.Sent)
		test.Eq(t, 500, c.Whole)
		test.InDelta(t, 0, c.P50, 0.01)
		test.InDelta(t, 950, c.P99, 1)
		test.InDelta(t, 1000, c.Max, 1)
	})
}

// TestClasses guards against a wrong or incomplete response that is counted as
// whole, and against a refusal that is counted in another class.
func TestClasses(t *testing.T) {
	classes := map[string]Class{"/whole": Whole, "/crossed": Wrong, "/garbled": Wrong, "/short": Wrong, "/failed": Failed,
		"/limit": Refused, "/maybe": Unknown, "/close": Unknown, "/cut": Broken}
	synctest.Test(t, func(t *testing.T) {
		p := Plan{Duration: 1000, Count: 3, Customers: []Customer{}}
		for path := range classes {
			p.Customers = append(p.Customers, Customer{ID: "c", Rate: 10, Path: path, ResponseSize: 20_000, Method: "post", RequestSize: 10})
		}
		var mu sync.Mutex
		seen := make(map[string]int)
		p.Observe = func(a Answer) {
			mu.Lock()
			defer mu.Unlock()
			seen[a.Key]++
		}
		out := runAgainst(t.Context(), t, p, respondFaulty)
		for i, c := range out.Customers {
			want := classes[p.Customers[i].Path]
			got := map[Class]int{Whole: c.Whole, Refused: c.Refused, Unknown: c.Unknown, Broken: c.Broken, Wrong: c.Wrong, Failed: c.Failed}
			test.Eq(t, 3, got[want], test.Sprint(p.Customers[i].Path, c))
			test.Eq(t, 3, c.Sent)
		}
		test.MapLen(t, 3*len(classes), seen)
		var text bytes.Buffer
		must.NoError(t, out.Table(&text))
		test.StrContains(t, text.String(), "refused/limit=3")
		test.StrContains(t, text.String(), "unknown/closed=3")
	})
}

// respondFaulty responds with the fault that the path names.
func respondFaulty(ctx *fasthttp.RequestCtx) {
	respond(ctx)
	h := &ctx.Response.Header
	switch string(ctx.Path()) {
	case "/crossed":
		h.Set(origin.HeaderRequest, "another")
	case "/garbled":
		ctx.Response.Body()[19_999]++
	case "/short":
		ctx.SetBody(ctx.Response.Body()[:19_999])
	case "/failed":
		ctx.SetStatusCode(500)
	case "/limit", "/maybe":
		h.Set(HeaderKind, string(ctx.Path()[1:]))
		h.Set(HeaderRun, map[string]string{"/limit": "not-run", "/maybe": "unknown"}[string(ctx.Path())])
		ctx.SetStatusCode(429)
	case "/close", "/cut":
		text := "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\nabc"
		if string(ctx.Path()) == "/close" {
			text = ""
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(nc net.Conn) { _, _ = io.WriteString(nc, text) })
	}
}

// TestBounds guards against load on other machines, against invalid or unlimited
// plans, and against a run that goes on after its context ended.
func TestBounds(t *testing.T) {
	valid := Plan{Entries: []string{"127.0.0.9:80"}, Duration: 1, Customers: []Customer{{ID: "a", Rate: 1}}}
	must.NoError(t, valid.Check())
	for _, entry := range []string{"10.0.0.1:80", "localhost:80", "[::1]:80", "127.0.0.1", "[::ffff:10.0.0.1]:80"} {
		p := valid
		p.Entries = []string{"127.0.0.1:80", entry}
		_, err := Run(t.Context(), p)
		test.ErrorContains(t, err, "127.0.0.0/8")
	}
	for _, mutate := range []func(*Plan){
		func(p *Plan) { p.Duration = 0 },
		func(p *Plan) { p.Duration = MaxDuration + 1 },
		func(p *Plan) { p.Customers = []Customer{{ID: "a", Rate: 1e12}} },
		func(p *Plan) { p.Customers = []Customer{{ID: "a", Rate: 1, Path: "x"}} },
	} {
		p := valid
		mutate(&p)
		test.ErrorContains(t, p.Check(), "remedy")
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 950*time.Millisecond)
		defer cancel()
		out := runAgainst(ctx, t, Plan{Duration: 60_000, Customers: []Customer{{ID: "a", Rate: 10}}}, respond)
		test.True(t, out.EndedEarly)
		test.Eq(t, 10, out.Customers[0].Sent)
	})
}
