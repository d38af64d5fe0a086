package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

var words = Words{
	Request: "Request", Deadline: "Deadline", Customer: "Customer", Key: "Key",
	KeyOf: func(v string) (string, bool) { return v, v != "" },
	Load:  "Load", LoadOf: func(string) (float64, bool) { return 0, false },
}

// script answers each request of a target by number; an answer of "" closes
// the connection, and "wait" leaves the request without an answer.
type script struct {
	answers  []string
	requests atomic.Int32
	gone     atomic.Bool // the proxy closed a connection on which a request waited
}

func (s *script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n := int(s.requests.Add(1))
		answer := s.answers[min(n, len(s.answers))-1]
		if answer == "wait" {
			_, err := r.ReadByte()
			s.gone.Store(err != nil)
			return
		}
		if answer == "" {
			return
		}
		answer = strings.ReplaceAll(answer, "ID", req.Header.Get("Request"))
		if _, err := io.WriteString(c, answer); err != nil || strings.Contains(answer, "Length: 9") {
			return
		}
	}
}

const (
	whole  = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nproof"
	failed = "HTTP/1.1 500 Error\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
	ran503 = "HTTP/1.1 503 Busy\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
	shed   = "HTTP/1.1 503 Busy\r\nRequest: ID\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"
	other  = "HTTP/1.1 200 OK\r\nRequest: another\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong"
	forged = "HTTP/1.1 200 OK\r\nRequest: ID\r\nContent-Length: 5\r\n\r\nproof"
	part   = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Length: 9\r\n\r\nproof"
	packed = "HTTP/1.1 200 OK\r\nRequest: ID\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nproof"
)

// generous admits everything.
type generous struct{}

func (generous) Admit(time.Time, *model.Customer) (time.Duration, bool) { return 0, true }
func (generous) Cancel(*model.Customer)                                 {}
func (generous) Request(model.PoolID)                                   {}
func (generous) Retry(model.PoolID, float64) bool                       { return true }

// world is a proxy with two targets that follow the same script.
type world struct {
	script *script
	age    atomic.Int64
	holder *conf.Holder
	url    string
}

func newWorld(t *testing.T, answers ...string) *world {
	t.Helper()
	w := &world{script: &script{answers: answers}, holder: conf.NewHolder()}
	field := place.NewField(place.Site{Region: "r", Domain: "d"})
	var list []*model.Instance
	for _, id := range []model.TargetID{"one", "two"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go w.script.serve(c)
			}
		}()
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: id, Address: ln.Addr().String(), Region: "r", Domain: "d", Slots: 4}})
	}
	field.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": list})
	w.install(1, "key")
	p := New(Parts{
		Words: words, Snapshot: w.holder.Current, KeyLimit: 4 * time.Second,
		Age: func() time.Duration { return time.Duration(w.age.Load()) }, Limiter: generous{}, Field: field,
		Exchange: exch.New(exch.WithHeaders(exch.Headers{Deadline: "Deadline", Expect: "Expect", Shed: "Shed", AnyShed: true, Request: "Request", Signature: "Signature"})),
		See:      func(model.TargetID, grade.Sight, float64) {},
		Moved:    func(model.TargetID, uint32, uint32) {},
	})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	w.url = server.URL
	return w
}

// install puts a configuration with one key in force.
func (w *world) install(version model.ConfigVersion, key string) {
	w.holder.Install(conf.Of(version, &model.Intent{
		Customers: []model.Customer{{ID: "c", Rate: 100, Burst: 100, Keys: []model.Key{{ID: "k", Digest: model.DigestOf([]byte(key))}}}},
		Routes: []model.Route{
			{ID: "safe", Host: "127.0.0.1", Prefix: "/safe/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 1000, Attempts: 2},
			{ID: "once", Host: "127.0.0.1", Prefix: "/once/", Pool: "p", Repeat: model.RepeatNever, Deadline: 1000, Attempts: 2},
			{ID: "open", Host: "127.0.0.1", Prefix: "/open/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 1000, Open: true},
		},
		Pools: []model.Pool{{ID: "p"}},
	}))
}

func (w *world) send(ctx context.Context, t *testing.T, path, key string) (status int, body string, header http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+path, strings.NewReader("10"))
	must.NoError(t, err)
	req.Header.Set("Request", "id-1")
	if key != "" {
		req.Header.Set("Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	test.NoError(t, err)
	return resp.StatusCode, string(text), resp.Header
}

// TestOutcomes guards against a request that runs twice although it may not be
// repeated, a "not run" that may be untrue, and an answer that is not the
// target's whole answer to this request.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		answers []string
		status  int
		body    string
		sends   int32
	}{
		{name: "whole", path: "/once/", answers: []string{whole}, status: 200, body: "proof", sends: 1},
		{name: "reset, once", path: "/once/", answers: []string{"", whole}, status: 502, sends: 1},
		{name: "reset, safe", path: "/safe/", answers: []string{"", whole}, status: 200, body: "proof", sends: 2},
		{name: "shed, once", path: "/once/", answers: []string{shed, whole}, status: 200, body: "proof", sends: 2},
		{name: "shed by all", path: "/once/", answers: []string{shed}, status: 503, sends: 2},
		{name: "failed, once", path: "/once/", answers: []string{failed, whole}, status: 500, sends: 1},
		{name: "failed, safe", path: "/safe/", answers: []string{failed, whole}, status: 200, body: "proof", sends: 2},
		{name: "failed twice", path: "/safe/", answers: []string{failed}, status: 500, sends: 2},
		{name: "503 after a run", path: "/once/", answers: []string{ran503, whole}, status: 502, sends: 1},
		{name: "answer to another", path: "/once/", answers: []string{other + whole}, status: 200, body: "proof", sends: 1},
		{name: "only another's", path: "/once/", answers: []string{other + other + other}, status: 502, sends: 1},
		{name: "no signature", path: "/once/", answers: []string{forged}, status: 502, sends: 1},
		{name: "no signature, safe", path: "/safe/", answers: []string{forged, whole}, status: 200, body: "proof", sends: 2},
		{name: "encoded", path: "/once/", answers: []string{packed}, status: 502, sends: 1},
		{name: "truncated, once", path: "/once/", answers: []string{part}, status: 502, sends: 1},
		{name: "truncated, safe", path: "/safe/", answers: []string{part, whole}, status: 200, body: "proof", sends: 2},
		{name: "silent, once", path: "/once/", answers: []string{"wait"}, status: 504, sends: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.answers...)
			status, body, header := w.send(t.Context(), t, c.path, "key")
			test.Eq(t, c.status, status)
			test.Eq(t, c.sends, w.script.requests.Load())
			if c.status == http.StatusOK {
				test.Eq(t, c.body, body)
			} else if c.status != 500 {
				test.Eq(t, "", header.Get("Signature"))
			}
			if c.status == http.StatusServiceUnavailable {
				test.NotEq(t, "", header.Get("Retry-After"))
			}
		})
	}
}

// TestKeys guards against keys that work after they were withdrawn or may have
// been, and against callers who are told that their key is unknown by a daemon
// that may only hold an old configuration.
func TestKeys(t *testing.T) {
	w := newWorld(t, whole)
	status := func(path, key string) int {
		s, _, _ := w.send(t.Context(), t, path, key)
		return s
	}
	test.Eq(t, 200, status("/safe/", "key"))
	test.Eq(t, 401, status("/safe/", "unknown"))
	test.Eq(t, 404, status("/nowhere/", "key"))
	w.age.Store(int64(5 * time.Second))
	test.Eq(t, 503, status("/safe/", "key"))
	test.Eq(t, 503, status("/safe/", "unknown"))
	test.Eq(t, 503, status("/nowhere/", "key"))
	test.Eq(t, 200, status("/open/", ""))
	w.age.Store(0)
	w.install(2, "new")
	w.install(1, "key")
	test.Eq(t, 401, status("/safe/", "key"))
	test.Eq(t, 200, status("/safe/", "new"))
}

// TestLeft guards against a target that goes on working for a caller that left.
func TestLeft(t *testing.T) {
	w := newWorld(t, "wait")
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	status, _, _ := w.send(ctx, t, "/once/", "key")
	test.Eq(t, 0, status)
	limit := time.Now().Add(500 * time.Millisecond)
	for !w.script.gone.Load() && time.Now().Before(limit) {
		time.Sleep(5 * time.Millisecond)
	}
	test.True(t, w.script.gone.Load())
}

// TestSplit guards against parts of a divided route that do not get their share.
func TestSplit(t *testing.T) {
	r := &model.Route{Split: []model.Part{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	n := 0
	got := make(map[model.PoolID]int)
	for range 1000 {
		got[poolOf(r, func(sum int) int { n = (n + 7) % sum; return n })]++
	}
	test.Eq(t, 900, got["a"])
	test.Eq(t, 100, got["b"])
}
