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

// TestLibraryRepeats shows why the package does not use the library's client:
// it sends a request up to five times when the target closes without a
// response, and only settings turn this off.
func TestLibraryRepeats(t *testing.T) {
	for method, want := range map[string]int32{"GET": 5, "HEAD": 5, "PUT": 5, "POST": 1} {
		s := &scripted{script: func(nc net.Conn, _ int) { _ = nc.Close() }}
		dial := func(string) (net.Conn, error) { return s.dial(t.Context(), "") }
		c := &fasthttp.HostClient{Addr: "a:1", Dial: dial}
		test.Error(t, c.Do(newRequest(method), new(fasthttp.Response)))
		test.Eq(t, want, s.requests.Load(), test.Sprint(method))

		s.requests.Store(0)
		c = &fasthttp.HostClient{Addr: "a:1", Dial: dial, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		test.Error(t, c.Do(newRequest(method), new(fasthttp.Response)))
		test.Eq(t, 1, s.requests.Load(), test.Sprint(method))
	}
}

// TestServerBreaks guards against a truncated response that reaches the
// caller as a complete one: the server must break the connection when the
// body reader fails after the status was sent.
func TestServerBreaks(t *testing.T) {
	for _, size := range []int{10, -1} {
		ln := fasthttputil.NewInmemoryListener()
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyStream(io.MultiReader(&io.LimitedReader{R: zeros{}, N: 4}, broken{}), size)
		}, Logger: quiet{}}
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

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("truncated") }

type quiet struct{}

func (quiet) Printf(string, ...any) {}
