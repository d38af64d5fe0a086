package queue

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/model"
)

const (
	// DefaultLength is the number of requests that may wait for one pool.
	DefaultLength = 512
	// DefaultCustomer is the number of requests of one customer that may wait
	// for one pool.
	DefaultCustomer = 128
	// maxWeight bounds a customer's weight, and with it the length of its turn.
	maxWeight = 1000
	// pumpPause is how often waiting requests look for capacity that was not
	// announced, such as that of a target whose pause ended, and for deadlines.
	pumpPause = 5 * time.Millisecond
)

// Source says how many requests a pool may run. pick.Picker implements it.
type Source interface {
	// Capacity returns the number of requests that may run at once.
	Capacity(id model.PoolID) int
	// Free returns a channel that is closed when the capacity may have grown.
	Free(id model.PoolID) <-chan struct{}
}

// settings are what the options set.
type settings struct {
	clock    model.Clock
	length   int
	customer int
	log      zerolog.Logger
	scope    tally.Scope
}

// Option sets an optional property of a Queue or of all queues of a Set.
type Option func(*settings)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLength sets how many requests may wait for one pool: of one customer,
// and in all. Zero keeps the default.
func WithLength(customer, all int) Option {
	return func(s *settings) {
		s.customer, s.length = cmp.Or(customer, s.customer), cmp.Or(all, s.length)
	}
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(s *settings) { s.log = l } }

// WithMeter sets the scope of the metrics.
func WithMeter(t tally.Scope) Option { return func(s *settings) { s.scope = t } }

func newSettings(options []Option) settings {
	s := settings{
		clock: time.Now, length: DefaultLength, customer: DefaultCustomer,
		log: zerolog.Nop(), scope: tally.NoopScope,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// Queue is the queue of one pool.
type Queue struct {
	pool     model.PoolID
	source   Source
	settings settings
	counters counters
	alarmed  atomic.Int64 // time of the last alarm, nanoseconds since 1970

	mu      sync.Mutex
	flows   map[model.CustomerID]*flow // customers that run or wait
	weights int                        // sum of their weights
	ring    ring                       // flows that wait
	running int
	waiting int
	seq     uint64
	closed  bool
	pumping bool
	service estimate
	slots   []*slot // ended, for reuse
	spare   []*flow // ended, for reuse
}

// New returns the queue of a pool.
func New(pool model.PoolID, source Source, options ...Option) *Queue {
	return newQueue(pool, source, newSettings(options))
}

func newQueue(pool model.PoolID, source Source, s settings) *Queue {
	return &Queue{
		pool: pool, source: source, settings: s, counters: newCounters(s.scope, pool),
		flows: make(map[model.CustomerID]*flow),
	}
}

// slot is one running request. It is used again after its release.
type slot struct {
	queue   *Queue
	flow    *flow
	since   time.Time
	held    bool
	release func() // made once, so that Enter allocates nothing
}

// Enter waits until the pool has capacity for a request of the customer, whose
// id is empty on open routes. The weight counts as 1 to 1000. A zero deadline is none. The release function
// must be called exactly once, when the request ended. Errors have the kinds
// KindBusy, fault.Late, fault.Missing (the pool was removed) and
// fault.Unavailable (ctx was cancelled); the request was then not run.
func (q *Queue) Enter(ctx context.Context, id model.CustomerID, weight int, deadline time.Time) (release func(), err error) {
	s, w, err := q.enter(id, min(max(1, weight), maxWeight), deadline)
	if w != nil {
		s, err = q.await(ctx, w)
	}
	if err != nil {
		q.refused(id, err)
		return nil, err
	}
	return s.release, nil
}

// enter returns a slot, a waiter or an error.
func (q *Queue) enter(id model.CustomerID, weight int, deadline time.Time) (*slot, *waiter, error) {
	now := q.settings.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, nil, errPool
	}
	if !deadline.IsZero() && !now.Before(deadline) {
		return nil, nil, errLate
	}
	if q.waiting == 0 && q.running < q.capacity() {
		return q.grant(q.join(id, weight), now), nil, nil
	}
	q.expire(now)
	f := q.join(id, weight)
	if !q.room(f) {
		q.part(f)
		return nil, nil, errBusy
	}
	q.seq++
	w := &waiter{flow: f, deadline: deadline, since: now, seq: q.seq, ready: make(chan struct{})}
	q.push(w)
	q.dispatch(now)
	if q.waiting > 0 && !q.pumping {
		q.pumping = true
		go q.pump()
	}
	return nil, w, nil
}

// await waits for the outcome of a waiting request.
func (q *Queue) await(ctx context.Context, w *waiter) (*slot, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		q.leave(w)
		if w.err == nil {
			w.err = errLeft
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				w.err = errLate
			}
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	q.counters.waited(q.settings.clock().Sub(w.since))
	return w.slot, nil
}

// leave takes a request whose context ended out of the queue, and gives back
// its slot if it got one in the same moment.
func (q *Queue) leave(w *waiter) {
	now := q.settings.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.index >= 0:
		q.take(w)
		q.part(w.flow)
	case w.slot != nil:
		q.end(w.slot)
	}
	q.dispatch(now)
}

// room makes sure that one more request of the flow may wait.
func (q *Queue) room(f *flow) bool {
	if len(f.wait) >= q.settings.customer {
		return false
	}
	if q.waiting < q.settings.length {
		return true
	}
	long := q.ring.longest()
	if (len(f.wait)+1)*long.weight >= len(long.wait)*f.weight {
		return false
	}
	q.settle(long.wait.last(), nil, errBusy)
	return true
}

// dispatch gives free capacity to waiting requests.
func (q *Queue) dispatch(now time.Time) {
	if q.waiting == 0 {
		return
	}
	q.expire(now)
	capacity := q.capacity()
	for q.waiting > 0 && q.running < capacity {
		f := q.ring.flows[q.ring.next(capacity, q.weights)]
		w := f.wait[0]
		q.settle(w, q.grant(f, now), nil)
	}
}

// expire drops the requests that can no longer be answered in time.
func (q *Queue) expire(now time.Time) {
	end := now.Add(q.service.value)
	for i := len(q.ring.flows) - 1; i >= 0; i-- {
		f := q.ring.flows[i]
		for len(f.wait) > 0 {
			w := f.wait[0]
			if w.deadline.IsZero() || end.Before(w.deadline) || end.Equal(w.deadline) {
				break
			}
			q.settle(w, nil, errLate)
		}
	}
}

// settle ends the wait of a request with a slot or an error.
func (q *Queue) settle(w *waiter, s *slot, err error) {
	q.take(w)
	w.slot, w.err = s, err
	close(w.ready)
	q.part(w.flow)
}

// capacity returns the number of requests that may run at once. It is at least
// one, so that a pool without any gets requests one by one and the target
// choice says what is missing.
func (q *Queue) capacity() int { return max(1, q.source.Capacity(q.pool)) }

// grant takes a slot for the flow.
func (q *Queue) grant(f *flow, now time.Time) *slot {
	var s *slot
	if n := len(q.slots); n > 0 {
		s, q.slots = q.slots[n-1], q.slots[:n-1]
	} else {
		s = &slot{queue: q}
		s.release = s.done
	}
	s.flow, s.since, s.held = f, now, true
	f.running++
	q.running++
	return s
}

// done frees the slot after its request ended.
func (s *slot) done() {
	q := s.queue
	now := q.settings.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.held {
		return
	}
	q.service.add(now.Sub(s.since))
	q.end(s)
	q.dispatch(now)
}

func (q *Queue) end(s *slot) {
	f := s.flow
	s.flow, s.held = nil, false
	q.slots = append(q.slots, s)
	f.running--
	q.running--
	q.part(f)
}

// join returns the flow of a customer with its current weight.
func (q *Queue) join(id model.CustomerID, weight int) *flow {
	f := q.flows[id]
	if f == nil {
		if n := len(q.spare); n > 0 {
			f, q.spare = q.spare[n-1], q.spare[:n-1]
		} else {
			f = new(flow)
		}
		f.id, f.weight = id, 0
		q.flows[id] = f
	}
	q.weights += weight - f.weight
	f.weight = weight
	return f
}

// part forgets the flow of a customer that neither runs nor waits.
func (q *Queue) part(f *flow) {
	if f.running > 0 || len(f.wait) > 0 {
		return
	}
	delete(q.flows, f.id)
	q.weights -= f.weight
	q.spare = append(q.spare, f)
}

// Close refuses the waiting requests and all later ones. Running requests are
// released as usual.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for len(q.ring.flows) > 0 {
		q.settle(q.ring.flows[0].wait[0], nil, errPool)
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
