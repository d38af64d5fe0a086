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

// TestMain fails if goroutines are left after the tests, e.g. of a relay that was
// stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dialThrough opens a connection through the relay at address. It returns the
// caller's end and the target's end, which targetListener accepts.
func dialThrough(t *testing.T, targetListener net.Listener, address string) (callerConn, targetConn net.Conn) {
	callerConn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	targetConn, err = targetListener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = callerConn.Close(), targetConn.Close() })
	return callerConn, targetConn
}

// listen opens a listener on a free port until the test ends.
func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// transfers writes a byte to src and reports whether a byte arrives at dst before
// the read deadline of dst.
func transfers(src, dst net.Conn) bool {
	_, _ = io.WriteString(src, "x")
	var b [1]byte
	_, err := io.ReadFull(dst, b[:])
	return err == nil
}

// TestOneWay guards against a cut that also stops the other direction, that an
// end sees as an error or end of stream, or after which a stream continues with a
// gap. It also checks that frozen data is delivered after the freeze.
func TestOneWay(t *testing.T) {
	targetListener, relayListener := listen(t), listen(t)
	r := New(targetListener.Addr().String())
	done := make(chan error)
	go func() { done <- r.Serve(relayListener) }()
	callerConn, targetConn := dialThrough(t, targetListener, relayListener.Addr().String())
	must.True(t, transfers(callerConn, targetConn))
	must.True(t, transfers(targetConn, callerConn))

	must.NoError(t, r.SetState(LinkState{Down: Direction{Cut: true}}))
	must.True(t, transfers(callerConn, targetConn))
	_, _ = io.WriteString(targetConn, "lost")
	must.NoError(t, callerConn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	test.False(t, transfers(targetConn, callerConn))
	must.NoError(t, r.SetState(LinkState{}))
	must.NoError(t, callerConn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	test.False(t, transfers(targetConn, callerConn))
	must.True(t, transfers(callerConn, targetConn))
	must.NoError(t, targetConn.Close())
	must.NoError(t, callerConn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := callerConn.Read(make([]byte, 1))
	test.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, callerConn.Close())

	callerConn, targetConn = dialThrough(t, targetListener, relayListener.Addr().String())
	must.True(t, transfers(targetConn, callerConn))
	must.NoError(t, r.SetState(LinkState{Up: Direction{Freeze: true}}))
	must.True(t, transfers(targetConn, callerConn))
	_, _ = io.WriteString(callerConn, "held")
	must.NoError(t, callerConn.Close())
	must.NoError(t, r.SetState(LinkState{Up: Direction{Delay: 1}}))
	data, err := io.ReadAll(targetConn)
	test.NoError(t, err)
	test.Eq(t, "held", string(data))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	test.NoError(t, r.Stop(ctx))
	test.NoError(t, <-done)
	test.Zero(t, r.Stats().Connections)
}

// TestHandler guards against misspelled or invalid link states that are accepted.
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
