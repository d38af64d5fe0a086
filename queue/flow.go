package queue

import (
	"container/heap"
	"time"

	"rhubarbdrift.example/model"
)

// flow is what one customer runs and waits for. The queue's mutex guards it.
type flow struct {
	id      model.CustomerID
	weight  int
	running int
	deficit int // requests left in the flow's turn
	wait    waitList
}

// waiter is one waiting request.
type waiter struct {
	flow     *flow
	deadline time.Time // zero: none
	since    time.Time
	seq      uint64 // order of arrival, for equal deadlines
	index    int    // in flow.wait; -1: not waiting any more
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

// waitList is a heap of the waiting requests of one customer by deadline.
type waitList []*waiter

// Len returns the number of waiting requests.
func (l waitList) Len() int { return len(l) }

// Less orders by deadline.
func (l waitList) Less(i, j int) bool { return l[i].before(l[j]) }

// Swap exchanges two requests.
func (l waitList) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push appends a request for package heap.
func (l *waitList) Push(x any) {
	w := x.(*waiter)
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop removes the last request for package heap.
func (l *waitList) Pop() any {
	n := len(*l) - 1
	w := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	w.index = -1
	return w
}

// last returns the request that would be served last.
func (l waitList) last() *waiter {
	var out *waiter
	for _, w := range l {
		if out == nil || out.before(w) {
			out = w
		}
	}
	return out
}

// claim says how strongly a flow claims the next slot. Lower ones come first.
type claim struct {
	tier    int
	running int
	weight  int
}

// The tiers of a claim.
const (
	tierBelow = iota // below the whole slots of its share
	tierPart         // a part of a slot of its share is unused
	tierAbove        // at or above its share
)

// claim returns the flow's claim when the customers' weights add up to sum.
func (f *flow) claim(capacity, sum int) claim {
	share := capacity * f.weight
	switch {
	case (f.running+1)*sum <= share:
		return claim{tierBelow, f.running, f.weight}
	case f.running*sum < share:
		// With few slots and unequal weights, the fewest running requests
		// would always win here, so that only turns decide.
		return claim{tierPart, 0, 1}
	default:
		return claim{tierAbove, f.running, f.weight}
	}
}

// compare is negative if c comes before d.
func (c claim) compare(d claim) int {
	if c.tier != d.tier {
		return c.tier - d.tier
	}
	return c.running*d.weight - d.running*c.weight
}

// ring holds the flows with waiting requests in the order of their turns.
type ring struct {
	flows []*flow
	turn  int
}

func (r *ring) add(f *flow) { r.flows = append(r.flows, f) }

// remove deletes the flow at index i. Its turn does not outlive its requests.
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

// next returns the index of the flow that gets the next slot.
func (r *ring) next(capacity, sum int) int {
	best := r.flows[0].claim(capacity, sum)
	for _, f := range r.flows[1:] {
		if c := f.claim(capacity, sum); c.compare(best) < 0 {
			best = c
		}
	}
	for r.flows[r.turn].claim(capacity, sum).compare(best) != 0 {
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

// index returns the position of a flow that has waiting requests.
func (r *ring) index(f *flow) int {
	for i, g := range r.flows {
		if g == f {
			return i
		}
	}
	return -1
}

// longest returns the flow with the most waiting requests for its weight.
func (r *ring) longest() *flow {
	out := r.flows[0]
	for _, f := range r.flows[1:] {
		if len(f.wait)*out.weight > len(out.wait)*f.weight {
			out = f
		}
	}
	return out
}

// push adds a waiting request.
func (q *Queue) push(w *waiter) {
	f := w.flow
	if len(f.wait) == 0 {
		q.ring.add(f)
	}
	heap.Push(&f.wait, w)
	q.waiting++
	q.counters.waiting.Update(float64(q.waiting))
}

// take removes a waiting request. Its flow stays known to the caller.
func (q *Queue) take(w *waiter) {
	f := w.flow
	heap.Remove(&f.wait, w.index)
	q.waiting--
	q.counters.waiting.Update(float64(q.waiting))
	if len(f.wait) == 0 {
		q.ring.remove(q.ring.index(f))
	}
}
