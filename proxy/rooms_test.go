package proxy

import (
	"bufio"
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

// halfResponse is the size of a response of which a target sends a half at first.
const halfResponse = 1 << 20

// newHalfProxy returns a test proxy within an account, and the address of its server. The
// first request to its targets gets a half of a response, and the rest once release is
// closed. Other requests get a short response.
func newHalfProxy(t *testing.T, release <-chan struct{}) (*testProxy, *budget.Account, string) {
	t.Helper()
	tp := newTestProxy(t)
	requests := make(chan int, 10)
	for n := range cap(requests) {
		requests <- n
	}
	var instances []*model.Instance
	for _, id := range []model.TargetID{"a", "b", "c", "d", "e", "f", "g", "h"} {
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
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					head := "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: " + r.Header.Get("Request") + "\r\nContent-Length: "
					if <-requests > 0 {
						_, _ = io.WriteString(c, head+"2\r\n\r\nok")
						return
					}
					half := strings.Repeat("x", halfResponse/2)
					_, _ = io.WriteString(c, head+"1048576\r\n\r\n"+half)
					<-release
					_, _ = io.WriteString(c, half)
				}()
			}
		}()
		instances = append(instances, &model.Instance{Pool: "p", Target: model.Target{ID: id, Address: ln.Addr().String(), Region: "r", Domain: "d", Slots: 4}})
	}
	balancer := place.NewBalancer(place.Location{Region: "r", Domain: "d"})
	balancer.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": instances})
	tp.proxy.deps.Balancer = balancer
	a := budget.New(budget.Limits{Total: 16 << 20, Caller: 16 << 20, Connection: 16 << 20})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := caller.New(tp.proxy, caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Requests: 4, Bytes: 8 << 10}, caller.WithAccount(a))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return tp, a, ln.Addr().String()
}

// getSafe sends a request that may be repeated and returns the status.
func getSafe(t *testing.T, address string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/safe/", http.NoBody)
	must.NoError(t, err)
	req.Header.Set("Request", "id")
	req.Header.Set("Key", "key")
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitEmpty waits until nothing is held.
func awaitEmpty(t *testing.T, a *budget.Account) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); a.Status().Total > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("still held: %v", a.Status().Held))
	}
}

// TestLoserRoom guards against bytes of a losing exchange that are not counted while it goes
// on, or that stay counted after its end.
func TestLoserRoom(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	_, a, address := newHalfProxy(t, release)
	test.Eq(t, http.StatusOK, getSafe(t, address))
	test.GreaterEq(t, int64(halfResponse), a.Status().Held[budget.Responses]) // the other may not be released yet
	close(release)
	awaitEmpty(t, a)
}

// panicsOnRetry is a Limiter that panics when a request is to be hedged.
type panicsOnRetry struct{ unlimited }

func (panicsOnRetry) Retry(model.PoolID, float64) bool { panic("no retry") }

// TestPanicReleases guards against the response of an exchange that stays counted, and an
// exchange that goes on, after the handling of its request panicked.
func TestPanicReleases(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	tp, a, address := newHalfProxy(t, release)
	tp.proxy.deps.Limiter = panicsOnRetry{}
	test.Eq(t, http.StatusInternalServerError, getSafe(t, address))
	awaitEmpty(t, a)
}
