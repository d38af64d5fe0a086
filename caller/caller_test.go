package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var testLimits = Limits{HeaderBytes: 4 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second, Requests: 4, Bytes: 8 << 10}

// handler records the requests that it serves. The first segment of the path says
// how: "wait" lasts until release is closed, "last" does so and closes the connection, "turn"
// awaits its turn, "close" closes the connection at once, "unread" leaves the body unread, and "panic" panics.
type handler struct {
	release chan struct{}
	running atomic.Int32
	most    atomic.Int32 // largest value of running
	left    atomic.Int32 // requests whose context ended
	mu      sync.Mutex
	served  []string // method, path and body, in the order in which they began
}

func newHandler() *handler { return &handler{release: make(chan struct{})} }

func (h *handler) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.served...)
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := h.running.Add(1)
	defer h.running.Add(-1)
	for old := h.most.Load(); running > old && !h.most.CompareAndSwap(old, running); old = h.most.Load() {
	}
	kind := strings.Split(r.URL.Path, "/")[1]
	var data []byte
	if kind != "unread" {
		var err error
		if data, err = io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if kind == "turn" && AwaitTurn(r.Context()) != nil {
		return
	}
	h.mu.Lock()
	h.served = append(h.served, r.Method+" "+r.URL.Path+" "+string(data))
	h.mu.Unlock()
	switch kind {
	case "wait", "last":
		select {
		case <-h.release:
		case <-r.Context().Done():
			h.left.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	switch kind {
	case "close", "last":
		w.Header().Set("Connection", "close")
	case "panic":
		panic("test")
	}
	_, _ = io.WriteString(w, r.URL.Path+string(data))
}

// listen serves the handler and returns the server and its address.
func listen(t *testing.T, h http.Handler, limits Limits) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(h, limits)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, ln.Addr().String()
}

// client is a caller's connection.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{Conn: c, t: t, in: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(c.t, err)
}

// read returns the status and body of the next response and whether it closes the
// connection. Status 0 means that the connection has ended.
func (c *client) read(method string) (status int, body string, closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return 0, "", true
	}
	data, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return resp.StatusCode, string(data), resp.Close
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// eventually waits until the condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold after 5 s")
		}
	}
}

// TestOverlap guards against a request that waits until the one before it was answered,
// and against responses in another order than the requests.
func TestOverlap(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	c := dial(t, address)
	c.send(get("/wait/1") + get("/2") + post("/3", "body"))
	eventually(t, func() bool { return len(h.list()) == 3 })
	close(h.release)
	for _, want := range []string{"/wait/1", "/2", "/3body"} {
		status, body, closes := c.read("GET")
		test.Eq(t, 200, status)
		test.Eq(t, want, body)
		test.False(t, closes)
	}
}

// TestAnyCut guards against requests that are read differently when their bytes arrive in
// two parts.
func TestAnyCut(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	text := get("/1") + post("/2", "body") + "\r\nPUT /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" + get("/4")
	for cut := range text {
		c := dial(t, address)
		c.send(text[:cut])
		time.Sleep(200 * time.Microsecond)
		c.send(text[cut:])
		for _, want := range []string{"/1", "/2body", "/3abc", "/4"} {
			status, body, _ := c.read("GET")
			must.Eq(t, 200, status)
			must.Eq(t, want, body)
		}
		_ = c.Close()
	}
}

// TestLeaves guards against requests that go on after their caller closed the connection,
// with more requests in advance than may be worked on.
func TestLeaves(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	c := dial(t, address)
	c.send(strings.Repeat(get("/wait/1"), 8))
	eventually(t, func() bool { return len(h.list()) == testLimits.Requests })
	_ = c.Close()
	eventually(t, func() bool { return h.left.Load() == int32(testLimits.Requests) })
	test.Eq(t, testLimits.Requests, len(h.list()))
}

// TestTurn guards against a request that must not be repeated and runs before the earlier
// ones were answered, and against one that runs although the connection ended before.
func TestTurn(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	c := dial(t, address)
	c.send(get("/wait/1") + post("/turn/2", "x") + get("/3"))
	eventually(t, func() bool { return len(h.list()) == 2 })
	time.Sleep(20 * time.Millisecond)
	test.SliceNotContains(t, h.list(), "POST /turn/2 x")
	close(h.release)
	for _, want := range []string{"/wait/1", "/turn/2x", "/3"} {
		_, body, _ := c.read("GET")
		test.Eq(t, want, body)
	}

	h.release = make(chan struct{})
	c = dial(t, address)
	c.send(get("/wait/4") + post("/turn/5", "x"))
	eventually(t, func() bool { return h.running.Load() == 2 })
	_ = c.Close()
	eventually(t, func() bool { return h.running.Load() == 0 })
	test.SliceNotContains(t, h.list(), "POST /turn/5 x")
}

// TestClose guards against a response that closes the connection while another request
// was taken behind it, and against one that is taken after that.
func TestClose(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	c := dial(t, address)
	c.send(get("/last/1") + get("/wait/2"))
	eventually(t, func() bool { return len(h.list()) == 2 })
	close(h.release)
	for n, want := range []string{"/last/1", "/wait/2"} {
		_, body, closes := c.read("GET")
		test.Eq(t, want, body)
		test.Eq(t, n == 1, closes)
	}

	h.release = make(chan struct{})
	c = dial(t, address)
	c.send(get("/wait/3") + get("/close/4"))
	eventually(t, func() bool { return len(h.list()) == 4 && h.running.Load() == 1 })
	time.Sleep(20 * time.Millisecond)
	c.send(get("/5"))
	time.Sleep(20 * time.Millisecond)
	close(h.release)
	for n, want := range []string{"/wait/3", "/close/4"} {
		_, body, closes := c.read("GET")
		test.Eq(t, want, body)
		test.Eq(t, n == 1, closes)
	}
	status, _, _ := c.read("GET")
	test.Eq(t, 0, status)
	test.SliceNotContains(t, h.list(), "GET /5 ")
}

// TestBounds guards against a connection that takes more work than the limits allow.
func TestBounds(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)
	c := dial(t, address)
	const count = 2000
	go func() { _, _ = io.WriteString(c, strings.Repeat(get("/x"), count)) }()
	for range count {
		status, _, _ := c.read("GET")
		must.Eq(t, 200, status)
	}
	test.LessEq(t, int32(testLimits.Requests), h.most.Load())

	// A body that does not fit, or whose size is unknown, waits.
	c = dial(t, address)
	c.send(get("/wait/1") + post("/2", strings.Repeat("x", testLimits.Bytes)))
	time.Sleep(20 * time.Millisecond)
	test.Eq(t, 1, h.running.Load())
	close(h.release)
	for range 2 {
		status, _, _ := c.read("GET")
		test.Eq(t, 200, status)
	}
}

// TestArrival guards against a time of arrival that does not include the wait for earlier
// requests.
func TestArrival(t *testing.T) {
	var ages [6]time.Duration
	var n atomic.Int32
	_, address := listen(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ages[n.Add(1)-1] = time.Since(Arrival(r.Context()))
		time.Sleep(100 * time.Millisecond)
	}), Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second, Requests: 1, Bytes: 1 << 10})
	c := dial(t, address)
	c.send(strings.Repeat(get("/x"), 5))
	for range 5 {
		c.read("GET")
	}
	c.send(get("/x"))
	c.read("GET")
	for i, age := range ages[:5] {
		test.GreaterEq(t, time.Duration(i)*100*time.Millisecond, age)
	}
	test.Less(t, 90*time.Millisecond, ages[5])
}

// TestMalformed guards against requests that two parsers may read differently. None
// reaches the handler, also behind another request, and the connection is closed.
func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"length and chunks": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		"list of lengths":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
		"signed length":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
		"large length":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\nabc", 400},
		"other encoding":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"space and colon":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400},
		"folded":            {"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
		"bare line feed":    {"GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", 400},
		"bare return":       {"GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", 400},
		"only line feeds":   {"GET / HTTP/1.1\nHost: h\n\n", 400},
		"control character": {"GET / HTTP/1.1\r\nHost: h\r\nA: \x00\r\n\r\n", 400},
		"two hosts":         {"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
		"no host":           {"GET / HTTP/1.1\r\n\r\n", 400},
		"no path":           {"GET HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"another version":   {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
		"old with chunks":   {"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"expectation":       {"POST / HTTP/1.1\r\nHost: h\r\nExpect: more\r\nContent-Length: 1\r\n\r\n1", 417},
		"large header":      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
		"noise":             {strings.Repeat("\x16\x03\x01", 3000), 431},
		"header cut":        {"GET / HTTP/1.1\r\nHo", 408},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			_, address := listen(t, h, testLimits)
			for _, before := range []string{"", get("/1")} {
				cl := dial(t, address)
				cl.send(before + c.text + get("/smuggled"))
				if before != "" {
					status, _, closes := cl.read("GET")
					test.Eq(t, 200, status)
					test.False(t, closes)
				}
				if name == "header cut" {
					cl = dial(t, address)
					cl.send(c.text)
				}
				status, _, closes := cl.read("GET")
				test.Eq(t, c.status, status)
				test.True(t, closes)
				status, _, _ = cl.read("GET")
				test.Eq(t, 0, status)
			}
			for _, request := range h.list() {
				test.Eq(t, "GET /1 ", request)
			}
		})
	}
}

// TestForms guards the forms of requests and responses that have rules of their own.
func TestForms(t *testing.T) {
	h := newHandler()
	_, address := listen(t, h, testLimits)

	c := dial(t, address)
	c.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/2"))
	status, body, _ := c.read("HEAD")
	test.Eq(t, "200 ", fmt.Sprint(status, " ", body))
	_, body, _ = c.read("GET")
	test.Eq(t, "/2", body)

	c.send("GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/not-taken"))
	_, body, closes := c.read("GET")
	test.Eq(t, "/3true", fmt.Sprint(body, closes))

	c = dial(t, address)
	c.send("GET /4 HTTP/1.0\r\n\r\n" + get("/not-taken"))
	_, body, closes = c.read("GET")
	test.Eq(t, "/4true", fmt.Sprint(body, closes))

	// A body that was not read is dropped if it is short, else the connection ends.
	c = dial(t, address)
	c.send(post("/unread/5", "body") + get("/6"))
	for _, want := range []string{"/unread/5", "/6"} {
		_, body, closes = c.read("GET")
		test.Eq(t, want+"false", fmt.Sprint(body, closes))
	}
	c.send(fmt.Sprintf("POST /unread/7 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxDiscarded+1))
	_, body, closes = c.read("GET")
	test.Eq(t, "/unread/7true", fmt.Sprint(body, closes))

	// The permission to send a body comes after the earlier responses.
	c = dial(t, address)
	c.send(get("/wait/8") + "POST /9 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	close(h.release)
	_, body, _ = c.read("GET")
	test.Eq(t, "/wait/8", body)
	status, _, _ = c.read("GET")
	test.Eq(t, 100, status)
	c.send("body" + "GET /10 HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n")
	for _, want := range []string{"/9body", "/10"} {
		_, body, _ = c.read("GET")
		test.Eq(t, want, body)
	}

	// Empty lines after a request are no beginning of the next one.
	c = dial(t, address)
	c.send(post("/13", "body") + "\r\n")
	_, body, _ = c.read("GET")
	test.Eq(t, "/13body", body)
	time.Sleep(testLimits.HeaderTimeout + 100*time.Millisecond)
	c.send("\r\n" + get("/14"))
	_, body, _ = c.read("GET")
	test.Eq(t, "/14", body)

	// An unexpected error ends one request, and no process.
	c = dial(t, address)
	c.send(get("/11") + get("/panic/12"))
	_, body, _ = c.read("GET")
	test.Eq(t, "/11", body)
	status, _, closes = c.read("GET")
	test.Eq(t, "500 true", fmt.Sprint(status, closes))
	test.SliceNotContains(t, h.list(), "GET /not-taken ")
}

// TestLargeHeader guards against a header that is refused or lost because it is larger than
// the buffer with which a connection begins, alone, in parts or behind another request.
func TestLargeHeader(t *testing.T) {
	h := newHandler()
	limits := testLimits
	limits.HeaderBytes = 16 << 10
	_, address := listen(t, h, limits)
	large := "GET /large HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 15<<10) + "\r\n\r\n"
	for _, parts := range [][]string{{large}, {large[:5000], large[5000:]}, {large[:3], large[3:]}, {get("/wait/1") + large}} {
		c := dial(t, address)
		for _, part := range append(parts, get("/after")) {
			c.send(part)
			time.Sleep(5 * time.Millisecond)
		}
		if len(parts) == 1 && parts[0] != large {
			close(h.release)
			c.read("GET")
		}
		for _, want := range []string{"/large", "/after"} {
			status, body, _ := c.read("GET")
			must.Eq(t, 200, status)
			test.Eq(t, want, body)
		}
	}
}

// TestIdle guards against connections that are closed too early or never.
func TestIdle(t *testing.T) {
	h := newHandler()
	limits := testLimits
	limits.IdleTimeout = 200 * time.Millisecond
	_, address := listen(t, h, limits)
	c := dial(t, address)
	c.send(get("/wait/1"))
	time.Sleep(300 * time.Millisecond) // longer than the idle timeout
	close(h.release)
	status, _, _ := c.read("GET")
	test.Eq(t, 200, status)
	time.Sleep(150 * time.Millisecond)
	c.send(get("/2"))
	status, _, _ = c.read("GET")
	test.Eq(t, 200, status)
	start := time.Now()
	status, _, _ = c.read("GET")
	test.Eq(t, 0, status)
	test.Between(t, 150*time.Millisecond, time.Since(start), 2*time.Second)
}

// FuzzRequests looks for bytes that are read as other requests when they arrive in two
// parts, and for any that end the process.
func FuzzRequests(f *testing.F) {
	f.Add(get("/1")+post("/2", "body")+get("/3"), 30)
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"+get("/2"), 60)
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 50)
	f.Add("GET / HTTP/1.1\nHost: h\n\n\r\n\r\n"+get("/2"), 10)
	f.Fuzz(func(t *testing.T, data string, cut int) {
		if strings.Contains(data, "100-") || strings.Contains(data, "wait") || len(data) > 2000 {
			return // such a caller would wait for the server
		}
		cut = min(max(cut, 0), len(data))
		test.Eq(t, served(t, data), served(t, data[:cut], data[cut:]))
	})
}

// served returns the requests that the handler gets from the parts, which are sent one
// after the other on one connection.
func served(t *testing.T, parts ...string) []string {
	t.Helper()
	h := newHandler()
	limits := testLimits
	limits.Requests = 1
	limits.HeaderTimeout = 20 * time.Millisecond
	limits.IdleTimeout = 20 * time.Millisecond
	s := New(h, limits)
	ours, theirs := net.Pipe()
	ended := make(chan struct{})
	go func() { newConn(s, theirs).serve(); close(ended) }()
	go func() { _, _ = io.Copy(io.Discard, ours) }()
	for _, part := range parts {
		if _, err := io.WriteString(ours, part); err != nil {
			break
		}
	}
	<-ended
	_ = ours.Close()
	return h.list()
}
