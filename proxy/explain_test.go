package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// TestExplain guards against an explanation that sends or counts anything, or that names
// another refusal than a caller would get.
func TestExplain(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	scope := tally.NewTestScope("", nil)
	tp.proxy.metrics = newMetrics(scope)
	ask := func(path, key string, bytes int64) Explanation {
		q := Query{Method: http.MethodGet, Host: "127.0.0.1:1", Path: path, Bytes: bytes}
		if key != "" {
			q.Digest = model.DigestOf([]byte(key))
		}
		return tp.proxy.Explain(q)
	}
	e := ask("/safe/x?a=b", "key", 100)
	must.Nil(t, e.Refusal)
	test.EqOp(t, "safe", e.Route)
	test.EqOp(t, "c", e.Customer)
	must.Len(t, 1, e.Pools)
	must.Len(t, 2, e.Pools[0].Targets)
	test.EqOp(t, place.StateEligible, e.Pools[0].Targets[0].State)
	test.Nil(t, e.Pools[0].Refusal)
	test.EqOp(t, HedgeExplanation{Possible: true, AfterMs: 500}, e.Pools[0].Hedge)
	test.False(t, ask("/once/x", "key", 0).Pools[0].Hedge.Possible)
	status := func(e Explanation) int {
		must.NotNil(t, e.Refusal)
		return e.Refusal.Status
	}
	test.EqOp(t, http.StatusUnauthorized, status(ask("/safe/x", "wrong", 0)))
	test.EqOp(t, http.StatusUnauthorized, status(ask("/safe/x", "", 0)))
	test.EqOp(t, http.StatusNotFound, status(ask("/none", "key", 0)))
	test.EqOp(t, http.StatusRequestEntityTooLarge, status(ask("/safe/x", "key", defaultMaxBodyBytes+1)))
	tp.proxy.deps.Balancer.SetEvacuated(map[model.Domain]bool{"d": true})
	e = ask("/safe/x", "key", 0)
	must.NotNil(t, e.Pools[0].Refusal)
	test.EqOp(t, http.StatusServiceUnavailable, e.Pools[0].Refusal.Status)
	test.GreaterEq(t, minPlacementDelay.Milliseconds(), e.Pools[0].Refusal.RetryAfterMs)
	tp.age.Store(int64(time.Minute))
	e = ask("/safe/x", "key", 0)
	test.False(t, e.KeysAccepted)
	test.EqOp(t, http.StatusServiceUnavailable, status(e))
	test.EqOp(t, 0, tp.targetScript.requests.Load())
	for name, c := range scope.Snapshot().Counters() {
		test.EqOp(t, 0, c.Value(), test.Sprint(name))
	}
}
