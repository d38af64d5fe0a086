package gate

import (
	"context"
	"net"
	"testing"

	"rhubarbdrift.example/refuse"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
)

// instantExchanger answers each request at once, without a network.
type instantExchanger struct{}

func (instantExchanger) Stream(_ context.Context, _ *model.Target, _ *fasthttp.Request, _ *fasthttp.Response, done func(exch.Outcome)) exch.Outcome {
	out := exch.Outcome{Class: exch.Complete, Status: fasthttp.StatusOK}
	done(out)
	return out
}

// BenchmarkHandle measures the handling of a request on a keyed route without the
// exchange.
func BenchmarkHandle(b *testing.B) {
	tg := newTestGate(b, func(*fasthttp.RequestCtx) {})
	tg.gate.deps.Exchanger = instantExchanger{}
	var req fasthttp.Request
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, nil)
	b.ReportAllocs()
	for b.Loop() {
		ctx.Request.Header.SetHost("a")
		ctx.Request.SetRequestURI("/weights/1")
		ctx.Request.Header.Set(refuse.HeaderKey, testKey)
		tg.gate.handle(&ctx)
		if ctx.Response.StatusCode() != fasthttp.StatusOK {
			b.Fatal(ctx.Response.String())
		}
	}
}
