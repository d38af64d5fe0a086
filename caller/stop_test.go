package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// gatedConn lets a read begin only when it receives from the gate, as if the reading goroutine
// was not scheduled before.
type gatedConn struct {
	net.Conn
	gate chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(p)
}

// TestArrivedBeforeStop guards against requests that get no response because they arrived
// before a stop closed their connection, but were not read yet.
func TestArrivedBeforeStop(t *testing.T) {
	whole, part := get("/close/2"), "GET /2 HTTP/1.1\r\n"
	refuse := (*conn).refuseIncomplete
	closeIdle := func(c *conn) { c.closeIfIdle(false) }
	closeSilent := func(c *conn) { c.closeIfIdle(true) }
	for name, tt := range map[string]struct {
		earlier bool // a request was answered before
		arrived string
		stop    func(*conn)
		status  int
	}{
		"first, whole":           {false, whole, refuse, 200},
		"first, part":            {false, part, refuse, 503},
		"next, whole":            {true, whole, refuse, 200},
		"next, part":             {true, part, refuse, 503},
		"nothing":                {true, "", refuse, 0},
		"first, silent for long": {false, whole, closeSilent, 200},
		"next, idle":             {true, whole, closeIdle, 200},
		"nothing, idle":          {true, "", closeIdle, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			s := New(newHandler(), testLimits)
			t.Cleanup(func() { _ = s.Close() })
			caller := dial(t, ln.Addr().String())
			nc, err := ln.Accept()
			must.NoError(t, err)
			gate := make(chan struct{}, 1)
			if tt.earlier {
				gate <- struct{}{}
			}
			s.open(&gatedConn{nc, gate})
			if tt.earlier {
				caller.send(get("/1"))
				status, _, _ := caller.read("GET")
				must.Eq(t, 200, status)
			}
			c := s.all()[0]
			eventually(t, func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.phase == waiting && len(c.queue) == 0
			})
			caller.send(tt.arrived)
			time.Sleep(20 * time.Millisecond) // until the system has received it
			tt.stop(c)
			close(gate)
			status, _, closes := caller.read("GET")
			test.Eq(t, tt.status, status)
			test.True(t, closes)
			eventually(t, func() bool { return s.Open() == 0 })
		})
	}
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

func (l *pipeListener) dial(t *testing.T) *client {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	must.NoError(t, ours.SetDeadline(time.Now().Add(10*time.Second)))
	l.conns <- theirs
	return &client{Conn: ours, t: t, in: bufio.NewReader(ours)}
}

// TestShutdown guards against requests that a stop leaves without a response, on every
// kind of connection.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandler()
		s := New(h, testLimits)
		ln := newPipeListener()
		go func() { _ = s.Serve(ln) }()
		t.Cleanup(func() { _ = s.Close() })
		idle, silent, running, head, half := ln.dial(t), ln.dial(t), ln.dial(t), ln.dial(t), ln.dial(t)
		idle.send(get("/1"))
		idle.read("GET")
		running.send(get("/wait/2") + get("/wait/3"))
		half.send("POST /4 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		eventually(t, func() bool { return h.running.Load() == 3 })
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- s.Shutdown(ctx) }()
		status, _, _ := idle.read("GET")
		test.Eq(t, 0, status)
		time.Sleep(400 * time.Millisecond)
		silent.send(get("/close/5")) // as a handler does during a stop
		head.send("GET /6 HTTP/1.1\r\n")
		_, body, closes := silent.read("GET")
		test.Eq(t, "/close/5true", fmt.Sprint(body, closes))
		for _, c := range []*client{head, half} {
			status, _, closes = c.read("GET")
			test.Eq(t, "503 true", fmt.Sprint(status, closes))
		}
		close(h.release)
		for _, want := range []string{"/wait/2", "/wait/3"} {
			status, body, _ = running.read("GET")
			test.Eq(t, 200, status)
			test.Eq(t, want, body)
		}
		for _, c := range []*client{running, head, half, silent} {
			_ = c.Close()
		}
		test.NoError(t, <-ended)
	})
}

// TestShutdownTCP guards against connections that a stop does not accept, or does not close,
// where the system accepts connections ahead of the server.
func TestShutdownTCP(t *testing.T) {
	h := newHandler()
	s, address := listen(t, h, testLimits)
	idle, running := dial(t, address), dial(t, address)
	idle.send(get("/1"))
	idle.read("GET")
	running.send(get("/last/2"))
	eventually(t, func() bool { return h.running.Load() == 1 })
	opened := dial(t, address)
	opened.send(get("/last/3"))
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	status, _, _ := idle.read("GET")
	test.Eq(t, 0, status)
	close(h.release)
	for path, c := range map[string]*client{"/last/2": running, "/last/3": opened} {
		status, body, closes := c.read("GET")
		test.Eq(t, "200"+path+"true", fmt.Sprint(status, body, closes))
		_ = c.Close()
	}
	test.NoError(t, <-ended)
	_, err := net.Dial("tcp", address)
	test.Error(t, err)
}
