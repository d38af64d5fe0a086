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

// fixedCapacity is a Source whose capacity changes only when a test sets it.
type fixedCapacity struct{ capacity int }

func (f *fixedCapacity) Capacity(model.PoolID) int              { return f.capacity }
func (f *fixedCapacity) SlotFreed(model.PoolID) <-chan struct{} { return nil }

type acquireFunc func(ctx context.Context, id model.CustomerID, weight int, deadline time.Time) (func(), error)

// fifo is the naive policy: slots are granted in order of arrival.
func fifo(n int) acquireFunc {
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

// offeredLoad is the offered load of each customer as a fraction of the slots.
// The last customer is the one whose rate TestCrowding multiplies by ten.
var offeredLoad = []float64{0.02, 0.04, 0.06, 0.08, 0.10, 0.12, 0.12, 0.08}

const requestTimeout = 4 * time.Second

// simulationResult describes the requests of all customers except the last one.
type simulationResult struct {
	completed     int
	latency, wait []time.Duration // of completed requests: total time, and the part spent waiting
}

// p99 returns the 99th percentile. It sorts its argument.
func p99(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}

// simulate runs one minute of requests with service times of 0.3 s plus a random
// part of 0.4 s on average. The seeds are fixed, so the times are the same for
// each policy and each factor of the last customer's rate.
func simulate(t *testing.T, slots int, lastFactor float64, policy func() acquireFunc) *simulationResult {
	result := new(simulationResult)
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		acquire := policy()
		for i, share := range offeredLoad {
			id := model.CustomerID(fmt.Sprint(i))
			if i == len(offeredLoad)-1 {
				share *= lastFactor
			}
			random := rand.New(rand.NewPCG(7, uint64(i)))
			rate := share * float64(slots) / 0.7
			for arrivalSeconds := 0.0; rate > 0; {
				if arrivalSeconds += random.ExpFloat64() / rate; arrivalSeconds > 60 {
					break
				}
				serviceTime := 300*time.Millisecond + time.Duration(random.ExpFloat64()*400e6)
				arrival := time.Now().Add(time.Duration(arrivalSeconds * 1e9))
				go func() {
					time.Sleep(time.Until(arrival))
					release, err := acquire(t.Context(), id, 1, arrival.Add(requestTimeout))
					if err != nil {
						return
					}
					wait := time.Since(arrival)
					time.Sleep(serviceTime)
					release()
					mu.Lock()
					defer mu.Unlock()
					if latency := time.Since(arrival); i < len(offeredLoad)-1 && latency <= requestTimeout {
						result.completed++
						result.latency, result.wait = append(result.latency, latency), append(result.wait, wait)
					}
				}()
			}
		}
		time.Sleep(time.Minute + 10*requestTimeout)
		synctest.Wait()
	})
	return result
}

// TestCrowding guards against one customer at ten times its rate that costs the
// others completed requests or latency. It also checks that a FIFO queue fails the
// same bounds.
func TestCrowding(t *testing.T) {
	for _, slots := range []int{75, 100, 150} {
		fair := func() acquireFunc { return New("p", &fixedCapacity{slots}).Acquire }
		base := simulate(t, slots, 0, fair)
		baseCount, baseLatency := float64(base.completed), p99(base.latency)
		withinBounds := func(policy func() acquireFunc) (bool, string) {
			crowded := simulate(t, slots, 10, policy)
			crowdedLatency, wait := p99(crowded.latency), p99(crowded.wait)
			return float64(crowded.completed) >= 0.9*baseCount && float64(crowdedLatency) <= 1.1*float64(baseLatency) && wait <= p99(base.wait)+baseLatency/10,
				fmt.Sprintf("slots %d: whole %d of %d, p99 %v instead of %v, p99 waiting %v instead of %v",
					slots, crowded.completed, base.completed, crowdedLatency, baseLatency, wait, p99(base.wait))
		}
		ok, figures := withinBounds(fair)
		t.Log(figures)
		must.True(t, ok, must.Sprint(figures))
		ok, figures = withinBounds(func() acquireFunc { return fifo(slots) })
		t.Log("naive queue:", figures)
		must.False(t, ok, must.Sprint(figures))
	}
}
