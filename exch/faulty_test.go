package exch

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// platformHeaders are headers with which a target echoes the request ID.
var platformHeaders = Headers{Deadline: "Deadline", Expect: "Expect", Shed: "Shed", ShedAnyStatus: true, Request: "Request", Signature: "Signature"}

// doOnce runs one exchange with the deadline and returns its outcome and duration.
func doOnce(t *testing.T, c *Client, id string, deadline time.Duration) (Outcome, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	req := newRequest("POST")
	req.Header.Set("Request", id)
	started := time.Now()
	out := c.Do(ctx, target, req, new(fasthttp.Response))
	return out, time.Since(started)
}

// TestRefusalWrittenAgain guards against a false "not run" from an earlier refusal that arrives again.
func TestRefusalWrittenAgain(t *testing.T) {
	for name, c := range map[string]struct {
		headers Headers
		refusal string
	}{
		"own protocol":    {defaultHeaders, "HTTP/1.1 503 Busy\r\nRhubarbdrift-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy"},
		"echoed IDs":      {platformHeaders, "HTTP/1.1 503 Busy\r\nRequest: 1\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"},
		"IDs not echoed":  {platformHeaders, "HTTP/1.1 503 Busy\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"},
		"misdirected":     {platformHeaders, "HTTP/1.1 421 Misdirected\r\nRequest: 1\r\nContent-Length: 0\r\n\r\n"},
		"endless copies":  {platformHeaders, strings.Repeat("HTTP/1.1 503 Busy\r\nRequest: 1\r\nShed: 1\r\nContent-Length: 0\r\n\r\n", 20)},
		"own, and status": {defaultHeaders, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, n int) {
					if n == 1 {
						send(nc, c.refusal)
						return
					}
					// Runs the request, but writes the refusal of the first one.
					send(nc, c.refusal)
					time.Sleep(time.Second)
					send(nc, "HTTP/1.1 200 OK\r\nRequest: 2\r\nSignature: s\r\nContent-Length: 5\r\n\r\nproof")
				}}
				client := New(WithDial(s.dial), WithHeaders(c.headers))
				doOnce(t, client, "1", 3*time.Second)
				time.Sleep(100 * time.Millisecond)
				before := s.dials.Load()
				out, _ := doOnce(t, client, "2", 3*time.Second)
				reused := s.dials.Load() == before
				test.False(t, reused && out.NotRun(), test.Sprintf("class %s on a kept connection", out.Class))
				client.Close()
				time.Sleep(2 * time.Second) // until the target's script has ended
			})
		})
	}
}

// TestBrokenHead guards against a response that counts as complete although it broke off.
func TestBrokenHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\n"
	for name, whole := range map[string]string{
		"length":  head + "Content-Length: 5\r\nOther: x\r\n\r\nproof",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nproof",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for n := range len(whole) {
					s := &scriptedTarget{script: func(nc net.Conn, _ int) { send(nc, whole[:n]); _ = nc.Close() }}
					c := New(WithDial(s.dial), WithHeaders(platformHeaders))
					out, _ := doOnce(t, c, "1", time.Second)
					test.NotEq(t, Complete, out.Class, test.Sprintf("after %q", whole[:n]))
					test.False(t, out.NotRun())
					c.Close()
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		end := head + "\r\n" // without a length, the body ends with the connection
		for n := range len(end) {
			s := &scriptedTarget{script: func(nc net.Conn, _ int) { send(nc, end[:n]); _ = nc.Close() }}
			c := New(WithDial(s.dial), WithHeaders(platformHeaders))
			out, _ := doOnce(t, c, "1", time.Second)
			test.NotEq(t, Complete, out.Class, test.Sprintf("after %q", end[:n]))
			c.Close()
		}
	})
}

// TestEndlessBytes guards against an exchange that lasts as long as a target sends bytes.
func TestEndlessBytes(t *testing.T) {
	const (
		deadline = 10 * time.Second
		atOnce   = 2 * time.Second
		piece    = 4 << 10 // bytes in each millisecond
		buffered = 64 << 10
	)
	fill := strings.Repeat("x", piece)
	lines := strings.Repeat("Name: value\r\n", piece/13)
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"no line":            {"", fill},
		"status line":        {"HTTP/1.1 200 ", fill},
		"header line":        {"HTTP/1.1 200 OK\r\nName: ", fill},
		"header lines":       {"HTTP/1.1 200 OK\r\n", lines},
		"interim responses":  {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", piece/25)},
		"late responses":     {"", strings.Repeat("HTTP/1.1 200 OK\r\nRequest: 9\r\nContent-Length: 0\r\n\r\n", piece/50)},
		"late chunks":        {"HTTP/1.1 200 OK\r\nRequest: 9\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"late length":        {"HTTP/1.1 200 OK\r\nRequest: 9\r\nContent-Length: 99999999999\r\n\r\n", fill},
		"body without end":   {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\n\r\n", fill},
		"chunks without end": {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"a long length":      {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nContent-Length: 99999999999\r\n\r\n", fill},
		"chunk size":         {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", piece)},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5;", fill},
		"trailers":           {"HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", lines},
		"refusal's body":     {"HTTP/1.1 503 Busy\r\nRequest: 1\r\nShed: 1\r\n\r\n", fill},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, _ int) {
					send(nc, c.start)
					for {
						if _, err := nc.Write([]byte(c.repeat)); err != nil {
							return
						}
						time.Sleep(time.Millisecond)
					}
				}}
				client := New(WithDial(s.dial), WithHeaders(platformHeaders), WithMaxBuffered(buffered))
				out, took := doOnce(t, client, "1", deadline)
				test.NotEq(t, Complete, out.Class)
				test.Less(t, atOnce, took)
				test.Less(t, 1<<20, out.Received)
				client.Close()
				open, _ := client.Connections(target)
				must.Eq(t, 0, open)
				time.Sleep(time.Second) // until the target's script has ended
			})
		})
	}
}
