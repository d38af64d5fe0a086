package exch

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestLibraryRepeats documents why the package does not use
// fasthttp.HostClient: it sends a request up to five times when the target closes
// the connection without a response, unless settings turn this off.
func TestLibraryRepeats(t *testing.T) {
	for method, wantAttempts := range map[string]int32{"GET": 5, "HEAD": 5, "PUT": 5, "POST": 1} {
		s := &scriptedTarget{script: func(nc net.Conn, _ int) { _ = nc.Close() }}
		dial := func(string) (net.Conn, error) { return s.dial(t.Context(), "") }
		c := &fasthttp.HostClient{Addr: "a:1", Dial: dial}
		test.Error(t, c.Do(newRequest(method), new(fasthttp.Response)))
		test.Eq(t, wantAttempts, s.requests.Load(), test.Sprint(method))

		s.requests.Store(0)
		c = &fasthttp.HostClient{Addr: "a:1", Dial: dial, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		test.Error(t, c.Do(newRequest(method), new(fasthttp.Response)))
		test.Eq(t, 1, s.requests.Load(), test.Sprint(method))
	}
}

// TestServerBreaks guards against a truncated response that reaches the caller
// as a complete one: the server must close the connection when the body reader
// fails after the status was sent.
func TestServerBreaks(t *testing.T) {
	for _, size := range []int{10, -1} {
		ln := fasthttputil.NewInmemoryListener()
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyStream(io.MultiReader(&io.LimitedReader{R: zeroReader{}, N: 4}, failingReader{}), size)
		}, Logger: discardLogger{}}
		done := make(chan error)
		go func() { done <- s.Serve(ln) }()
		nc, err := ln.Dial()
		must.NoError(t, err)
		send(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		var resp fasthttp.Response
		test.Error(t, resp.Read(bufio.NewReader(nc)))
		_ = ln.Close()
		test.NoError(t, <-done)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("truncated") }

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
