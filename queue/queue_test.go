package queue

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

const slots = 24

// call is one request of a schedule.
type call struct {
	at, service, patience time.Duration
	customer              model.CustomerID
	weight                int
	cancel                time.Duration // 0: never
}

// outcome is what became of a call.
type outcome struct {
	err  error
	took time.Duration // waiting and service
}

// enter admits one call and returns what ends it.
type enter func(ctx context.Context, c *call, deadline time.Time) (release func(), err error)

func fair(q *Queue) enter {
	return func(ctx context.Context, c *call, deadline time.Time) (func(), error) {
		t, err := q.Enter(ctx, c.customer, c.weight, deadline)
		if err != nil {
			return nil, err
		}
		return t.Release, nil
	}
}

// fifo is the naive policy: one line for all customers.
func fifo() enter {
	free := make(chan struct{}, slots)
	line := make(chan struct{}, defaultLength)
	return func(ctx context.Context, _ *call, _ time.Time) (func(), error) {
		select {
		case line <- struct{}{}:
			defer func() { <-line }()
		default:
			return nil, errBusy
		}
		select {
		case free <- struct{}{}:
			return func() { <-free }, nil
		case <-ctx.Done():
			return nil, errLate
		}
	}
}

// play runs a schedule in virtual time.
func play(calls []call, in enter) []outcome {
	out := make([]outcome, len(calls))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range calls {
		c := &calls[i]
		time.Sleep(time.Until(start.Add(c.at)))
		wg.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), c.patience)
			defer stop()
			if c.cancel > 0 {
				time.AfterFunc(c.cancel, stop)
			}
			began := time.Now()
			release, err := in(ctx, c, began.Add(c.patience))
			if err == nil {
				time.Sleep(c.service)
				release()
			}
			out[i] = outcome{err: err, took: time.Since(began)}
		})
	}
	wg.Wait()
	return out
}

// schedule draws requests of eight customers; the first sends a multiple of
// its rate. The requests of the others do not depend on the multiple.
func schedule(multiple float64) []call {
	var out []call
	for i := range 8 {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		rate := 45.0
		if i == 0 {
			rate *= multiple
		}
		for at := 0.0; ; {
			at += random.ExpFloat64() / rate
			if at > 20 {
				break
			}
			out = append(out, call{
				at: time.Duration(at * float64(time.Second)), patience: 2 * time.Second, weight: 1,
				service:  time.Duration(40e6 * math.Exp(0.5*random.NormFloat64())),
				customer: model.CustomerID(fmt.Sprint(i)),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b call) int { return int(a.at - b.at) })
	return out
}

// others returns the number of whole answers and the p99 of the customers that
// keep their rate.
func others(calls []call, list []outcome) (whole int, p99 time.Duration) {
	var took []time.Duration
	for i, o := range list {
		if calls[i].customer != "0" && o.err == nil {
			took = append(took, o.took)
		}
	}
	slices.Sort(took)
	return len(took), took[len(took)*99/100]
}

// TestFair guards against a customer at ten times its rate that crowds out the
// others. One line for all customers must fail the same check.
func TestFair(t *testing.T) {
	check := func(policy func() enter) (ok bool) {
		var whole [2]int
		var p99 [2]time.Duration
		for i, multiple := range []float64{1, 10} {
			synctest.Test(t, func(*testing.T) {
				calls := schedule(multiple)
				whole[i], p99[i] = others(calls, play(calls, policy()))
			})
		}
		t.Logf("others: whole %v, p99 %v", whole, p99)
		return float64(whole[1]) >= 0.9*float64(whole[0]) && float64(p99[1]) <= 1.1*float64(p99[0])
	}
	must.True(t, check(func() enter { return fair(New(func() int { return slots })) }))
	must.False(t, check(fifo))
}

// TestWeights guards against shares that do not follow the weights, and
// against capacity that stays unused while requests wait.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []call
		for i := range 4000 {
			weight := 1 + 2*(i%2)
			calls = append(calls, call{
				at: time.Duration(i) * 5 * time.Millisecond / 2, service: 40 * time.Millisecond,
				patience: 500 * time.Millisecond, customer: model.CustomerID(fmt.Sprint(weight)), weight: weight,
			})
		}
		n := make(map[model.CustomerID]int)
		for i, o := range play(calls, fair(New(func() int { return 8 }))) {
			if o.err == nil {
				n[calls[i].customer]++
			}
		}
		t.Log(n)
		must.GreaterEq(t, 1900, n["1"]+n["3"]) // 200/s for 10 s
		must.Between(t, 2.7, float64(n["3"])/float64(n["1"]), 3.3)
	})
}

// TestLost guards against requests that are lost or stuck, slots that are lost,
// more requests than the capacity, and refusals of an unknown kind.
func TestLost(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	ms := func(r *rapid.T, name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(r, name)) * time.Millisecond
	}
	rapid.Check(t, func(r *rapid.T) {
		var calls []call
		at := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(r, "calls") {
			at += ms(r, "gap", 0, 5)
			calls = append(calls, call{
				at: at, service: ms(r, "service", 0, 60), patience: ms(r, "patience", 1, 300), cancel: ms(r, "cancel", 0, 100),
				customer: model.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "customer")),
				weight:   rapid.IntRange(0, 3).Draw(r, "weight"),
			})
		}
		sizes := rapid.SliceOfN(rapid.IntRange(0, 4), 10, 10).Draw(r, "capacity")
		synctest.Test(t, func(t *testing.T) {
			start, most := time.Now(), slices.Max(sizes)
			q := New(func() int { return sizes[int(time.Since(start)/(50*time.Millisecond))%len(sizes)] }, WithLength(10, 5))
			list := play(calls, func(ctx context.Context, c *call, deadline time.Time) (func(), error) {
				release, err := fair(q)(ctx, c, deadline)
				must.LessEq(t, most, q.State().Running)
				return release, err
			})
			for i, o := range list {
				if o.err != nil {
					must.SliceContains(t, []fault.Kind{KindBusy, fault.Late}, fault.KindOf(o.err))
					must.LessEq(t, calls[i].patience, o.took)
				}
			}
			s := q.State()
			must.EqOp(t, 0, s.Running)
			must.EqOp(t, 0, s.Waiting)
			must.MapEmpty(t, q.customers)
			must.Nil(t, q.turn)
		})
	})
}

// TestFull guards against a full queue that refuses a customer without waiting
// requests instead of the one that filled it.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []call
		for i := range 12 {
			calls = append(calls, call{at: time.Duration(i) * time.Millisecond, service: time.Second, patience: 4 * time.Second, customer: "hog"})
		}
		calls = append(calls, call{at: 20 * time.Millisecond, service: time.Second, patience: 4 * time.Second, customer: "small"})
		list := play(calls, fair(New(func() int { return 1 }, WithLength(8, 8))))
		must.NoError(t, list[12].err)
		must.LessEq(t, 3*time.Second, list[12].took)
		must.EqOp(t, KindBusy, fault.KindOf(list[8].err)) // the latest that waited
		must.EqOp(t, KindBusy, fault.KindOf(list[9].err))
	})
}

// TestAllocations guards against memory use while capacity is free.
func TestAllocations(t *testing.T) {
	q := New(func() int { return 1 })
	ctx, deadline := t.Context(), time.Now().Add(time.Hour)
	n := testing.AllocsPerRun(1000, func() {
		if ticket, err := q.Enter(ctx, "c", 1, deadline); err == nil {
			ticket.Release()
		}
	})
	must.EqOp(t, 0, n)
}
