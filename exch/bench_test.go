package exch

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/model"
)

// BenchmarkDo compares one exchange over loopback TCP between this package and
// fasthttp.HostClient.
func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("proof") }}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Shutdown() }()
	address := ln.Addr().String()
	c := New()
	defer c.Close()
	library := &fasthttp.HostClient{Addr: address}
	for name, do := range map[string]func(*fasthttp.Request, *fasthttp.Response) bool{
		"exch": func(req *fasthttp.Request, resp *fasthttp.Response) bool {
			out := c.Do(b.Context(), &model.Target{Address: address}, req, resp)
			return out.Class == Complete
		},
		"library": func(req *fasthttp.Request, resp *fasthttp.Response) bool {
			return library.DoTimeout(req, resp, time.Minute) == nil
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			req, resp := newRequest("GET"), new(fasthttp.Response)
			for b.Loop() {
				must.True(b, do(req, resp))
			}
		})
	}
}
