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

// scriptedTarget is a target that runs the script after each request it reads.
type scriptedTarget struct {
	dials, requests atomic.Int32
	script          func(nc net.Conn, request int)
}

func (s *scriptedTarget) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.dials.Add(1)
	go s.serve(far)
	return near, nil
}

func (s *scriptedTarget) serve(nc net.Conn) {
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
// NotRun after the request was written, or Complete for a truncated body.
func TestClasses(t *testing.T) {
	waitForClose := func(nc net.Conn) { _, _ = nc.Read(make([]byte, 1)) }
	rows := []struct {
		name, method, response    string
		waitForClose              bool
		classAtHeader, classAtEnd Class
		check                     func(Outcome) bool
	}{
		{name: "length", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof", classAtHeader: Complete, classAtEnd: Complete},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n0\r\n\r\n", classAtHeader: Complete, classAtEnd: Complete},
		{name: "interim", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof", classAtHeader: Complete, classAtEnd: Complete},
		{name: "head", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", classAtHeader: Complete, classAtEnd: Complete},
		{name: "no length", response: "HTTP/1.1 200 OK\r\n\r\nproof", classAtHeader: Complete, classAtEnd: Complete, check: func(o Outcome) bool { return o.Unframed }},
		{name: "no length, large", response: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 200), classAtHeader: Broken, classAtEnd: Broken},
		{name: "drain", response: "HTTP/1.1 200 OK\r\nRhubarbdrift-Drain: 1\r\nContent-Length: 0\r\n\r\n", classAtHeader: Complete, classAtEnd: Complete, check: func(o Outcome) bool { return o.Draining }},
		{name: "shed", response: "HTTP/1.1 503 Busy\r\nRhubarbdrift-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy", classAtHeader: Shed, classAtEnd: Shed, check: func(o Outcome) bool { return o.NotRun() && !o.Draining }},
		{name: "shed and close", response: "HTTP/1.1 503 Busy\r\nRhubarbdrift-Shed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", classAtHeader: Shed, classAtEnd: Shed, check: func(o Outcome) bool { return o.Draining }},
		{name: "503 without marker", response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", classAtHeader: Complete, classAtEnd: Complete, check: func(o Outcome) bool { return !o.NotRun() }},
		{name: "truncated length", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npro", classAtHeader: Complete, classAtEnd: Broken},
		{name: "truncated chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n", classAtHeader: Complete, classAtEnd: Broken},
		{name: "stalled body", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npro", waitForClose: true, classAtHeader: Complete, classAtEnd: Broken, check: func(o Outcome) bool { return o.Stalled }},
		{name: "closed GET", method: "GET", classAtHeader: Unknown, classAtEnd: Unknown},
		{name: "closed PUT", method: "PUT", classAtHeader: Unknown, classAtEnd: Unknown},
		{name: "closed HEAD", method: "HEAD", classAtHeader: Unknown, classAtEnd: Unknown},
		{name: "silent", waitForClose: true, classAtHeader: NoResponse, classAtEnd: NoResponse},
		{name: "half a header", response: "HTTP/1.1 200 OK\r\nContent-Le", waitForClose: true, classAtHeader: Broken, classAtEnd: Broken},
		{name: "no HTTP", response: "SSH-2.0-x\r\n\r\n", classAtHeader: Broken, classAtEnd: Broken},
		{name: "switch", response: "HTTP/1.1 101 Switching\r\n\r\n", classAtHeader: Broken, classAtEnd: Broken},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, _ int) {
					send(nc, r.response)
					if r.waitForClose {
						waitForClose(nc)
					}
					_ = nc.Close()
				}}
				c := New(WithDial(s.dial), WithMaxBuffered(100))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				var finals []Outcome
				var resp fasthttp.Response
				out := c.Stream(ctx, target, newRequest(r.method), &resp, func(o Outcome) { finals = append(finals, o) })
				test.Eq(t, r.classAtHeader, out.Class)
				if out.Class == Complete && resp.IsBodyStream() {
					_, err := io.ReadAll(resp.BodyStream())
					test.Eq(t, r.classAtEnd == Complete, err == nil)
				}
				must.Len(t, 1, finals)
				test.Eq(t, r.classAtEnd, finals[0].Class)
				test.Eq(t, r.classAtEnd == Complete || r.classAtEnd == Shed, finals[0].Err == nil)
				test.True(t, r.check == nil || r.check(finals[0]))
				test.Eq(t, 1, s.requests.Load())
				c.Close()
				open, _ := c.Connections(target)
				test.Eq(t, 0, open)
			})
		})
	}
}

// TestNotRun guards against a request that is reported as possibly executed
// although none of its bytes were sent.
func TestNotRun(t *testing.T) {
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	refuseDial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
	s := &scriptedTarget{}
	for _, c := range []struct {
		ctx            context.Context
		dial           DialFunc
		maxConnections int
	}{{expired, s.dial, 1}, {t.Context(), refuseDial, 1}, {t.Context(), s.dial, 0}} {
		out := New(WithDial(c.dial), WithMaxConnections(c.maxConnections)).Do(c.ctx, target, newRequest("POST"), new(fasthttp.Response))
		test.True(t, out.NotRun())
		test.ErrorContains(t, out.Err, "remedy")
		test.Zero(t, out.Written)
	}
	test.Zero(t, s.requests.Load())
}

// TestSilence guards against idle connections that stay open after another
// connection to the same target got no response. Later requests would use them
// one after the other and each wait for its deadline.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTarget{script: func(nc net.Conn, request int) {
			if request == 4 || request == 5 {
				_, _ = nc.Read(make([]byte, 1))
				return
			}
			time.Sleep(time.Second) // keeps three connections in use at once
			send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}}
		c := New(WithDial(s.dial))
		do := func(timeout time.Duration) Outcome {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return c.Do(ctx, target, newRequest("GET"), new(fasthttp.Response))
		}
		for range 3 {
			go do(time.Minute)
		}
		time.Sleep(2 * time.Second)
		_, idle := c.Connections(target)
		test.Eq(t, 3, idle)
		// A deadline below DefaultMinSilence does not close the other connections.
		test.Eq(t, NoResponse, do(100*time.Millisecond).Class)
		open, _ := c.Connections(target)
		test.Eq(t, 2, open)
		test.Eq(t, NoResponse, do(3*time.Second).Class)
		open, _ = c.Connections(target)
		test.Eq(t, 0, open)
		test.Eq(t, Complete, do(time.Minute).Class)
		test.Eq(t, 4, s.dials.Load())
		c.Close()
	})
}

// TestCancel guards against a target that keeps working after the caller
// canceled, and against counting the cancellation as the target's failure.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := false
		s := &scriptedTarget{script: func(nc net.Conn, _ int) {
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

// TestReuse guards against a late response that is returned for the next
// request, and against reusing a connection that the target closed while it was
// idle.
func TestReuse(t *testing.T) {
	for name, extra := range map[string]string{"closed": "", "late": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			ready := make(chan struct{}, 8)
			s := &scriptedTarget{script: func(nc net.Conn, request int) {
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
				must.Eq(t, Complete, out.Class)
				must.Eq(t, "proof", string(resp.Body()))
				if s.requests.Load() == 1 {
					<-ready
				}
			}
			test.Eq(t, 2, s.dials.Load())
		})
	}
}

// TestSlowCaller guards against a body that counts as broken because the caller,
// not the target, paused for longer than the progress timeout or beyond its own
// deadline, in the middle of a chunk.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTarget{script: func(nc net.Conn, _ int) {
			send(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\npro")
			for _, text := range []string{"of", "\r", "\n0\r\n", "\r\n"} {
				time.Sleep(DefaultProgressTimeout - time.Second)
				send(nc, text)
			}
		}}
		c := New(WithDial(s.dial))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var resp fasthttp.Response
		out := c.Stream(ctx, target, newRequest("GET"), &resp, nil)
		must.Eq(t, Complete, out.Class)
		var text []byte
		for {
			time.Sleep(2 * DefaultProgressTimeout)
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

// TestRested guards against a non-repeatable request that is lost because the
// target dropped the connection while it was idle.
func TestRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTarget{}
		c := New(WithDial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			s.dials.Add(1)
			go func() {
				defer func() { _ = far.Close() }()
				var req fasthttp.Request
				r := bufio.NewReader(far)
				for lastRequest := time.Now(); req.Read(r) == nil; lastRequest = time.Now() {
					if time.Since(lastRequest) > DefaultNonRepeatableMaxIdle {
						return // the target dropped the connection
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
				return c.DoNonRepeatable(t.Context(), target, newRequest("POST"), &resp)
			}
			return c.Do(t.Context(), target, newRequest("GET"), &resp)
		}
		test.Eq(t, Complete, do(true).Class)
		time.Sleep(DefaultNonRepeatableMaxIdle / 2)
		test.Eq(t, Complete, do(true).Class)
		test.Eq(t, 1, s.dials.Load())
		time.Sleep(2 * DefaultNonRepeatableMaxIdle)
		test.Eq(t, Complete, do(true).Class)
		test.Eq(t, 2, s.dials.Load())

		// A repeatable request may use the connection. Its failure reports the idle
		// time, because it is no evidence against the target's health.
		time.Sleep(2 * DefaultNonRepeatableMaxIdle)
		out := do(false)
		test.Eq(t, Unknown, out.Class)
		test.Eq(t, 2*DefaultNonRepeatableMaxIdle, out.IdleBefore)
	})
}
