package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
)

// TestMemory guards against bodies that are read although there is no memory for them, a
// "not run" that is untrue or names no time, and bytes that stay counted after the response.
func TestMemory(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	a := budget.New(budget.Limits{Total: 16 << 20, Caller: 16 << 20, Connection: 16 << 20})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := caller.New(tp.proxy, caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second, Requests: 4, Bytes: 8 << 10}, caller.WithAccount(a))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	transport := new(http.Transport)
	send := func(size int, announced bool) int {
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if !announced {
			body = io.MultiReader(body)
		}
		req, err := http.NewRequest("POST", "http://"+ln.Addr().String()+"/once/", body)
		must.NoError(t, err)
		req.Header.Set("Request", fmt.Sprint("r", size))
		req.Header.Set("Key", "key")
		resp, err := transport.RoundTrip(req)
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			test.NotEq(t, "", resp.Header.Get("Retry-After"))
			test.Eq(t, "not-run", resp.Header.Get("Rhubarbdrift-Run"))
		}
		return resp.StatusCode
	}
	other := budget.NewHolder(a.NewOwner("other"), budget.Bodies, nil)
	_, ok := other.Reserve(time.Now(), 12<<20)
	must.True(t, ok)
	for _, announced := range []bool{true, false} {
		test.Eq(t, http.StatusServiceUnavailable, send(3<<20, announced))
		test.Eq(t, http.StatusOK, send(1000, announced))
	}
	test.Eq(t, int32(2), tp.targetScript.requests.Load())
	other.Release()
	test.Eq(t, http.StatusOK, send(3<<20, true))
	test.Eq(t, http.StatusOK, send(3<<20, false))
	transport.CloseIdleConnections()
	for a.Status().Total > 0 { // until the connections have ended
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkOrdinary measures what the account adds to an ordinary request on a kept
// connection. The metric cpu-ns/op is the processor time of the process, which includes the
// caller and the target.
func BenchmarkOrdinary(b *testing.B) {
	for name, account := range map[string]*budget.Account{"none": nil, "account": budget.New(budget.ForMemory(184 << 20))} {
		b.Run(name, func(b *testing.B) {
			tp := newTestProxy(b, okResponse)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			s := caller.New(tp.proxy, caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 4, Bytes: 8 << 10}, caller.WithAccount(account))
			go func() { _ = s.Serve(ln) }()
			b.Cleanup(func() { _ = s.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			must.NoError(b, err)
			in := bufio.NewReader(c)
			text := "POST /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: id\r\nKey: key\r\nContent-Length: 1000\r\n\r\n" + string(make([]byte, 1000))
			start := processorTime(b)
			for b.Loop() {
				_, _ = io.WriteString(c, text)
				resp, err := http.ReadResponse(in, nil)
				must.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
