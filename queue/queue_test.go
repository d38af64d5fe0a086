package queue

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// dispatchOrder adds waiting requests while slotsHeld of n slots are in use, frees
// one slot and returns the order in which the requests are granted slots.
func dispatchOrder(t *testing.T, n, slotsHeld int, waiting ...string) string {
	granted := ""
	var mu sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		q := New("p", &fixedCapacity{n})
		var releases []func()
		for range slotsHeld {
			release, err := q.Acquire(t.Context(), "A", 1, time.Time{})
			must.NoError(t, err)
			releases = append(releases, release)
		}
		for _, w := range waiting { // customer, weight, deadline, for example b12
			go func() {
				deadline := time.Time{}
				if w[2] != '0' {
					deadline = time.Now().Add(time.Duration(w[2]-'0') * time.Hour)
				}
				release, err := q.Acquire(t.Context(), model.CustomerID(w[:1]), int(w[1]-'0'), deadline)
				must.NoError(t, err)
				mu.Lock()
				granted += w + " "
				mu.Unlock()
				time.Sleep(time.Second)
				release()
			}()
			synctest.Wait()
		}
		releases[0]()
		time.Sleep(time.Minute)
	})
	return granted
}

// TestOrder guards against ignoring deadlines, weights or running requests.
func TestOrder(t *testing.T) {
	must.Eq(t, "b11 b12 b10 ", dispatchOrder(t, 1, 1, "b10", "b12", "b11"))
	must.Eq(t, "b20 b20 c10 b20 b20 c10 ", dispatchOrder(t, 1, 1, "b20", "b20", "b20", "b20", "c10", "c10"))
	must.Eq(t, "b10 A10 A10 ", dispatchOrder(t, 4, 4, "A10", "A10", "b10"))
}

// TestBounds guards against one customer that fills the queue, and against
// queues that accept requests after their pool was removed.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(&fixedCapacity{1}, WithMaxWaiting(3, 4))
		s.Update([]*model.Pool{{ID: "p"}})
		release, err := s.Acquire(t.Context(), "p", nil, time.Time{})
		must.NoError(t, err)
		kinds := make(map[string]int)
		var mu sync.Mutex
		enter := func(id model.CustomerID) {
			go func() {
				_, err := s.Acquire(t.Context(), "p", &model.Customer{ID: id}, time.Time{})
				mu.Lock()
				defer mu.Unlock()
				kinds[string(id)+" "+string(fault.KindOf(err))]++
			}()
			synctest.Wait()
		}
		for range 5 {
			enter("a")
		}
		must.Eq(t, map[string]int{"a busy": 2}, kinds)
		enter("b")
		enter("c") // replaces a's last request
		must.Eq(t, map[string]int{"a busy": 3}, kinds)
		enter("b") // would have as many waiting requests as a
		must.Eq(t, map[string]int{"a busy": 3, "b busy": 1}, kinds)
		must.Eq(t, 4, s.Waiting("p"))
		s.Update(nil)
		synctest.Wait()
		must.Eq(t, map[string]int{"a busy": 3, "b busy": 1, "a missing": 2, "b missing": 1, "c missing": 1}, kinds)
		release()
		_, err = s.Acquire(t.Context(), "p", nil, time.Time{})
		must.True(t, fault.Is(err, fault.KindMissing))
		time.Sleep(pollInterval) // lets the poll goroutine end
	})
}

// scheduledRequest is one request of a random schedule. Times are in milliseconds.
type scheduledRequest struct{ arrival, customer, weight, deadline, cancel int }

const fixedServiceTime = 100 * time.Millisecond

// TestSchedules guards against slots that are lost, stuck or granted twice when
// requests are canceled and the capacity changes, and against dropping requests
// that could be answered in time.
func TestSchedules(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(low, high int) int { return rapid.IntRange(low, high).Draw(rt, "n") }
		source := &fixedCapacity{draw(1, 5)}
		changeAt, newCapacity := draw(0, 1000), draw(0, 8)
		requests := make([]scheduledRequest, draw(1, 80))
		for i := range requests {
			requests[i] = scheduledRequest{draw(0, 1000), draw(0, 4), draw(0, 3), draw(20, 800), draw(0, 1500)}
		}
		synctest.Test(t, func(t *testing.T) { runSchedule(t, source, changeAt, newCapacity, requests) })
	})
}

func runSchedule(t *testing.T, source *fixedCapacity, changeAt, newCapacity int, requests []scheduledRequest) {
	q := New("p", source, WithMaxWaiting(10, 30))
	for range estimateWindow { // fills the window of the service time estimate
		release, err := q.Acquire(t.Context(), "", 1, time.Time{})
		must.NoError(t, err)
		time.Sleep(fixedServiceTime)
		release()
	}
	var running, maxRunning atomic.Int64
	maxRunning.Store(int64(max(1, source.capacity, newCapacity)))
	for _, r := range requests {
		go func() {
			time.Sleep(time.Duration(r.arrival) * time.Millisecond)
			start := time.Now()
			deadline := start.Add(time.Duration(r.deadline) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(r.cancel)*time.Millisecond)
			defer cancel()
			release, err := q.Acquire(ctx, model.CustomerID(fmt.Sprint(r.customer)), r.weight, deadline)
			if err != nil {
				if fault.Is(err, fault.KindTimeout) && ctx.Err() == nil {
					must.True(t, time.Now().Add(fixedServiceTime).After(deadline), must.Sprint("dropped although it could be answered"))
				}
				return
			}
			must.LessEq(t, maxRunning.Load(), running.Add(1))
			waited := time.Since(start) > 0
			time.Sleep(fixedServiceTime)
			running.Add(-1)
			release()
			must.True(t, !waited || !time.Now().After(deadline), must.Sprint("sent although it could not be answered"))
		}()
	}
	time.Sleep(time.Duration(changeAt) * time.Millisecond)
	q.mu.Lock()
	source.capacity = newCapacity
	q.mu.Unlock()
	time.Sleep(time.Minute)
	synctest.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	must.Eq(t, []int{0, 0, 0, 0, 0}, []int{q.running, q.waiting, q.weightSum, len(q.flows), len(q.ring.flows)})
	must.False(t, q.polling)
}

// TestParallel guards against data races and lost wakeups, without a fake clock.
func TestParallel(t *testing.T) {
	q := New("p", &fixedCapacity{3})
	var running atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 500 {
				release, err := q.Acquire(t.Context(), model.CustomerID(fmt.Sprint(i%5)), i, time.Time{})
				must.NoError(t, err)
				must.LessEq(t, 3, running.Add(1))
				running.Add(-1)
				release()
			}
		})
	}
	wg.Wait()
}

// BenchmarkEnter measures Acquire and release with free capacity, which must not
// allocate.
func BenchmarkEnter(b *testing.B) {
	q := New("p", &fixedCapacity{8})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := q.Acquire(b.Context(), "c", 1, deadline)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
