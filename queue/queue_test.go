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

// order fills the queue while its slots are taken, frees them one by one, and
// returns the customers in the order in which they got them.
func order(t *testing.T, n, hold int, waiting ...string) string {
	out := ""
	var mu sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		q := New("p", &fixed{n})
		var held []func()
		for range hold {
			release, err := q.Enter(t.Context(), "A", 1, time.Time{})
			must.NoError(t, err)
			held = append(held, release)
		}
		for _, w := range waiting { // customer, weight, deadline, for example b12
			go func() {
				deadline := time.Time{}
				if w[2] != '0' {
					deadline = time.Now().Add(time.Duration(w[2]-'0') * time.Hour)
				}
				release, err := q.Enter(t.Context(), model.CustomerID(w[:1]), int(w[1]-'0'), deadline)
				must.NoError(t, err)
				mu.Lock()
				out += w + " "
				mu.Unlock()
				time.Sleep(time.Second)
				release()
			}()
			synctest.Wait()
		}
		held[0]()
		time.Sleep(time.Minute)
	})
	return out
}

// TestOrder guards against ignored deadlines, weights and running requests.
func TestOrder(t *testing.T) {
	must.Eq(t, "b11 b12 b10 ", order(t, 1, 1, "b10", "b12", "b11"))
	must.Eq(t, "b20 b20 c10 b20 b20 c10 ", order(t, 1, 1, "b20", "b20", "b20", "b20", "c10", "c10"))
	must.Eq(t, "b10 A10 A10 ", order(t, 4, 4, "A10", "A10", "b10"))
}

// TestBounds guards against one customer that fills the queue, and against
// queues that outlive their pools.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(&fixed{1}, WithLength(3, 4))
		s.Update([]*model.Pool{{ID: "p"}})
		release, err := s.Enter(t.Context(), "p", nil, time.Time{})
		must.NoError(t, err)
		kinds := make(map[string]int)
		var mu sync.Mutex
		ask := func(id model.CustomerID) {
			go func() {
				_, err := s.Enter(t.Context(), "p", &model.Customer{ID: id}, time.Time{})
				mu.Lock()
				defer mu.Unlock()
				kinds[string(id)+" "+string(fault.KindOf(err))]++
			}()
			synctest.Wait()
		}
		for range 5 {
			ask("a")
		}
		must.Eq(t, map[string]int{"a busy": 2}, kinds)
		ask("b")
		ask("c") // takes the place of a's last request
		must.Eq(t, map[string]int{"a busy": 3}, kinds)
		ask("b") // would have as many as a
		must.Eq(t, map[string]int{"a busy": 3, "b busy": 1}, kinds)
		must.Eq(t, 4, s.Waiting("p"))
		s.Update(nil)
		synctest.Wait()
		must.Eq(t, map[string]int{"a busy": 3, "b busy": 1, "a missing": 2, "b missing": 1, "c missing": 1}, kinds)
		release()
		_, err = s.Enter(t.Context(), "p", nil, time.Time{})
		must.True(t, fault.Is(err, fault.Missing))
		time.Sleep(pumpPause) // the pump ends
	})
}

// event is one request of a drawn schedule. Times are in milliseconds.
type event struct{ at, customer, weight, deadline, cancel int }

const work = 100 * time.Millisecond

// TestSchedules guards against lost, stuck and doubly granted slots when
// requests are cancelled and the capacity changes, and against drops of
// requests that could be answered.
func TestSchedules(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(low, high int) int { return rapid.IntRange(low, high).Draw(rt, "n") }
		source := &fixed{draw(1, 5)}
		change, later := draw(0, 1000), draw(0, 8)
		events := make([]event, draw(1, 80))
		for i := range events {
			events[i] = event{draw(0, 1000), draw(0, 4), draw(0, 3), draw(20, 800), draw(0, 1500)}
		}
		synctest.Test(t, func(t *testing.T) { play(t, source, change, later, events) })
	})
}

func play(t *testing.T, source *fixed, change, later int, events []event) {
	q := New("p", source, WithLength(10, 30))
	for range estimateWindow { // the queue learns the service time
		release, err := q.Enter(t.Context(), "", 1, time.Time{})
		must.NoError(t, err)
		time.Sleep(work)
		release()
	}
	var running, most atomic.Int64
	most.Store(int64(max(1, source.n, later)))
	for _, e := range events {
		go func() {
			time.Sleep(time.Duration(e.at) * time.Millisecond)
			start := time.Now()
			deadline := start.Add(time.Duration(e.deadline) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(e.cancel)*time.Millisecond)
			defer cancel()
			release, err := q.Enter(ctx, model.CustomerID(fmt.Sprint(e.customer)), e.weight, deadline)
			if err != nil {
				if fault.Is(err, fault.Late) && ctx.Err() == nil {
					must.True(t, time.Now().Add(work).After(deadline), must.Sprint("dropped although it could be answered"))
				}
				return
			}
			must.LessEq(t, most.Load(), running.Add(1))
			waited := time.Since(start) > 0
			time.Sleep(work)
			running.Add(-1)
			release()
			must.True(t, !waited || !time.Now().After(deadline), must.Sprint("sent although it could not be answered"))
		}()
	}
	time.Sleep(time.Duration(change) * time.Millisecond)
	q.mu.Lock()
	source.n = later
	q.mu.Unlock()
	time.Sleep(time.Minute)
	synctest.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	must.Eq(t, []int{0, 0, 0, 0, 0}, []int{q.running, q.waiting, q.weights, len(q.flows), len(q.ring.flows)})
	must.False(t, q.pumping)
}

// TestParallel guards against data races and lost wake-ups in real time.
func TestParallel(t *testing.T) {
	q := New("p", &fixed{3})
	var running atomic.Int64
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			for range 500 {
				release, err := q.Enter(t.Context(), model.CustomerID(fmt.Sprint(i%5)), i, time.Time{})
				must.NoError(t, err)
				must.LessEq(t, 3, running.Add(1))
				running.Add(-1)
				release()
			}
		})
	}
	all.Wait()
}

// BenchmarkEnter measures the path with free capacity. It must not allocate.
func BenchmarkEnter(b *testing.B) {
	q := New("p", &fixed{8})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := q.Enter(b.Context(), "c", 1, deadline)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
