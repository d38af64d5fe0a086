package caller

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/golden"
)

// leftLimits admit a body of 8 KB behind another request.
var leftLimits = Limits{HeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, Requests: 4, Bytes: 16 << 10}

// chunked returns a request with a body of a size in one chunk.
func chunked(path, headers string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, headers, size, strings.Repeat("x", size))
}

// leftStates are the states of a connection, by what the caller has sent before it leaves. The
// first request runs.
var leftStates = []struct{ name, sent string }{
	{"no further request", get("/wait/1")},
	{"body with a length, read", post("/wait/1", "body")},
	{"body with a length, in part", "POST /wait/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody"},
	{"body in chunks, in part", "POST /wait/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
	{"last request", "GET /wait/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
	{"last request, more bytes than the buffer", "GET /wait/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 40<<10)},
	{"HTTP/1.0", "GET /wait/1 HTTP/1.0\r\nHost: h\r\n\r\n"},
	{"HTTP/1.0, more bytes than the buffer", "GET /wait/1 HTTP/1.0\r\nHost: h\r\n\r\n" + strings.Repeat("x", 40<<10)},
	{"behind: header in part", get("/wait/1") + "GET /wait/2 HTTP/1.1\r\nHost"},
	{"behind: body with a length, in part", get("/wait/1") + "POST /wait/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nbody"},
	{"behind: body above the limit on bytes", get("/wait/1") + post("/wait/2", strings.Repeat("x", 20<<10))},
	{"behind: small body in chunks", get("/wait/1") + chunked("/wait/2", "", 100)},
	{"behind: body in chunks, larger than the buffer", get("/wait/1") + chunked("/wait/2", "", 12<<10)},
	{"behind: Expect without the body", get("/wait/1") + "POST /wait/2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n"},
	{"behind: Expect with a body larger than the buffer", get("/wait/1") + chunked("/wait/2", "Expect: 100-continue\r\n", 12<<10)},
	{"behind: limit on requests", get("/wait/1") + strings.Repeat(get("/wait/2"), 6)},
	{"behind: limit on requests, buffer full", get("/wait/1") + strings.Repeat(get("/wait/2"), 1000)},
	{"response that waits for an earlier one, buffer full", get("/wait/1") + get("/now/2") + chunked("/wait/3", "", 12<<10)},
}

// leave closes or resets the connection.
func (c *client) leave(how string) {
	c.t.Helper()
	if how == "reset" {
		must.NoError(c.t, c.Conn.(*net.TCPConn).SetLinger(0))
	}
	must.NoError(c.t, c.Close())
}

// TestLeft guards against a caller that has left and is not noticed, so that targets work for nobody,
// and against requests of it that start later.
func TestLeft(t *testing.T) {
	var table strings.Builder
	for _, state := range leftStates {
		for _, how := range []string{"close", "reset"} {
			t.Run(state.name+", "+how, func(t *testing.T) {
				h := newHandler()
				s, address := listen(t, h, leftLimits)
				c := dial(t, address)
				c.send(state.sent)
				time.Sleep(100 * time.Millisecond)
				c.leave(how)
				time.Sleep(400 * time.Millisecond)
				running, begun := h.running.Load(), len(h.list())
				close(h.release) // what is left is answered, and what waits behind it would start
				time.Sleep(100 * time.Millisecond)
				test.Eq(t, 0, running, test.Sprint("requests run half a second after the caller has left"))
				test.Eq(t, begun, len(h.list()), test.Sprint("requests that began later"))
				test.Eq(t, 0, s.Open(), test.Sprint("open connections"))
				_, _ = fmt.Fprintf(&table, "%s, %s: noticed %t, started later %d\n", state.name, how, running == 0, len(h.list())-begun)
			})
		}
	}
	golden.Compare(t, "testdata/left.golden", table.String())
}

// TestStayed guards against a caller that is taken for one that has left because its requests do not
// fit into the buffer.
func TestStayed(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, leftLimits)
	c := dial(t, address)
	c.send(get("/wait/1") + chunked("/now/2", "", 12<<10) + get("/now/3"))
	time.Sleep(5 * leftInterval)
	test.Eq(t, []string{"GET /wait/1 "}, h.list())
	close(h.release)
	var bodies []int
	for range 3 {
		status, body, _ := c.read("POST")
		test.Eq(t, 200, status)
		bodies = append(bodies, len(body))
	}
	test.True(t, slices.Equal([]int{7, 6 + 12<<10, 6}, bodies), test.Sprint(bodies))
}
