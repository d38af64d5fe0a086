package caller

import (
	"net"
	"testing"
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
