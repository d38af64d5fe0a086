package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/loopip"
)

// TestLateInStop guards against requests that arrive during a planned stop and are handled
// but not answered, on each kind of connection.
func TestLateInStop(t *testing.T) {
	const work, drain = 300 * time.Millisecond, time.Second
	var running atomic.Int32
	var mu sync.Mutex
	handled := make(map[string]int)
	ip, release, err := loopip.Reserve()
	must.NoError(t, err)
	defer release()
	address := net.JoinHostPort(ip, strconv.Itoa(loopip.FirstPort))
	s := &FastHTTP{Name: "callers", Address: address, Log: zerolog.Nop(), Server: &fasthttp.Server{
		CloseOnShutdown: true,
		ReadTimeout:     5 * time.Second,
		Handler: func(c *fasthttp.RequestCtx) {
			running.Add(1)
			defer running.Add(-1)
			mu.Lock()
			handled[string(c.Path())]++
			mu.Unlock()
			time.Sleep(work)
		},
	}}
	s.Wait = func(ctx context.Context) error {
		for running.Load() > 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	var first net.Conn
	for first == nil {
		first, _ = net.Dial("tcp", address)
	}
	_ = first.Close()

	var callers sync.WaitGroup
	var answered atomic.Int32
	begin := time.Now()
	for n := range 60 {
		for _, kind := range []string{"silent", "new", "half"} {
			callers.Go(func() {
				path := fmt.Sprintf("/%s/%d", kind, n)
				text := "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
				at := begin.Add(time.Duration(n) * 50 * time.Millisecond)
				var c net.Conn
				if kind != "new" {
					c, _ = net.Dial("tcp", address)
				}
				if kind == "half" && c != nil {
					_, _ = io.WriteString(c, text[:9])
					text = text[9:]
				}
				time.Sleep(time.Until(at))
				if kind == "new" {
					c, _ = net.Dial("tcp", address)
				}
				if c == nil {
					return // the host does not listen any more
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, text)
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				mu.Lock()
				runs := handled[path]
				mu.Unlock()
				if err != nil {
					test.Eq(t, 0, runs, test.Sprint(path))
					return
				}
				_ = resp.Body.Close()
				test.Eq(t, 1, runs)
				answered.Add(1)
			})
		}
	}
	time.Sleep(drain)
	stopCtx, cancelStop := context.WithTimeout(t.Context(), time.Minute)
	defer cancelStop()
	test.NoError(t, s.Stop(stopCtx))
	cancel()
	test.NoError(t, <-ended)
	callers.Wait()
	test.Greater(t, 60, answered.Load())
}
