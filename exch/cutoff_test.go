package exch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/golden"
	"rhubarbdrift.example/model"
)

// cutOff is a way in which a target ends a response that has no length.
type cutOff struct {
	name   string
	upload int // size in bytes of the request's body
	read   int // bytes of it that the target reads
	answer string
	pause  time.Duration // between the answer and the end of the connection
	reset  bool          // the connection is reset; otherwise it is closed
}

// run serves one request on the connection.
func (c *cutOff) run(nc *net.TCPConn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReaderSize(nc, 1<<10)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
	}
	_, _ = io.CopyN(io.Discard, r, int64(c.read))
	_, _ = io.WriteString(nc, c.answer)
	time.Sleep(c.pause)
	if c.reset {
		_ = nc.SetLinger(0)
	}
}

const (
	largeUpload = 8 << 20
	smallUpload = 100
)

var cutOffs = []cutOff{
	{name: "reset at once", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", reset: true},
	{name: "reset after 10 ms", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "reset after 30 ms", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 30 * time.Millisecond, reset: true},
	{name: "reset after 200 KB of the upload", upload: largeUpload, read: 200 << 10, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "closed with unread bytes", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond},
	{name: "HTTP/1.0", upload: largeUpload, answer: "HTTP/1.0 200 OK\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "failure", upload: largeUpload, answer: "HTTP/1.1 500 Oops\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "empty body", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\n", pause: 10 * time.Millisecond, reset: true},
	{name: "closed with unread bytes, empty body", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\n", pause: 10 * time.Millisecond},
	{name: "small upload, reset", upload: smallUpload, read: smallUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "small upload, unread bytes", upload: smallUpload, answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "small upload, closed", upload: smallUpload, read: smallUpload, answer: "HTTP/1.1 200 OK\r\n\r\nwhole"},
	{name: "whole upload, closed", upload: largeUpload, read: largeUpload, answer: "HTTP/1.1 200 OK\r\n\r\nwhole"},
	{name: "with a length, reset", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", pause: 10 * time.Millisecond, reset: true},
	{name: "with chunks, reset", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", pause: 10 * time.Millisecond, reset: true},
	{name: "whole with a length, reset", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", pause: 10 * time.Millisecond, reset: true},
}

var earlyAnswers = []cutOff{
	{name: "whole with a length, left open", upload: largeUpload, answer: "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole", pause: 3 * time.Second},
	{name: "no body, left open", upload: largeUpload, answer: "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", pause: 3 * time.Second},
	{name: "with chunks, left open", upload: largeUpload, answer: "HTTP/1.1 403 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", pause: 3 * time.Second},
	{name: "success, read on later", upload: largeUpload, answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", pause: 100 * time.Millisecond},
}

// TestPartNotWhole guards against a part of a response without a length that counts as complete
// because the write of the request met the reset before the read did.
func TestPartNotWhole(t *testing.T) {
	golden.Compare(t, "testdata/cutoff.golden", runCutOffs(t, cutOffs))
}

// TestEarlyAnswer guards against a complete answer that waits for the end of an upload which the
// target does not read.
func TestEarlyAnswer(t *testing.T) {
	golden.Compare(t, "testdata/early.golden", runCutOffs(t, earlyAnswers))
}

// runCutOffs returns a line for each result of the exchanges with a target.
func runCutOffs(t *testing.T, list []cutOff) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	current := make(chan *cutOff, 1)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go (<-current).run(nc.(*net.TCPConn))
		}
	}()
	target := &model.Target{ID: "t", Address: l.Addr().String()}
	var out strings.Builder
	for i := range list {
		c := &list[i]
		const times = 5
		results := make(map[string]int)
		for range times {
			current <- c
			client := New()
			req, resp := new(fasthttp.Request), new(fasthttp.Response)
			req.Header.SetMethod("PUT")
			req.SetRequestURI("/upload")
			req.Header.SetHost("yard.example")
			req.SetBodyRaw(make([]byte, c.upload))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			o := client.Do(ctx, target, req, resp)
			cancel()
			client.Close()
			result := fmt.Sprintf("%s %d", o.Class, o.Status)
			if o.Class == Complete {
				result += fmt.Sprintf(" %q", resp.Body())
			}
			results[result]++
		}
		for result, n := range results {
			_, _ = fmt.Fprintf(&out, "%s: %s, %d times\n", c.name, result, n)
		}
	}
	return out.String()
}
