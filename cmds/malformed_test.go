package cmds

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/canned"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/proxy"
)

// TestMalformed guards against commands that print bytes which are no answer of a daemon.
func TestMalformed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
		"HTTP/1.1 400 Invalid\r\nContent Length: 3\r\n",
	} {
		s, err := canned.Listen(func(*http.Request) string { return head + "Content-Length: 2\r\n\r\n{}" })
		must.NoError(t, err)
		defer s.Close()
		_, err = callExplain(s.Address(), &proxy.Query{})
		test.True(t, fault.Is(err, fault.KindUnavailable), test.Sprintf("%q: %v", head, err))
		_, err = callAdmin[struct{}](s.Address(), "GET", "/status", nil)
		test.True(t, fault.Is(err, fault.KindUnknown), test.Sprintf("%q: %v", head, err))
	}
}
