package exch

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/valyala/fasthttp"
)

// TestAnnouncements guards against announcements that are not read, or attributed to the wrong target.
func TestAnnouncements(t *testing.T) {
	names := Headers{Deadline: "Deadline", Expect: "Expect", Shed: "Shed", ShedAnyStatus: true, Request: "Request", Signature: "Signature",
		Drain: "Leaving", Limit: "Limit", RetryAfter: "Retry-After"}
	rows := []struct {
		name, response string
		expected       Outcome
		silent         bool // nothing counts as announced
	}{
		{name: "leaves", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLeaving: 1", expected: Outcome{Draining: true}},
		{name: "stays", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLeaving: 0", expected: Outcome{}},
		{name: "leaves and fails", response: "500 Error\r\nRequest: 1\r\nLeaving: 1", expected: Outcome{Draining: true}},
		{name: "leaves and sheds", response: "503 Busy\r\nRequest: 1\r\nShed: 1\r\nLeaving: 1", expected: Outcome{Draining: true}},
		{name: "limit", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: 5.6", expected: Outcome{Limited: true, Limit: 5.6}},
		{name: "limit of zero", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: 0", expected: Outcome{Limited: true}},
		{name: "no number", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: none", expected: Outcome{}},
		{name: "negative", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: -1", expected: Outcome{}},
		{name: "infinite", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: inf", expected: Outcome{}},
		{name: "not a number", response: "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: nan", expected: Outcome{}},
		{name: "pause", response: "503 Busy\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 1.5", expected: Outcome{RetryAfter: 1500 * time.Millisecond}},
		{name: "pause after 503 that ran", response: "503 Busy\r\nRequest: 1\r\nRetry-After: 2", expected: Outcome{RetryAfter: 2 * time.Second}},
		{name: "pause with another status", response: "429 Slow\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 2", expected: Outcome{}},
		{name: "long pause", response: "503 Busy\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 1e300", expected: Outcome{RetryAfter: maxRetryAfter}},
		{name: "another target", response: "421 Misdirected\r\nRequest: 1\r\nLeaving: 1\r\nLimit: 1", silent: true},
		{name: "not the target's", response: "200 OK\r\nRequest: 1\r\nLeaving: 1\r\nLimit: 1", silent: true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, _ int) { send(nc, "HTTP/1.1 "+r.response+"\r\nContent-Length: 0\r\n\r\n") }}
				c := New(WithDial(s.dial), WithHeaders(names))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				req := newRequest("GET")
				req.Header.Set("Request", "1")
				out := c.Do(ctx, target, req, new(fasthttp.Response))
				c.Close()
				r.expected.Announced = !r.silent
				test.Eq(t, r.expected, Outcome{Announced: out.Announced, Draining: out.Draining, Limited: out.Limited, Limit: out.Limit, RetryAfter: out.RetryAfter})
			})
		})
	}
}
