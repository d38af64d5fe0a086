package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// own ends the head of a target's own response, with a body.
const own = "Request: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nproof"

// TestMalformed guards against bytes that are no response but are passed on, or of which "not
// executed" counts, and against targets that send them without being taken as failing.
func TestMalformed(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n",
		"status 000, shed":     "HTTP/1.1 000 OK\r\nShed: 1\r\n",
		"blank":                "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"blank, failed":        "HTTP/1.1 500 Error\r\nBad Name: x\r\n",
		"blank, shed":          "HTTP/1.1 503 Busy\r\nBad Name: x\r\nShed: 1\r\n",
		"control byte":         "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
		"blank in interim":     "HTTP/1.1 103 Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"control byte, reason": "HTTP/1.1 200 \x01\r\n",
	} {
		for path, want := range map[string]struct{ status, sends int }{"/once/": {502, 1}, "/safe/": {200, 2}} {
			t.Run(name+path, func(t *testing.T) {
				tp := newTestProxy(t, head+own, okResponse)
				var failed atomic.Int32
				tp.proxy.deps.ReportObservation = func(_ model.TargetID, o health.Observation, _ float64) {
					if o == health.Failed {
						failed.Add(1)
					}
				}
				status, _, header := tp.send(t.Context(), t, path, "key")
				test.Eq(t, want.status, status)
				test.Eq(t, want.sends, int(tp.targetScript.requests.Load()))
				test.Eq(t, 1, failed.Load())
				if status == http.StatusBadGateway {
					test.Eq(t, "unknown", header.Get("Rhubarbdrift-Run"))
					test.Eq(t, "", header.Get("Signature"))
				}
			})
		}
	}
}

// TestUnusual guards against responses that HTTP/1.1 allows, but that do not reach the caller
// as they are.
func TestUnusual(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 299\r\n":                                 "HTTP/1.1 299 ",
		"HTTP/1.1 499 \r\n":                                "HTTP/1.1 499 ",
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09: x\r\n":     "X!#$%&'*+-.^_`|~09: x\r\n",
		"HTTP/1.1 200 OK\r\nName: a\tb\xe9\xff\r\n":        "Name: a\tb\xe9\xff\r\n",
		"HTTP/1.1 200 OK\r\nName : x\r\n":                  "Name: x\r\n",
		"HTTP/1.1 200 OK\r\nName: a\r\n\tb\r\n":            "Name: a b\r\n",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.0 200 Fine\r\n":  "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1  200   OK\nName: x\r\n":                  "Name: x\r\n",
		"HTTP/1.1 200 caf\xe9\r\nSet-Cookie: a=b; c=d\r\n": "Set-Cookie: a=b; c=d\r\n",
	} {
		tp := newTestProxy(t, head+own)
		c, err := net.Dial("tcp", strings.TrimPrefix(tp.url, "http://"))
		must.NoError(t, err)
		must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, _ = fmt.Fprint(c, "GET /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: id-1\r\nKey: key\r\nConnection: close\r\n\r\n")
		got, err := io.ReadAll(c)
		must.NoError(t, err)
		test.StrContains(t, string(got), want, test.Sprintf("%q", head))
		test.StrHasSuffix(t, "\r\n\r\nproof", string(got), test.Sprintf("%q", head))
		must.NoError(t, c.Close())
	}
}
