package store

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/canned"
	"rhubarbdrift.example/fault"
)

// malformedHeads begin answers that are not of HTTP/1.1.
var malformedHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\n",
	"status 600":              "HTTP/1.1 600 OK\r\n",
	"name with a blank":       "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
	"length with a blank":     "HTTP/1.1 200 OK\r\nContent Length: 3\r\n",
	"control byte in a name":  "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
	"control byte in a value": "HTTP/1.1 200 OK\r\nName: \x01\r\n",
	"blank in interim":        "HTTP/1.1 103 Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	"blank in a refusal":      "HTTP/1.1 409 Conflict\r\nBad Name: x\r\n",
	"blank in an outage":      "HTTP/1.1 503 Outage\r\nBad Name: x\r\n",
}

// TestMalformed guards against bytes that are no answer of the store, but are taken for an
// object, for the end of a write or for a new era.
func TestMalformed(t *testing.T) {
	const (
		framing = "Store-Era: 9\r\nContent-Length: 52\r\n\r\n"
		body    = `{"kind":"kind","name":"name","version":8,"value":""}`
	)
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			s, err := canned.Listen(func(*http.Request) string { return head + framing + body })
			must.NoError(t, err)
			defer s.Close()
			c := NewClient("http://"+s.Address(), WithEraObserver(func(_, after Era) { test.Unreachable(t, test.Sprint("era ", after)) }))
			defer c.Close()
			c.eras.observe(1)
			_, getErr := c.Get(t.Context(), "kind", "name")
			_, _, listErr := c.List(t.Context(), "kind")
			_, _, watchErr := c.Poll(t.Context(), "kind", NewVersion(1, 1))
			_, putErr := c.Put(t.Context(), "kind", "name", nil, 0)
			deleteErr := c.Delete(t.Context(), "kind", "name", 0)
			for _, err := range []error{getErr, listErr, watchErr} {
				test.True(t, fault.Is(err, fault.KindUnavailable), test.Sprint(err))
			}
			for _, err := range []error{putErr, deleteErr} {
				test.True(t, fault.Is(err, fault.KindUnknown), test.Sprint(err))
			}
			opened, _ := s.Connections()
			test.Eq(t, 5, opened, test.Sprint("a connection was used again"))
		})
	}
}
