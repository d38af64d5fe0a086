package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// fixed is a source whose capacity changes only when a test sets it.
type fixed struct{ n int }

func (f *fixed) Capacity(model.PoolID) int         { return f.n }
func (f *fixed) Free(model.PoolID) <-chan struct{} { return nil }

type enter func(ctx context.Context, id model.CustomerID, weight int, deadline time.Time) (func(), error)

// fifo is the naive policy: whoever came first gets the next slot.
func fifo(n int) enter {
	slots := make(chan struct{}, n)
	return func(ctx context.Context, _ model.CustomerID, _ int, deadline time.Time) (func(), error) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case slots <- struct{}{}:
			return func() { <-slots }, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// load gives each customer's offered load as a share of the slots. The last
// one is the customer that sends ten times its rate.
var load = []float64{0.02, 0.04, 0.06, 0.08, 0.10, 0.12, 0.12, 0.08}

const patience = 4 * time.Second

// served is what the customers other than the last received.
type served struct {
	whole     int
	took, had []time.Duration // whole answer, and waiting before it
}

// p99 sorts the list.
func p99(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)*99/100]
}

// serve runs a minute of slow answers (0.3 s plus a random time of 0.4 s on
// average). Times are the same for each policy and with or without the last customer.
func serve(t *testing.T, slots int, last float64, policy func() enter) *served {
	out := new(served)
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		enter := policy()
		for i, share := range load {
			id := model.CustomerID(fmt.Sprint(i))
			if i == len(load)-1 {
				share *= last
			}
			random := rand.New(rand.NewPCG(7, uint64(i)))
			rate := share * float64(slots) / 0.7
			for at := 0.0; rate > 0; {
				if at += random.ExpFloat64() / rate; at > 60 {
					break
				}
				work := 300*time.Millisecond + time.Duration(random.ExpFloat64()*400e6)
				due := time.Now().Add(time.Duration(at * 1e9))
				go func() {
					time.Sleep(time.Until(due))
					release, err := enter(t.Context(), id, 1, due.Add(patience))
					if err != nil {
						return
					}
					had := time.Since(due)
					time.Sleep(work)
					release()
					mu.Lock()
					defer mu.Unlock()
					if took := time.Since(due); i < len(load)-1 && took <= patience {
						out.whole++
						out.took, out.had = append(out.took, took), append(out.had, had)
					}
				}()
			}
		}
		time.Sleep(time.Minute + 10*patience)
		synctest.Wait()
	})
	return out
}

// TestCrowding guards against one customer at ten times its rate that takes
// answers or time from the others, and checks that a naive queue lets it.
func TestCrowding(t *testing.T) {
	for _, slots := range []int{75, 100, 150} {
		fair := func() enter { return New("p", &fixed{slots}).Enter }
		base := serve(t, slots, 0, fair)
		alone, p := float64(base.whole), p99(base.took)
		within := func(policy func() enter) (bool, string) {
			with := serve(t, slots, 10, policy)
			q, had := p99(with.took), p99(with.had)
			return float64(with.whole) >= 0.9*alone && float64(q) <= 1.1*float64(p) && had <= p99(base.had)+p/10,
				fmt.Sprintf("slots %d: whole %d of %d, p99 %v instead of %v, p99 waiting %v instead of %v",
					slots, with.whole, base.whole, q, p, had, p99(base.had))
		}
		ok, figures := within(fair)
		t.Log(figures)
		must.True(t, ok, must.Sprint(figures))
		ok, figures = within(func() enter { return fifo(slots) })
		t.Log("naive queue:", figures)
		must.False(t, ok, must.Sprint(figures))
	}
}
