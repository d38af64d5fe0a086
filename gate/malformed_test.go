package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/canned"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/refuse"
)

// newCannedGate returns a Gate whose target answers with the text.
func newCannedGate(t *testing.T, text string) (*testGate, *canned.Server) {
	t.Helper()
	tg := newTestGate(t, respondHello)
	s, err := canned.Listen(func(*http.Request) string { return text })
	must.NoError(t, err)
	t.Cleanup(s.Close)
	tg.installConfig(t, 2, s.Address(), []model.Key{{ID: "k", Digest: model.DigestOf([]byte(testKey))}})
	return tg, s
}

// TestMalformed guards against bytes that are no response but are passed on, or of which
// "not executed" or "leaving" counts, and against targets that send them without being taken
// as failing.
func TestMalformed(t *testing.T) {
	const rest = "Rhubarbdrift-Shed: 1\r\nRhubarbdrift-Drain: 1\r\nContent-Length: 5\r\n\r\nhello"
	for name, head := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n",
		"blank":                "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"blank, failed":        "HTTP/1.1 500 Error\r\nBad Name: x\r\n",
		"blank, shed":          "HTTP/1.1 503 Busy\r\nBad Name: x\r\n",
		"control byte":         "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
		"blank in interim":     "HTTP/1.1 103 Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"control byte, reason": "HTTP/1.1 200 \x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			tg, s := newCannedGate(t, head+rest)
			resp, _ := tg.send(t, request("POST", "/payouts", "Idempotency-Key: i\r\nContent-Length: 0\r\n"))
			must.NotNil(t, resp)
			test.Eq(t, http.StatusBadGateway, resp.StatusCode())
			test.Eq(t, "unknown", string(resp.Header.Peek(refuse.HeaderRun)))
			test.Eq(t, "open", tg.claims.state("i"))
			test.Eq(t, 1, s.Requests(), test.Sprint("sends of a request that must not be repeated"))
			result := <-tg.results
			test.Eq(t, exch.Broken, result.Outcome.Class)
			test.False(t, result.Outcome.Draining)
		})
	}
}

// TestUnusual guards against responses that HTTP/1.1 allows, but that do not reach the caller
// as they are.
func TestUnusual(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 299\r\n":                                "HTTP/1.1 299 ",
		"HTTP/1.1 499 \r\n":                               "HTTP/1.1 499 ",
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09: x\r\n":    "X!#$%&'*+-.^_`|~09: x\r\n",
		"HTTP/1.1 200 OK\r\nName: a\tb\xe9\xff\r\n":       "Name: a\tb\xe9\xff\r\n",
		"HTTP/1.1 200 OK\r\nName : x\r\n":                 "Name: x\r\n",
		"HTTP/1.1 200 OK\r\nName: a\r\n\tb\r\n":           "Name: a b\r\n",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.0 200 Fine\r\n": "HTTP/1.1 200 Fine\r\n",
		"HTTP/1.1  200   OK\nName: x\r\n":                 "Name: x\r\n",
	} {
		tg, _ := newCannedGate(t, head+"Content-Length: 5\r\n\r\nhello")
		c, err := net.Dial("tcp", tg.address)
		must.NoError(t, err)
		must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, _ = io.WriteString(c, request("GET", "/weights", "Connection: close\r\n"))
		got, err := io.ReadAll(c)
		must.NoError(t, err)
		test.StrContains(t, string(got), want, test.Sprintf("%q", head))
		test.StrHasSuffix(t, "\r\n\r\nhello", string(got), test.Sprintf("%q", head))
		must.NoError(t, c.Close())
	}
}
