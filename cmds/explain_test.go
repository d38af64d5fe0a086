package cmds

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/golden"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/proxy"
)

// TestExplain guards against changes of the output, and against a key that leaves the
// program.
func TestExplain(t *testing.T) {
	const key = "secret-key"
	t.Setenv(credentialVariable, key)
	answer := proxy.Explanation{
		Version: 7, AgeMs: 310, KeysAccepted: true, Route: "orders", Customer: "c", Rank: 1, Regions: []model.Region{"north"},
		Limit: &limit.State{Kind: "bucket", Rate: 20, Burst: 40, Held: 3.5, Capacity: 32, Admits: 0.25, RetryAfterMs: 625},
		Pools: []proxy.PoolExplanation{
			{Pool: "a", Weight: 9, Urgent: true, Hedge: proxy.HedgeExplanation{Possible: true, AfterMs: 240}, Targets: []place.TargetExplanation{
				{ID: "t-1", State: place.StateEligible, Distance: "domain", Load: 1.6, Slots: 4, Risk: 0.012, Cost: place.Cost{Work: 0.336, Failure: 0.0024}, Total: 0.3384},
				{ID: "t-2", State: place.StateLimit, Rate: 10, Admits: 0.5, Distance: "region", Load: 5, Slots: 4, Risk: 0.2, Cost: place.Cost{Work: 0.4, Queue: 0.15, Failure: 0.04, Distance: 0.0145}, Total: 0.6045},
			}},
			{Pool: "b", Weight: 1, Hedge: proxy.HedgeExplanation{AfterMs: 900, Reason: "target"}, Possible: true,
				Refusal: &proxy.RefusalReason{Status: 503, Kind: "busy", Message: "the targets of the pool warm up", RetryAfterMs: 450},
				Targets: []place.TargetExplanation{{ID: "t-3", State: place.StateCold, LeftMs: 1200, Rate: 3, Distance: "far", Slots: 4, Cost: place.Cost{Work: 0.6, Distance: 0.115}, Total: 0.715}}},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		test.NoError(t, err)
		test.EqOp(t, `{"method":"POST","host":"api.example","path":"/orders?n=1","digest":"`+string(model.DigestOf([]byte(key)))+`","bytes":100}`, string(body))
		test.EqOp(t, "/explain", r.RequestURI)
		test.MapNotContainsKey(t, r.Header, "Authorization")
		test.NoError(t, json.NewEncoder(w).Encode(answer))
	}))
	defer server.Close()
	for file, flag := range map[string]string{"testdata/explain.golden": "--json=false", "testdata/explain.json.golden": "--json"} {
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetArgs([]string{"explain", "--host", strings.TrimPrefix(server.URL, "http://"), "--method", "POST", "--url", "api.example/orders?n=1", "--bytes", "100", flag})
		must.NoError(t, root.Execute())
		test.StrNotContains(t, out.String(), key)
		golden.Compare(t, file, out.String())
	}
}
