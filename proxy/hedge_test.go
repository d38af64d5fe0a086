package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// slowFirst is an Exchanger whose first exchange of a request lasts until it is cancelled
// or for 600 ms. Later ones end at once.
type slowFirst struct {
	mu       sync.Mutex
	calls    int
	canceled bool
	first    model.TargetID
	ended    chan struct{} // closed at the end of the first exchange
}

func (s *slowFirst) Do(ctx context.Context, t *model.Target, _ *fasthttp.Request, resp *fasthttp.Response) exch.Outcome {
	s.mu.Lock()
	s.calls++
	first := s.calls == 1
	if first {
		s.first = t.ID
	}
	s.mu.Unlock()
	out := exch.Outcome{Class: exch.Complete, Status: 200, Written: 1}
	if first {
		defer close(s.ended)
		select {
		case <-ctx.Done():
			s.canceled = true
			return exch.Outcome{Class: exch.Unknown, Canceled: true, Written: 1}
		case <-time.After(600 * time.Millisecond):
		}
	}
	resp.SetBodyString("proof")
	return out
}

func (s *slowFirst) DoNonRepeatable(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response) exch.Outcome {
	return s.Do(ctx, t, req, resp)
}

// TestHedge guards against a second send without or beyond its share, of a request that may
// not be repeated, or to a cold target; against a losing exchange that goes on, or leaves no
// evidence against its target; and against a change where no share is set.
func TestHedge(t *testing.T) {
	share := func(share float64, requests int) *hedge.Set {
		s := hedge.NewSet(hedge.Policy{Share: share, Quantile: 0.95}, func(model.PoolID, bool) {})
		s.CountRequests("p", float64(requests))
		return s
	}
	for _, c := range []struct {
		name     string
		hedges   *hedge.Set
		path     string
		cold     bool
		calls    int
		canceled bool
	}{
		{name: "no setting", path: "/safe", calls: 2},
		{name: "within the share", hedges: share(0.5, 100), path: "/safe", calls: 2, canceled: true},
		{name: "share used up", hedges: share(0.5, 1), path: "/safe", calls: 1},
		{name: "no share", hedges: share(0, 100), path: "/safe", calls: 1},
		{name: "once", hedges: share(0.5, 100), path: "/once", calls: 1},
		{name: "one attempt", hedges: share(0.5, 100), path: "/single", calls: 1},
		{name: "cold target", hedges: share(0.5, 100), path: "/safe", cold: true, calls: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			balancer := place.NewBalancer(place.Location{Region: "r", Domain: "d"})
			var list []*model.Instance
			for _, id := range []model.TargetID{"one", "two"} {
				i := &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: "r", Domain: "d", Slots: 4}}
				if c.cold {
					i.Cold = 60_000
				}
				list = append(list, i)
			}
			balancer.Update(time.Now(), map[model.PoolID][]*model.Instance{"p": list})
			holder := conf.NewHolder()
			route := model.Route{Prefix: "/safe", ID: "safe", Pool: "p", Open: true, Repeat: model.RepeatAlways, Deadline: 2000, Objective: 200, Attempts: 2}
			once, single := route, route
			once.ID, once.Prefix, once.Repeat = "once", "/once", model.RepeatNever
			single.ID, single.Prefix, single.Attempts = "single", "/single", 1
			holder.Install(conf.NewSnapshot(1, &model.Intent{Routes: []model.Route{route, once, single}, Pools: []model.Pool{{ID: "p"}}}))
			exchange := &slowFirst{ended: make(chan struct{})}
			var mu sync.Mutex
			slow := make(map[model.TargetID]int)
			p := New(Dependencies{
				Protocol: protocol, Snapshot: holder.Current, MaxKeyAge: time.Second, ConfigAge: func() time.Duration { return 0 },
				Limiter: unlimited{}, Balancer: balancer, Exchange: exchange, Hedges: c.hedges,
				ReportObservation: func(id model.TargetID, o health.Observation, _ float64) {
					mu.Lock()
					defer mu.Unlock()
					if o == health.Slow {
						slow[id]++
					}
				},
				ReportRequests: func(model.TargetID, uint32, uint32) {},
			})
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, c.path, http.NoBody)
			r.Header.Set(protocol.Request, "id")
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			must.EqOp(t, http.StatusOK, w.Code)
			<-exchange.ended
			time.Sleep(20 * time.Millisecond) // the observation follows the end
			mu.Lock()
			defer mu.Unlock()
			test.EqOp(t, c.calls, exchange.calls)
			test.EqOp(t, c.canceled, exchange.canceled)
			test.Eq(t, map[model.TargetID]int{exchange.first: 1}, slow)
		})
	}
}
