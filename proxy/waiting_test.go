package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// TestWaitForRoom guards against evidence against a target whose response was slow only
// because this host had no memory for it.
func TestWaitForRoom(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	tp := newTestProxy(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("x", size))
	var bad atomic.Int32
	tp.proxy.deps.ReportObservation = func(_ model.TargetID, o health.Observation, _ float64) {
		if o != health.Good {
			bad.Add(1)
		}
	}
	a := budget.New(budget.Limits{Total: 16 << 20, Caller: 16 << 20, Connection: 16 << 20})
	other := budget.NewHolder(a.NewOwner("other"), budget.Responses, nil)
	_, ok := other.Reserve(time.Now(), 14<<20+512<<10)
	must.True(t, ok)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := caller.New(tp.proxy, caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 4, Bytes: 8 << 10}, caller.WithAccount(a))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	time.AfterFunc(700*time.Millisecond, other.Release)
	_, _ = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: r\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	test.Eq(t, http.StatusOK, resp.StatusCode)
	got, err := io.Copy(io.Discard, resp.Body)
	test.NoError(t, err)
	test.Eq(t, size, got)
	test.Eq(t, 0, bad.Load())
}
