package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their relay.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns both ends of a relayed connection.
func pair(t *testing.T, behind net.Listener, address string) (near, far net.Conn) {
	near, err := net.Dial("tcp", address)
	must.NoError(t, err)
	far, err = behind.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func passes(from, to net.Conn) bool {
	_, _ = io.WriteString(from, "x")
	var b [1]byte
	_, err := io.ReadFull(to, b[:])
	return err == nil
}

// TestOneWay guards against a cut that also stops the other direction, that
// tells the ends about it, or that lets a stream continue with a gap.
func TestOneWay(t *testing.T) {
	behind, front := listen(t), listen(t)
	r := New(behind.Addr().String())
	done := make(chan error)
	go func() { done <- r.Serve(front) }()
	near, far := pair(t, behind, front.Addr().String())
	must.True(t, passes(near, far))
	must.True(t, passes(far, near))

	must.NoError(t, r.Set(Links{Down: Link{Cut: true}}))
	must.True(t, passes(near, far))
	_, _ = io.WriteString(far, "lost")
	must.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	test.False(t, passes(far, near))
	must.NoError(t, r.Set(Links{}))
	must.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	test.False(t, passes(far, near))
	must.True(t, passes(near, far))
	must.NoError(t, far.Close())
	must.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := near.Read(make([]byte, 1))
	test.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, near.Close())

	near, far = pair(t, behind, front.Addr().String())
	must.True(t, passes(far, near))
	must.NoError(t, r.Set(Links{Up: Link{Freeze: true}}))
	must.True(t, passes(far, near))
	_, _ = io.WriteString(near, "held")
	must.NoError(t, near.Close())
	must.NoError(t, r.Set(Links{Up: Link{Delay: 1}}))
	data, err := io.ReadAll(far)
	test.NoError(t, err)
	test.Eq(t, "held", string(data))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	test.NoError(t, r.Stop(ctx))
	test.NoError(t, <-done)
	test.Zero(t, r.Stats().Connections)
}

// TestHandler guards against a mistyped switch that is accepted silently.
func TestHandler(t *testing.T) {
	r := New("127.0.0.1:1")
	for body, status := range map[string]int{`{"up":{"cut":true}}`: 200, `{"upp":{}}`: 400, `{"up":{"delay":-1}}`: 400} {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("PUT", "/", strings.NewReader(body)))
		test.Eq(t, status, w.Code)
	}
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/", http.NoBody))
	test.StrContains(t, w.Body.String(), `"up":{"cut":true}`)
}
