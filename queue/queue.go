package queue

import (
	"context"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// KindBusy marks a request that did not run because too many wait.
const KindBusy fault.Kind = "busy"

// The errors are made once, so that a refusal allocates nothing.
var (
	errBusy = fault.New(KindBusy, "too many requests wait for the pool", "send the request again later, or add targets to the pool")
	errLate = fault.New(fault.Late, "the request could not be answered before its deadline", "send the request again with a longer deadline")
)

const (
	// defaultLength and defaultShare bound the waiting requests of the pool and
	// of one customer.
	defaultLength = 512
	defaultShare  = 128
	// pollPeriod is the time after which the capacity is read again while
	// requests wait: it may grow without a release, for example when a target
	// returns.
	pollPeriod = 10 * time.Millisecond
	// estimateWeight is the part of one service time in the running estimate.
	estimateWeight = 0.05
)

// Queue admits the requests of one pool.
type Queue struct {
	capacity func() int
	clock    model.Clock
	length   int
	share    int

	mu        sync.Mutex
	running   int
	waiting   int
	customers map[model.CustomerID]*line
	turn      *line         // the customer whose turn it is, in a ring
	estimate  time.Duration // of the service time
	idle      []*Ticket
	poll      *time.Timer
}

// Option changes a Queue under construction.
type Option func(*Queue)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(q *Queue) { q.clock = c } }

// WithLength bounds the waiting requests of all customers and of each.
func WithLength(all, each int) Option {
	return func(q *Queue) { q.length, q.share = max(1, all), max(1, each) }
}

// New returns an empty Queue. The capacity is the number of requests that may
// run at once; it is called often and must not call the Queue.
func New(capacity func() int, options ...Option) *Queue {
	q := &Queue{
		capacity: capacity, clock: time.Now, length: defaultLength, share: defaultShare,
		customers: make(map[model.CustomerID]*line),
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// Ticket is the right of one request to run. It must not be used after Release.
type Ticket struct {
	queue    *Queue
	began    time.Time
	deadline time.Time
	line     *line
	index    int // in the line; -1: not waiting
	err      error
	ready    chan struct{}
}

// Enter waits until the request may run. A weight below 1 counts as 1, a zero
// deadline means none. The errors have the kinds KindBusy and fault.Late, the
// latter also when ctx ends; in both cases the request did not run. Otherwise
// the caller must call Release once.
func (q *Queue) Enter(ctx context.Context, customer model.CustomerID, weight int, deadline time.Time) (*Ticket, error) {
	q.mu.Lock()
	now := q.clock()
	if q.late(deadline, now) || ctx.Err() != nil {
		q.mu.Unlock()
		return nil, errLate
	}
	if q.waiting == 0 && q.running < q.capacity() {
		t := q.ticket(deadline)
		t.began = now
		q.running++
		q.mu.Unlock()
		return t, nil
	}
	t, err := q.join(customer, weight, deadline)
	if err == nil {
		q.dispatch(now)
	}
	patience := deadline.Sub(now) - q.estimate
	q.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return q.wait(ctx, t, patience)
}

// wait returns when the request may run or was dropped. The patience is the
// time after which it can no longer be answered before its deadline.
func (q *Queue) wait(ctx context.Context, t *Ticket, patience time.Duration) (*Ticket, error) {
	var expired <-chan time.Time
	if !t.deadline.IsZero() {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-t.ready:
	case <-ctx.Done():
		q.leave(t)
	case <-expired:
		q.leave(t)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	err := t.err
	if err != nil {
		q.idle = append(q.idle, t)
		return nil, err
	}
	return t, nil
}

// leave ends the waiting of a request. If it was admitted in the meantime, the
// slot goes to the next.
func (q *Queue) leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case t.index >= 0:
		q.remove(t)
	case t.err == nil:
		<-t.ready
		q.running--
	default:
		<-t.ready
	}
	t.err = errLate
	q.dispatch(q.clock())
}

// Release ends the request and lets the next one run.
func (t *Ticket) Release() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	took := now.Sub(t.began)
	if q.estimate == 0 {
		q.estimate = took
	}
	q.estimate += time.Duration(estimateWeight * float64(took-q.estimate))
	q.running--
	q.idle = append(q.idle, t)
	q.dispatch(now)
}

// Kick reads the capacity again. It is called when the capacity has grown.
func (q *Queue) Kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.clock())
}

// State describes the queue for the status page.
type State struct {
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Estimate time.Duration `json:"estimate"` // of the service time
}

// State returns the current counts.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: q.running, Waiting: q.waiting, Estimate: q.estimate}
}

func (q *Queue) late(deadline, now time.Time) bool {
	return !deadline.IsZero() && now.Add(q.estimate).After(deadline)
}

func (q *Queue) ticket(deadline time.Time) *Ticket {
	var t *Ticket
	if n := len(q.idle); n > 0 {
		t = q.idle[n-1]
		q.idle = q.idle[:n-1]
	} else {
		t = &Ticket{queue: q, ready: make(chan struct{}, 1)}
	}
	t.deadline, t.index, t.err, t.line = deadline, -1, nil, nil
	return t
}

// join adds a request to its customer's line. If the queue is full, the request
// with the latest deadline of the customer with the most waiting requests for
// its weight makes room.
func (q *Queue) join(customer model.CustomerID, weight int, deadline time.Time) (*Ticket, error) {
	l := q.customers[customer]
	if l != nil && len(l.list) >= q.share {
		return nil, errBusy
	}
	if q.waiting >= q.length {
		worst := q.longest()
		if worst == l {
			return nil, errBusy
		}
		last := worst.last()
		q.remove(last)
		last.drop(errBusy)
	}
	if l = q.customers[customer]; l == nil {
		l = &line{id: customer}
		q.customers[customer] = l
		q.enlist(l)
	}
	l.weight = max(1, weight)
	t := q.ticket(deadline)
	l.add(t)
	q.waiting++
	return t, nil
}

// dispatch lets requests run while capacity is free.
func (q *Queue) dispatch(now time.Time) {
	if q.waiting == 0 {
		return
	}
	for free := q.capacity() - q.running; free > 0 && q.waiting > 0; {
		t := q.next()
		if q.late(t.deadline, now) {
			t.drop(errLate)
			continue
		}
		t.began = now
		q.running++
		free--
		t.ready <- struct{}{}
	}
	if q.waiting == 0 {
		return
	}
	if q.poll == nil {
		q.poll = time.AfterFunc(pollPeriod, q.Kick)
	} else {
		q.poll.Reset(pollPeriod)
	}
}

func (t *Ticket) drop(err error) {
	t.err = err
	t.ready <- struct{}{}
}
