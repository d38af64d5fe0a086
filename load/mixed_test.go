package load

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/origin"
)

// TestMixedFaults guards against a request that is executed twice, a request that
// is reported as refused although it was executed, and a whole response to a
// request that was not executed, while a stand-in target sheds, loses, truncates,
// stalls and goes silent. Which request gets which fault depends on timing; the
// checked conditions do not.
func TestMixedFaults(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	target := origin.New(origin.WithSlots(3), origin.WithConnections(30), origin.WithWork(time.Millisecond),
		origin.WithFaults(origin.Faults{Stall: 0.02, Fail: 0.05, DropResponse: 0.1, Truncate: 0.1, Freeze: 0.02, Unframed: 0.1}))
	served := make(chan error)
	go func() { served <- target.Serve(ln) }()
	var mu sync.Mutex
	answers := make(map[string]Answer)
	p := Plan{Entries: []string{ln.Addr().String()}, Duration: 1000, Timeout: 1000, Customers: []Customer{
		{ID: "north", Rate: 400, ResponseSize: 50_000, Path: "/artwork?chunked=1"},
		{ID: "south", Rate: 400, ResponseSize: 100, Method: "PUT", RequestSize: 40_000},
	}, Observe: func(a Answer) {
		mu.Lock()
		defer mu.Unlock()
		answers[a.Request] = a
		if len(answers) == 400 {
			target.SilenceConnections()
		}
	}}
	client := exch.New(exch.WithProgressTimeout(200*time.Millisecond), exch.WithMinSilence(500*time.Millisecond), exch.WithMaxConnections(40))
	out, err := run(t.Context(), p, client)
	must.NoError(t, err)
	client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	test.NoError(t, target.Stop(ctx))
	test.NoError(t, <-served)

	test.MapLen(t, 800, answers)
	for _, c := range out.Customers {
		test.Zero(t, c.Wrong)
		test.Positive(t, c.Whole)
		test.Positive(t, c.Broken+c.Unknown)
	}
	executed := make(map[string]bool)
	for _, e := range target.Executions().Entries {
		test.Eq(t, 1, e.Started, test.Sprint(e))
		test.NotEq(t, Refused, answers[e.Request].Class, test.Sprint(e, answers[e.Request]))
		executed[e.Request] = true
	}
	for id, a := range answers {
		test.True(t, a.Class != Whole || executed[id], test.Sprint(a))
	}
}
