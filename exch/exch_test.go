package exch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/model"
)

var target = &model.Target{ID: "t", Address: "127.0.0.1:1"}

// scripted is a target that reads one request and then runs the script.
type scripted struct {
	dials, requests atomic.Int32
	script          func(nc net.Conn, request int)
}

func (s *scripted) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.dials.Add(1)
	go s.serve(far)
	return near, nil
}

func (s *scripted) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	var req fasthttp.Request
	r := bufio.NewReader(nc)
	for req.Read(r) == nil {
		s.script(nc, int(s.requests.Add(1)))
	}
}

func send(nc net.Conn, text string) { _, _ = io.WriteString(nc, text) }

func newRequest(method string) *fasthttp.Request {
	req := new(fasthttp.Request)
	req.Header.SetMethod(method)
	req.SetRequestURI("/lookup")
	req.Header.SetHost("yard.example")
	return req
}

// TestClasses guards against an outcome that claims more than is known, e.g.
// "not run" after the request was written, or "whole" for a truncated body.
func TestClasses(t *testing.T) {
	hang := func(nc net.Conn) { _, _ = nc.Read(make([]byte, 1)) }
	rows := []struct {
		name, method, answer string
		hang                 bool
		head, end            Class
		check                func(Outcome) bool
	}{
		{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof", head: Whole, end: Whole},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n0\r\n\r\n", head: Whole, end: Whole},
		{name: "interim", answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof", head: Whole, end: Whole},
		{name: "head", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", head: Whole, end: Whole},
		{name: "no length", answer: "HTTP/1.1 200 OK\r\n\r\nproof", head: Whole, end: Whole, check: func(o Outcome) bool { return o.Unframed }},
		{name: "no length, large", answer: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 200), head: Broken, end: Broken},
		{name: "drain", answer: "HTTP/1.1 200 OK\r\nRhubarbdrift-Drain: 1\r\nContent-Length: 0\r\n\r\n", head: Whole, end: Whole, check: func(o Outcome) bool { return o.Draining }},
		{name: "shed", answer: "HTTP/1.1 503 Busy\r\nRhubarbdrift-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy", head: Shed, end: Shed, check: func(o Outcome) bool { return o.NotRun() && !o.Draining }},
		{name: "shed and close", answer: "HTTP/1.1 503 Busy\r\nRhubarbdrift-Shed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", head: Shed, end: Shed, check: func(o Outcome) bool { return o.Draining }},
		{name: "503 without marker", answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", head: Whole, end: Whole, check: func(o Outcome) bool { return !o.NotRun() }},
		{name: "truncated length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npro", head: Whole, end: Broken},
		{name: "truncated chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n", head: Whole, end: Broken},
		{name: "stalled body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npro", hang: true, head: Whole, end: Broken, check: func(o Outcome) bool { return o.Stalled }},
		{name: "closed GET", method: "GET", head: Unknown, end: Unknown},
		{name: "closed PUT", method: "PUT", head: Unknown, end: Unknown},
		{name: "closed HEAD", method: "HEAD", head: Unknown, end: Unknown},
		{name: "silent", hang: true, head: Silent, end: Silent},
		{name: "half a header", answer: "HTTP/1.1 200 OK\r\nContent-Le", hang: true, head: Broken, end: Broken},
		{name: "no HTTP", answer: "SSH-2.0-x\r\n\r\n", head: Broken, end: Broken},
		{name: "switch", answer: "HTTP/1.1 101 Switching\r\n\r\n", head: Broken, end: Broken},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{script: func(nc net.Conn, _ int) {
					send(nc, r.answer)
					if r.hang {
						hang(nc)
					}
					_ = nc.Close()
				}}
				c := New(WithDial(s.dial), WithBuffer(100))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				var ends []Outcome
				var resp fasthttp.Response
				out := c.Stream(ctx, target, newRequest(r.method), &resp, func(o Outcome) { ends = append(ends, o) })
				test.Eq(t, r.head, out.Class)
				if out.Class == Whole && resp.IsBodyStream() {
					_, err := io.ReadAll(resp.BodyStream())
					test.Eq(t, r.end == Whole, err == nil)
				}
				must.Len(t, 1, ends)
				test.Eq(t, r.end, ends[0].Class)
				test.Eq(t, r.end == Whole || r.end == Shed, ends[0].Err == nil)
				test.True(t, r.check == nil || r.check(ends[0]))
				test.Eq(t, 1, s.requests.Load())
				c.Close()
				open, _ := c.Connections(target)
				test.Eq(t, 0, open)
			})
		})
	}
}

// TestNotRun guards against a request that is reported as possibly run
// although it never left this host.
func TestNotRun(t *testing.T) {
	late, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	refused := func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
	s := &scripted{}
	for _, c := range []struct {
		ctx  context.Context
		dial DialFunc
		cap  int
	}{{late, s.dial, 1}, {t.Context(), refused, 1}, {t.Context(), s.dial, 0}} {
		out := New(WithDial(c.dial), WithConnections(c.cap)).Do(c.ctx, target, newRequest("POST"), new(fasthttp.Response))
		test.True(t, out.NotRun())
		test.ErrorContains(t, out.Err, "remedy")
		test.Zero(t, out.Written)
	}
	test.Zero(t, s.requests.Load())
}

// TestSilence guards against idle connections that were opened before a
// silent one and would be tried one deadline after the other.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{script: func(nc net.Conn, request int) {
			if request == 4 || request == 5 {
				_, _ = nc.Read(make([]byte, 1))
				return
			}
			time.Sleep(time.Second) // keeps all connections busy at once
			send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}}
		c := New(WithDial(s.dial))
		do := func(limit time.Duration) Outcome {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return c.Do(ctx, target, newRequest("GET"), new(fasthttp.Response))
		}
		for range 3 {
			go do(time.Minute)
		}
		time.Sleep(2 * time.Second)
		_, idle := c.Connections(target)
		test.Eq(t, 3, idle)
		// An impatient caller says nothing about the other connections.
		test.Eq(t, Silent, do(100*time.Millisecond).Class)
		open, _ := c.Connections(target)
		test.Eq(t, 2, open)
		test.Eq(t, Silent, do(3*time.Second).Class)
		open, _ = c.Connections(target)
		test.Eq(t, 0, open)
		test.Eq(t, Whole, do(time.Minute).Class)
		test.Eq(t, 4, s.dials.Load())
		c.Close()
	})
}

// TestCancel guards against a target that goes on working for a caller that
// left, and against counting this as the target's failure.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := false
		s := &scripted{script: func(nc net.Conn, _ int) {
			_, err := nc.Read(make([]byte, 1))
			closed = errors.Is(err, io.EOF)
		}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		out := New(WithDial(s.dial)).Do(ctx, target, newRequest("POST"), new(fasthttp.Response))
		synctest.Wait()
		test.True(t, closed)
		test.True(t, out.Canceled)
		test.Eq(t, Unknown, out.Class)
	})
}

// TestReuse guards against a late response that is taken for the response to
// the next request, and against a request on a connection that the target
// closed while it was idle.
func TestReuse(t *testing.T) {
	for name, extra := range map[string]string{"closed": "", "late": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			ready := make(chan struct{}, 8)
			s := &scripted{script: func(nc net.Conn, request int) {
				send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof")
				if request == 1 {
					send(nc, extra)
					_ = nc.(*net.TCPConn).CloseWrite()
					ready <- struct{}{}
				}
			}}
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					s.dials.Add(1)
					go s.serve(nc)
				}
			}()
			c := New()
			defer c.Close()
			for range 2 {
				var resp fasthttp.Response
				out := c.Do(t.Context(), &model.Target{Address: ln.Addr().String()}, newRequest("POST"), &resp)
				must.Eq(t, Whole, out.Class)
				must.Eq(t, "proof", string(resp.Body()))
				if s.requests.Load() == 1 {
					<-ready
				}
			}
			test.Eq(t, 2, s.dials.Load())
		})
	}
}

// TestSlowCaller guards against a body that is broken because the caller, not
// the target, paused for longer than the progress deadline or past its own
// deadline, with the reader in the middle of a chunk.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{script: func(nc net.Conn, _ int) {
			send(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\npro")
			for _, text := range []string{"of", "\r", "\n0\r\n", "\r\n"} {
				time.Sleep(DefaultProgress - time.Second)
				send(nc, text)
			}
		}}
		c := New(WithDial(s.dial))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var resp fasthttp.Response
		out := c.Stream(ctx, target, newRequest("GET"), &resp, nil)
		must.Eq(t, Whole, out.Class)
		var text []byte
		for {
			time.Sleep(2 * DefaultProgress)
			var b [3]byte
			n, err := resp.BodyStream().Read(b[:])
			text = append(text, b[:n]...)
			if err != nil {
				test.ErrorIs(t, err, io.EOF)
				break
			}
		}
		test.Eq(t, "proof", string(text))
		c.Close()
	})
}

// TestRested guards against a request that may not be repeated and is lost on a
// connection that the target dropped while it was idle.
func TestRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{}
		c := New(WithDial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			s.dials.Add(1)
			go func() {
				defer func() { _ = far.Close() }()
				var req fasthttp.Request
				r := bufio.NewReader(far)
				for last := time.Now(); req.Read(r) == nil; last = time.Now() {
					if time.Since(last) > DefaultRest {
						return // forgotten: what arrives is reset
					}
					send(far, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof")
				}
			}()
			return near, nil
		}))
		defer c.Close()
		do := func(once bool) Outcome {
			var resp fasthttp.Response
			if once {
				return c.DoOnce(t.Context(), target, newRequest("POST"), &resp)
			}
			return c.Do(t.Context(), target, newRequest("GET"), &resp)
		}
		test.Eq(t, Whole, do(true).Class)
		time.Sleep(DefaultRest / 2)
		test.Eq(t, Whole, do(true).Class)
		test.Eq(t, 1, s.dials.Load())
		time.Sleep(2 * DefaultRest)
		test.Eq(t, Whole, do(true).Class)
		test.Eq(t, 2, s.dials.Load())

		// A request that may be repeated takes the chance, and shows nothing of
		// the target's health if it fails.
		time.Sleep(2 * DefaultRest)
		out := do(false)
		test.Eq(t, Unknown, out.Class)
		test.Eq(t, 2*DefaultRest, out.Rested)
	})
}
