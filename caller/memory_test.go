package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/budget"
)

// TestConnectionLimit guards against new callers that are kept out by idle connections or
// unfinished headers, and against the end of a request to make room.
func TestConnectionLimit(t *testing.T) {
	limits := testLimits
	limits.Connections, limits.HeaderTimeout, limits.IdleTimeout = 4, 10*time.Second, 10*time.Second
	h := newHandler()
	s, address := listen(t, h, limits)
	at := func(path string) *client {
		c := dial(t, address)
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
		return c
	}
	served := at("/wait/1")
	for h.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		dial(t, address).send("GET /unfinished HTTP/1.1\r\n")
	}
	time.Sleep(headPatience + 100*time.Millisecond)
	for range 10 { // each leaves an idle connection
		resp, err := http.ReadResponse(at("/now").in, nil)
		must.NoError(t, err)
		test.Eq(t, http.StatusOK, resp.StatusCode)
		test.LessEq(t, limits.Connections, s.Open())
	}
	close(h.release)
	resp, err := http.ReadResponse(served.in, nil)
	must.NoError(t, err)
	test.Eq(t, http.StatusOK, resp.StatusCode)
}

// TestUnreadResponse guards against a response that a caller does not read and that keeps
// its memory while memory is short, and against one that looks complete after the host has
// given it up.
func TestUnreadResponse(t *testing.T) {
	const size = 40 << 20
	a := budget.New(budget.Limits{Total: 80 << 20, Caller: 80 << 20, Connection: 80 << 20})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		memory := budget.NewHolder(Owner(r.Context()), budget.Responses, func() { Abort(r.Context()) })
		_, ok := memory.Reserve(time.Now(), size)
		test.True(t, ok)
		w.(interface {
			Deliver(budget.Segments, *budget.Holder)
		}).Deliver(budget.Of(bytes.Repeat([]byte("x"), size)), memory)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(handler, Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 4, Bytes: 8 << 10}, WithAccount(a))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	unread := dial(t, ln.Addr().String())
	unread.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(unread.in, nil)
	must.NoError(t, err)
	next := budget.NewHolder(a.NewOwner("next"), budget.Bodies, nil)
	for ok := false; !ok; time.Sleep(50 * time.Millisecond) {
		_, ok = next.Reserve(time.Now(), 60<<20)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	test.Error(t, err, test.Sprint("the response looks complete"))
	for s.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	next.Release()
	test.Eq(t, int64(0), a.Status().Total)
}

// TestMemoryOfIdle guards against new callers that are turned away although idle connections
// were closed to give them memory.
func TestMemoryOfIdle(t *testing.T) {
	a := budget.New(budget.Limits{Total: 4 * budget.ConnectionBytes, Caller: 1 << 20, Connection: 1 << 20})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(newHandler(), Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 4, Bytes: 8 << 10}, WithAccount(a))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	for range 20 { // each leaves an idle connection
		c := dial(t, ln.Addr().String())
		c.send("GET /now HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(c.in, nil)
		must.NoError(t, err)
		test.Eq(t, http.StatusOK, resp.StatusCode)
		time.Sleep(5 * time.Millisecond)
	}
}
