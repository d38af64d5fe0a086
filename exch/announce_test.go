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

// TestAnnouncements guards against announcements of a target that are not read, or
// that are attributed to a target that did not make them.
func TestAnnouncements(t *testing.T) {
	names := Headers{Deadline: "Deadline", Expect: "Expect", Shed: "Shed", ShedAnyStatus: true, Request: "Request", Signature: "Signature",
		Drain: "Leaving", Limit: "Limit", RetryAfter: "Retry-After"}
	rows := []struct {
		name, response string
		expected       Outcome
	}{
		{"leaves", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLeaving: 1", Outcome{Draining: true}},
		{"stays", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLeaving: 0", Outcome{}},
		{"leaves and fails", "500 Error\r\nRequest: 1\r\nLeaving: 1", Outcome{Draining: true}},
		{"leaves and sheds", "503 Busy\r\nRequest: 1\r\nShed: 1\r\nLeaving: 1", Outcome{Draining: true}},
		{"limit", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: 5.6", Outcome{Limited: true, Limit: 5.6}},
		{"limit of zero", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: 0", Outcome{Limited: true}},
		{"no number", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: none", Outcome{}},
		{"negative", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: -1", Outcome{}},
		{"infinite", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: inf", Outcome{}},
		{"not a number", "200 OK\r\nRequest: 1\r\nSignature: s\r\nLimit: nan", Outcome{}},
		{"pause", "503 Busy\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 1.5", Outcome{RetryAfter: 1500 * time.Millisecond}},
		{"pause after 503 that ran", "503 Busy\r\nRequest: 1\r\nRetry-After: 2", Outcome{RetryAfter: 2 * time.Second}},
		{"pause with another status", "429 Slow\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 2", Outcome{}},
		{"long pause", "503 Busy\r\nRequest: 1\r\nShed: 1\r\nRetry-After: 1e300", Outcome{RetryAfter: maxRetryAfter}},
		{"another target", "421 Misdirected\r\nRequest: 1\r\nLeaving: 1\r\nLimit: 1", Outcome{}},
		{"not the target's", "200 OK\r\nRequest: 1\r\nLeaving: 1\r\nLimit: 1", Outcome{}},
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
				test.Eq(t, r.expected, Outcome{Draining: out.Draining, Limited: out.Limited, Limit: out.Limit, RetryAfter: out.RetryAfter})
			})
		})
	}
}
