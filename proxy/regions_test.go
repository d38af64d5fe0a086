package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
)

// lineCounter counts the lines of a log that contain a text.
type lineCounter struct {
	text  string
	count atomic.Int32
}

func (c *lineCounter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(c.text)) {
		c.count.Add(1)
	}
	return len(line), nil
}

// newRegions returns targets "near" in the region r of the proxy and "far" in s.
func newRegions(t *testing.T) (*announcers, *lineCounter) {
	t.Helper()
	a := newAnnouncers(t, "near", "far")
	a.instances[1].Region = "s"
	a.list(a.instances...)
	lines := &lineCounter{text: "no target in the allowed regions"}
	a.proxy.log = zerolog.New(lines)
	return a, lines
}

// restrict installs a configuration with allowed regions of the route and the customer.
func (a *announcers) restrict(version model.ConfigVersion, route, customer []model.Region) {
	a.holder.Install(conf.NewSnapshot(version, &model.Intent{
		Pools:     []model.Pool{{ID: "p"}},
		Customers: []model.Customer{{ID: "c", Keys: []model.Key{{ID: "k", Digest: model.DigestOf([]byte("key"))}}, Regions: customer}},
		Routes:    []model.Route{{ID: "open", Host: "127.0.0.1", Prefix: "/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 2000, Objective: 100, Open: true, Regions: route}},
	}))
}

// post sends a request with the key of the customer.
func (a *announcers) post(t *testing.T, body io.Reader) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, a.url+"/", body)
	must.NoError(t, err)
	req.Header.Set("Request", "1")
	req.Header.Set("Key", "key")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// checkRefused checks that a response is a refusal of a request that did not run.
func checkRefused(t *testing.T, resp *http.Response) {
	t.Helper()
	test.Eq(t, 503, resp.StatusCode)
	test.Eq(t, "not-run", resp.Header.Get("Rhubarbdrift-Run"))
	test.NotEq(t, "", resp.Header.Get("Retry-After"))
}

// TestRegionsOfBoth guards against a restriction of the route or of the customer that
// isn't applied, and against a refusal for an empty intersection that says something else.
func TestRegionsOfBoth(t *testing.T) {
	a, lines := newRegions(t)
	near, far := []model.Region{"r"}, []model.Region{"s"}
	for n, c := range []struct {
		route, customer []model.Region
		near, far       bool
	}{{nil, nil, true, true}, {far, nil, false, true}, {nil, far, false, true}, {far, append(near, far...), false, true}, {near, far, false, false}, {near, append(far, near...), true, false}} {
		a.restrict(model.ConfigVersion(n+2), c.route, c.customer)
		var resp *http.Response
		for range 30 {
			resp = a.post(t, nil)
		}
		nearCount, farCount := a.takeArrivals("near"), a.takeArrivals("far")
		test.Eq(t, c.near, nearCount > 0, test.Sprintf("%v", c))
		test.True(t, farCount > 0 == c.far || c.near && c.far, test.Sprintf("%v", c)) // the far target may be unused if both are allowed
		if !c.near && !c.far {
			checkRefused(t, resp)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			test.StrContains(t, string(body), "no region in common")
		}
	}
	test.Eq(t, 1, lines.count.Load())
}

// TestRegionsUnderFailure guards against a send to another region when the only allowed
// target is slow, refuses, or has left.
func TestRegionsUnderFailure(t *testing.T) {
	a, lines := newRegions(t)
	a.restrict(2, []model.Region{"s"}, nil)
	a.announce("far", "Delay", "150ms") // above the objective: a second send is due
	status, _ := a.send(t, 1)
	test.Eq(t, 200, status)
	a.announce("far", "Delay", "")
	a.announce("far", "Shed", "1")
	checkRefused(t, a.post(t, nil))
	test.Eq(t, 0, lines.count.Load())
	a.list(a.instances[0])
	for range 3 {
		checkRefused(t, a.post(t, nil))
	}
	test.Eq(t, 1, lines.count.Load())
	test.Eq(t, 0, a.takeArrivals("near"))
	a.restrict(3, []model.Region{"s"}, nil)
	checkRefused(t, a.post(t, nil))
	test.Eq(t, 2, lines.count.Load())
}

// TestRegionsOfNewest guards against a send by the regions of an older configuration when
// a newer one restricts the route or the customer while the body arrives, and against one
// that lifts the restriction under which the request arrived.
func TestRegionsOfNewest(t *testing.T) {
	a, _ := newRegions(t)
	far, near := []model.Region{"s"}, []model.Region{"r"}
	version := model.ConfigVersion(1)
	for _, c := range []struct{ route, customer, newRoute, newCustomer []model.Region }{
		{nil, nil, far, nil}, {nil, nil, nil, far}, {far, nil, nil, nil}, {nil, far, nil, append(near, far...)},
	} {
		version += 2
		a.restrict(version-1, c.route, c.customer)
		for a.proxy.Running() > 0 {
			time.Sleep(time.Millisecond) // the previous request is answered and about to end
		}
		body, writer := io.Pipe()
		go func() {
			for a.proxy.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond) // the request has its route before the body is awaited
			a.restrict(version, c.newRoute, c.newCustomer)
			_ = writer.Close()
		}()
		test.Eq(t, 200, a.post(t, body).StatusCode)
		test.Eq(t, 0, a.takeArrivals("near"), test.Sprintf("%v", c))
		test.Eq(t, 1, a.takeArrivals("far"))
	}
}

// TestEvacuatedPool guards against a request in flight that an evacuation ends, against a
// send to the evacuated domain, and against a refusal that says something else.
func TestEvacuatedPool(t *testing.T) {
	a, _ := newRegions(t)
	a.restrict(2, nil, nil)
	a.instances[1].Domain = "e"
	a.list(a.instances[1])
	a.announce("far", "Delay", "200ms")
	running := make(chan int)
	go func() { running <- a.post(t, nil).StatusCode }()
	for a.balancer.Evacuation().InFlight["e"] == 0 {
		time.Sleep(time.Millisecond)
	}
	a.balancer.SetEvacuated(map[model.Domain]bool{"e": true})
	resp := a.post(t, nil)
	checkRefused(t, resp)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	test.StrContains(t, string(body), "evacuated")
	test.Eq(t, 200, <-running)
	a.list(a.instances...)
	for range 20 {
		test.Eq(t, 200, a.post(t, nil).StatusCode)
	}
	test.Eq(t, 1, a.takeArrivals("far"))
	a.balancer.HoldRequests(time.Now().Add(time.Minute))
	checkRefused(t, a.post(t, nil))
	a.balancer.HoldRequests(time.Time{})
	a.balancer.SetEvacuated(nil)
	a.list(a.instances[1])
	test.Eq(t, 200, a.post(t, nil).StatusCode)
}
