package flood

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// TestKinds guards against a kind whose answer ends, which would let a client without bounds
// pass its tests, and against connections that outlive their server.
func TestKinds(t *testing.T) {
	defer goleak.VerifyNone(t)
	const bytes = 1 << 20
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) {
			s, err := Listen(k, WithEcho("Request"), WithHeader("Signature", "s"))
			must.NoError(t, err)
			defer s.Close()
			c, err := net.Dial("tcp", s.Address())
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			must.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nRequest: 1\r\n\r\n")
			must.NoError(t, err)
			n, err := io.CopyN(io.Discard, c, bytes)
			test.NoError(t, err)
			test.Eq(t, bytes, n)
		})
	}
}
