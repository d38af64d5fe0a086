package eject

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/canned"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
)

// TestProbe guards against a target that returns because of a probe whose response is malformed.
func TestProbe(t *testing.T) {
	for head, healthy := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                               true,
		"HTTP/1.0 200\r\nName : x\r\n":                      true,
		"HTTP/1.1 503 Busy\r\n":                             false,
		"HTTP/1.1 000 OK\r\n":                               false,
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n":                false,
		"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n":             false,
		"HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK\r\n":      false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n": false,
	} {
		s, err := canned.Listen(func(*http.Request) string { return head + "Content-Length: 0\r\n\r\n" })
		must.NoError(t, err)
		client := exch.New()
		got := NewProber(nil, client, nil).healthy(t.Context(), &model.Target{ID: "t", Address: s.Address()}, "/health")
		test.Eq(t, healthy, got, test.Sprintf("%q", head))
		client.Close()
		s.Close()
	}
}
