package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// TestResponsesBehind guards against responses that wait for memory which the later
// responses of the same connection hold until these were written.
func TestResponsesBehind(t *testing.T) {
	const size, count = 1 << 20, 16
	tp := newTestProxy(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if r.Header.Get("Request") == "r0" {
						time.Sleep(300 * time.Millisecond)
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: "+r.Header.Get("Request")+fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("x", size))
				}
			}()
		}
	}()
	balancer := place.NewBalancer(place.Location{Region: "r", Domain: "d"})
	balancer.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": {{Pool: "p", Target: model.Target{ID: "one", Address: ln.Addr().String(), Region: "r", Domain: "d", Slots: 64}}}})
	tp.proxy.deps.Balancer = balancer
	a := budget.New(budget.Limits{Total: 64 << 20, Caller: 64 << 20, Connection: 9 << 20})
	cl, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := caller.New(tp.proxy, caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 16, Bytes: 256 << 10}, caller.WithAccount(a))
	go func() { _ = s.Serve(cl) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", cl.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	for n := range count {
		_, _ = fmt.Fprintf(c, "GET /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: r%d\r\nKey: key\r\n\r\n", n)
	}
	in := bufio.NewReader(c)
	for n := range count {
		resp, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		got, err := io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		test.Eq(t, http.StatusOK, resp.StatusCode, test.Sprint("request ", n))
		test.Eq(t, int64(size), got)
	}
}
