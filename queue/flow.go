package queue

import (
	"container/heap"
	"time"

	"rhubarbdrift.example/model"
)

// flow holds the running and waiting requests of one customer. The queue's mutex
// guards it.
type flow struct {
	id      model.CustomerID
	weight  int
	running int
	deficit int // requests left in the current turn
	waiters waitHeap
}

// waiter is one waiting request.
type waiter struct {
	flow     *flow
	deadline time.Time // zero means none
	arrived  time.Time
	seq      uint64 // order of arrival, for equal deadlines
	index    int    // in flow.waiters; -1 after removal
	ready    chan struct{}
	slot     *slot // set before ready is closed, unless err is
	err      error
}

// before reports whether w is served before v.
func (w *waiter) before(v *waiter) bool {
	if w.deadline.Equal(v.deadline) {
		return w.seq < v.seq
	}
	if w.deadline.IsZero() || v.deadline.IsZero() {
		return v.deadline.IsZero()
	}
	return w.deadline.Before(v.deadline)
}

// waitHeap is a heap of the waiting requests of one customer, ordered by deadline.
type waitHeap []*waiter

// Len returns the number of waiting requests.
func (h waitHeap) Len() int { return len(h) }

// Less orders by deadline, then by arrival.
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap swaps two requests.
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a request for container/heap.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last request for container/heap.
func (h *waitHeap) Pop() any {
	n := len(*h) - 1
	w := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	w.index = -1
	return w
}

// last returns the request that would be served last.
func (h waitHeap) last() *waiter {
	var result *waiter
	for _, w := range h {
		if result == nil || result.before(w) {
			result = w
		}
	}
	return result
}

// priority orders the flows that compete for the next slot. The lowest one is
// served first.
type priority struct {
	tier    int
	running int
	weight  int
}

// The tiers of a priority.
const (
	tierBelowShare  = iota // below the whole slots of its share
	tierPartialSlot        // its share includes an unused part of a slot
	tierAtShare            // at or above its share
)

// priority returns the flow's priority for the next slot. weightSum is the sum of
// all customers' weights.
func (f *flow) priority(capacity, weightSum int) priority {
	share := capacity * f.weight
	switch {
	case (f.running+1)*weightSum <= share:
		return priority{tierBelowShare, f.running, f.weight}
	case f.running*weightSum < share:
		// Equal priorities let the flows take turns. With few slots and unequal
		// weights, the flow with the fewest running requests would always win.
		return priority{tierPartialSlot, 0, 1}
	default:
		return priority{tierAtShare, f.running, f.weight}
	}
}

// compare returns a negative number if p is served before other.
func (p priority) compare(other priority) int {
	if p.tier != other.tier {
		return p.tier - other.tier
	}
	return p.running*other.weight - other.running*p.weight
}

// ring holds the flows with waiting requests in round-robin order.
type ring struct {
	flows []*flow
	turn  int
}

func (r *ring) add(f *flow) { r.flows = append(r.flows, f) }

// remove deletes the flow at index i. An unfinished turn of the flow is lost.
func (r *ring) remove(i int) {
	r.flows[i].deficit = 0
	r.flows = append(r.flows[:i], r.flows[i+1:]...)
	if i < r.turn {
		r.turn--
	}
	if r.turn >= len(r.flows) {
		r.turn = 0
	}
}

// next returns the index of the flow that gets the next slot, and deducts it from the
// flow's turn.
func (r *ring) next(capacity, weightSum int) int {
	best := r.flows[0].priority(capacity, weightSum)
	for _, f := range r.flows[1:] {
		if p := f.priority(capacity, weightSum); p.compare(best) < 0 {
			best = p
		}
	}
	for r.flows[r.turn].priority(capacity, weightSum).compare(best) != 0 {
		r.advance()
	}
	i := r.turn
	f := r.flows[i]
	if f.deficit == 0 {
		f.deficit = f.weight
	}
	f.deficit--
	if f.deficit == 0 {
		r.advance()
	}
	return i
}

func (r *ring) advance() { r.turn = (r.turn + 1) % len(r.flows) }

// index returns the position of a flow that has waiting requests, or -1.
func (r *ring) index(f *flow) int {
	for i, g := range r.flows {
		if g == f {
			return i
		}
	}
	return -1
}

// longest returns the flow with the most waiting requests relative to its weight.
func (r *ring) longest() *flow {
	result := r.flows[0]
	for _, f := range r.flows[1:] {
		if len(f.waiters)*result.weight > len(result.waiters)*f.weight {
			result = f
		}
	}
	return result
}

// addWaiter adds a waiting request.
func (q *Queue) addWaiter(w *waiter) {
	f := w.flow
	if len(f.waiters) == 0 {
		q.ring.add(f)
	}
	heap.Push(&f.waiters, w)
	q.waiting++
	q.counters.waiting.Update(float64(q.waiting))
}

// removeWaiter removes a waiting request. Its flow stays in q.flows, see
// removeIfIdle.
func (q *Queue) removeWaiter(w *waiter) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	q.waiting--
	q.counters.waiting.Update(float64(q.waiting))
	if len(f.waiters) == 0 {
		q.ring.remove(q.ring.index(f))
	}
}
