package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// announcers are targets whose responses carry headers that the test sets, behind one
// proxy.
type announcers struct {
	balancer  *place.Balancer
	pool      model.Pool
	instances []*model.Instance
	holder    *conf.Holder
	proxy     *Proxy
	url       string

	mu       sync.Mutex
	headers  map[model.TargetID]http.Header // response headers; a target with Shed refuses
	arrivals map[model.TargetID]int
}

func newAnnouncers(t *testing.T, ids ...model.TargetID) *announcers {
	t.Helper()
	a := &announcers{headers: make(map[model.TargetID]http.Header), arrivals: make(map[model.TargetID]int)}
	a.balancer = place.NewBalancer(place.Location{Region: "r", Domain: "d"}, place.WithPools(func(model.PoolID) (*model.Pool, bool) { return &a.pool, true }))
	for _, id := range ids {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.answer(id, w, r) }))
		t.Cleanup(server.Close)
		a.instances = append(a.instances, &model.Instance{Pool: "p", StartedAt: 1000,
			Target: model.Target{ID: id, Address: strings.TrimPrefix(server.URL, "http://"), Region: "r", Domain: "d", Slots: 4}})
	}
	a.list(a.instances...)
	a.holder = conf.NewHolder()
	a.holder.Install(conf.NewSnapshot(1, &model.Intent{Pools: []model.Pool{{ID: "p"}},
		Routes: []model.Route{{ID: "open", Host: "127.0.0.1", Prefix: "/", Pool: "p", Repeat: model.RepeatAlways, Deadline: 2000, Open: true}}}))
	a.proxy = New(Dependencies{
		Protocol: protocol, Snapshot: a.holder.Current, MaxKeyAge: time.Hour, ConfigAge: func() time.Duration { return 0 }, Limiter: unlimited{}, Balancer: a.balancer,
		Exchange: exch.New(exch.WithHeaders(exch.Headers{Deadline: "Deadline", Expect: "Expected", Shed: "Shed", ShedAnyStatus: true, Request: "Request", Signature: "Signature",
			Drain: "Leaving", Limit: "Limit", RetryAfter: "Retry-After"})),
		ReportObservation: func(model.TargetID, health.Observation, float64) {},
		ReportRequests:    func(model.TargetID, uint32, uint32) {},
		ReportLeaving:     func(model.TargetID, int64) {},
		ReportLimit:       func(model.TargetID, bool, model.Rate) {},
	})
	server := httptest.NewServer(a.proxy)
	t.Cleanup(server.Close)
	a.url = server.URL
	return a
}

// list replaces the list of targets.
func (a *announcers) list(instances ...*model.Instance) {
	a.balancer.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": instances})
}

func (a *announcers) answer(id model.TargetID, w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.arrivals[id]++
	for name, values := range a.headers[id] {
		w.Header()[name] = values
	}
	a.mu.Unlock()
	if delay, err := time.ParseDuration(w.Header().Get("Delay")); err == nil {
		time.Sleep(delay)
	}
	w.Header().Set("Request", r.Header.Get("Request"))
	if w.Header().Get("Shed") != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Signature", "s")
}

// announce sets a response header of a target.
func (a *announcers) announce(id model.TargetID, name, value string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headers[id] == nil {
		a.headers[id] = make(http.Header)
	}
	a.headers[id].Set(name, value)
}

// takeArrivals returns and clears the number of requests that reached a target.
func (a *announcers) takeArrivals(id model.TargetID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.arrivals[id]
	a.arrivals[id] = 0
	return n
}

// send sends requests one after another and returns the status and headers of the last
// response.
func (a *announcers) send(t *testing.T, count int) (status int, header http.Header) {
	t.Helper()
	for n := range count {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, a.url+"/", nil)
		must.NoError(t, err)
		req.Header.Set("Request", fmt.Sprint(n))
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		status, header = resp.StatusCode, resp.Header
	}
	return status, header
}

// sendUntilUsed sends requests until one has reached the target.
func (a *announcers) sendUntilUsed(t *testing.T, id model.TargetID) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if a.send(t, 1); a.takeArrivals(id) > 0 {
			return
		}
	}
	t.Fatalf("no request reached target %s", id)
}

// TestSentToLeavingTarget guards against requests to a target that said that it leaves.
func TestSentToLeavingTarget(t *testing.T) {
	a := newAnnouncers(t, "one", "two")
	a.announce("one", "Leaving", "1")
	a.sendUntilUsed(t, "one")
	status, _ := a.send(t, 40)
	test.Eq(t, http.StatusOK, status)
	test.Eq(t, 0, a.takeArrivals("one"))

	a.list(a.instances[1]) // the entry lapses and is renewed
	a.list(a.instances...)
	a.send(t, 40)
	test.Eq(t, 0, a.takeArrivals("one"))

	restarted := *a.instances[0]
	restarted.StartedAt++
	a.announce("one", "Leaving", "0")
	a.list(&restarted, a.instances[1])
	a.sendUntilUsed(t, "one")
}

// TestHeldForLeavingPool guards against a request that waits although all targets leave.
func TestHeldForLeavingPool(t *testing.T) {
	a := newAnnouncers(t, "one")
	a.announce("one", "Leaving", "1")
	a.sendUntilUsed(t, "one")
	started := time.Now()
	status, header := a.send(t, 1)
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.NotEq(t, "", header.Get("Retry-After"))
	test.Less(t, 500*time.Millisecond, time.Since(started))
}

// TestSentToPausingTarget guards against requests to a target within its Retry-After, and none after it.
func TestSentToPausingTarget(t *testing.T) {
	const pause = time.Second
	a := newAnnouncers(t, "one")
	a.announce("one", "Shed", "1")
	a.announce("one", "Retry-After", "1")
	before := time.Now() // of the target's answer
	a.sendUntilUsed(t, "one")
	for asked := time.Now(); time.Since(asked) < pause-100*time.Millisecond; {
		started := time.Now()
		status, header := a.send(t, 1)
		test.Eq(t, http.StatusServiceUnavailable, status)
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		must.NoError(t, err)
		test.Between(t, (pause - time.Since(before)).Seconds(), wait, 2*pause.Seconds())
		test.Less(t, 500*time.Millisecond, time.Since(started))
		time.Sleep(10 * time.Millisecond)
	}
	test.Eq(t, 0, a.takeArrivals("one"))
	a.sendUntilUsed(t, "one")
}

// TestSentToColdTarget guards against requests to a cold target above its limit, and against
// a Retry-After after which the target is still cold or has long been warm.
func TestSentToColdTarget(t *testing.T) {
	a := newAnnouncers(t, "one")
	a.pool.ColdRate = new(model.Rate(0))
	a.instances[0].HasCold, a.instances[0].Cold, a.instances[0].Revision = true, 1500, 1
	a.list(a.instances...)
	a.balancer.SetFleetShare(time.Now(), 0) // this host just started
	const coldTime, usualTime = 1500 * time.Millisecond, 300 * time.Millisecond
	cold := time.Now()
	for time.Since(cold) < coldTime-100*time.Millisecond {
		before := max(coldTime-time.Since(cold), usualTime)
		status, header := a.send(t, 1)
		test.Eq(t, http.StatusServiceUnavailable, status)
		test.Eq(t, "not-run", header.Get("Rhubarbdrift-Run"))
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		must.NoError(t, err)
		test.Between(t, (coldTime - time.Since(cold)).Seconds(), wait, 2*before.Seconds()+0.01)
		time.Sleep(20 * time.Millisecond)
	}
	test.Eq(t, 0, a.takeArrivals("one"))
	a.sendUntilUsed(t, "one")
	test.GreaterEq(t, coldTime, time.Since(cold))
}

// TestListUpdatedWhileSending guards against an entry that is read while the list is updated (race detector).
func TestListUpdatedWhileSending(t *testing.T) {
	a := newAnnouncers(t, "one", "two")
	ended := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			default:
			}
			changed := make([]*model.Instance, len(a.instances))
			for i, instance := range a.instances {
				c := *instance
				c.Slots = model.Slots(4 + n%2)
				changed[i] = &c
			}
			a.list(changed...)
		}
	})
	a.send(t, 100)
	close(ended)
	updates.Wait()
}
