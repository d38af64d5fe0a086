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
	// DefaultMaxWaiting is the maximum number of requests waiting for one pool.
	DefaultMaxWaiting = 512
	// DefaultMaxPerCustomer is the maximum number of requests of one customer waiting
	// for one pool.
	DefaultMaxPerCustomer = 128
	// maxWeight limits a customer's weight, and with it the length of its turn.
	maxWeight = 1000
	// pollInterval is the interval at which a queue with waiting requests checks
	// their deadlines and looks for capacity that SlotFreed does not announce, such as
	// that of a target whose pause after load shedding ended.
	pollInterval = 5 * time.Millisecond
)

// Source provides the capacity of pools. pick.Picker implements it.
type Source interface {
	// Capacity returns the number of requests that may run at once.
	Capacity(id model.PoolID) int
	// SlotFreed returns a channel that is closed when the capacity may have grown.
	SlotFreed(id model.PoolID) <-chan struct{}
}

// settings holds the values that the options set.
type settings struct {
	clock          model.Clock
	maxWaiting     int
	maxPerCustomer int
	log            zerolog.Logger
	scope          tally.Scope
}

// Option configures a Queue or all queues of a Set.
type Option func(*settings)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(s *settings) { s.clock = c } }

// WithMaxWaiting sets the maximum number of requests waiting for one pool, per
// customer and in total. Zero keeps the default.
func WithMaxWaiting(maxPerCustomer, total int) Option {
	return func(s *settings) {
		s.maxPerCustomer, s.maxWaiting = cmp.Or(maxPerCustomer, s.maxPerCustomer), cmp.Or(total, s.maxWaiting)
	}
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(s *settings) { s.log = l } }

// WithMeter sets the scope of the metrics.
func WithMeter(t tally.Scope) Option { return func(s *settings) { s.scope = t } }

func newSettings(options []Option) settings {
	s := settings{
		clock: time.Now, maxWaiting: DefaultMaxWaiting, maxPerCustomer: DefaultMaxPerCustomer,
		log: zerolog.Nop(), scope: tally.NoopScope,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// Queue is the fair queue of one pool.
type Queue struct {
	pool        model.PoolID
	source      Source
	settings    settings
	counters    counters
	lastWarning atomic.Int64 // Unix time in nanoseconds

	mu          sync.Mutex
	flows       map[model.CustomerID]*flow // customers with running or waiting requests
	weightSum   int                        // of all flows
	ring        ring                       // flows with waiting requests
	running     int
	waiting     int
	seq         uint64
	closed      bool
	polling     bool
	serviceTime estimate
	spareSlots  []*slot // released, for reuse
	spareFlows  []*flow // removed, for reuse
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

// slot is one running request. It is reused after its release.
type slot struct {
	queue   *Queue
	flow    *flow
	start   time.Time
	active  bool   // until the release
	release func() // allocated once per slot, so that Acquire does not allocate
}

// Acquire waits until the pool has capacity for a request of the customer, whose
// id is empty on open routes. The weight is limited to the range 1 to 1000. A
// zero deadline means none. The release function must be called exactly once,
// when the request has ended. Errors have the kinds KindBusy, fault.KindTimeout,
// fault.KindMissing (the pool was removed) and fault.KindUnavailable (ctx was canceled);
// the request was then not run.
func (q *Queue) Acquire(ctx context.Context, id model.CustomerID, weight int, deadline time.Time) (release func(), err error) {
	s, w, err := q.enter(id, min(max(1, weight), maxWeight), deadline)
	if w != nil {
		s, err = q.await(ctx, w)
	}
	if err != nil {
		q.countRefusal(id, err)
		return nil, err
	}
	return s.release, nil
}

// enter returns a slot if capacity is free, a waiter if not, or an error.
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
		return q.grant(q.flowFor(id, weight), now), nil, nil
	}
	q.expire(now)
	f := q.flowFor(id, weight)
	if !q.makeRoom(f) {
		q.removeIfIdle(f)
		return nil, nil, errBusy
	}
	q.seq++
	w := &waiter{flow: f, deadline: deadline, arrived: now, seq: q.seq, ready: make(chan struct{})}
	q.addWaiter(w)
	q.dispatch(now)
	if q.waiting > 0 && !q.polling {
		q.polling = true
		go q.poll()
	}
	return nil, w, nil
}

// await waits until a waiting request gets a slot or fails.
func (q *Queue) await(ctx context.Context, w *waiter) (*slot, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		q.abandon(w)
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
	q.counters.recordWait(q.settings.clock().Sub(w.arrived))
	return w.slot, nil
}

// abandon removes a request whose context ended from the queue, or frees its slot
// if it was granted one in the meantime.
func (q *Queue) abandon(w *waiter) {
	now := q.settings.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.index >= 0:
		q.removeWaiter(w)
		q.removeIfIdle(w.flow)
	case w.slot != nil:
		q.freeSlot(w.slot)
	}
	q.dispatch(now)
}

// makeRoom reports whether one more request of the flow may wait. If the queue is
// full, it drops a request of the longest flow to make room.
func (q *Queue) makeRoom(f *flow) bool {
	if len(f.waiters) >= q.settings.maxPerCustomer {
		return false
	}
	if q.waiting < q.settings.maxWaiting {
		return true
	}
	longestFlow := q.ring.longest()
	if (len(f.waiters)+1)*longestFlow.weight >= len(longestFlow.waiters)*f.weight {
		return false
	}
	q.resolve(longestFlow.waiters.last(), nil, errBusy)
	return true
}

// dispatch grants free capacity to waiting requests.
func (q *Queue) dispatch(now time.Time) {
	if q.waiting == 0 {
		return
	}
	q.expire(now)
	capacity := q.capacity()
	for q.waiting > 0 && q.running < capacity {
		f := q.ring.flows[q.ring.next(capacity, q.weightSum)]
		w := f.waiters[0]
		q.resolve(w, q.grant(f, now), nil)
	}
}

// expire drops the requests that can no longer be answered in time.
func (q *Queue) expire(now time.Time) {
	earliestEnd := now.Add(q.serviceTime.current)
	for i := len(q.ring.flows) - 1; i >= 0; i-- {
		f := q.ring.flows[i]
		for len(f.waiters) > 0 {
			w := f.waiters[0]
			if w.deadline.IsZero() || earliestEnd.Before(w.deadline) || earliestEnd.Equal(w.deadline) {
				break
			}
			q.resolve(w, nil, errLate)
		}
	}
}

// resolve ends the wait of a request with a slot or an error.
func (q *Queue) resolve(w *waiter, s *slot, err error) {
	q.removeWaiter(w)
	w.slot, w.err = s, err
	close(w.ready)
	q.removeIfIdle(w.flow)
}

// capacity returns the number of requests that may run at once. It is at least
// one, so that requests to a pool without capacity still reach target selection
// one at a time and get its specific error.
func (q *Queue) capacity() int { return max(1, q.source.Capacity(q.pool)) }

// grant assigns a slot to the flow.
func (q *Queue) grant(f *flow, now time.Time) *slot {
	var s *slot
	if n := len(q.spareSlots); n > 0 {
		s, q.spareSlots = q.spareSlots[n-1], q.spareSlots[:n-1]
	} else {
		s = &slot{queue: q}
		s.release = s.done
	}
	s.flow, s.start, s.active = f, now, true
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
	if !s.active {
		return
	}
	q.serviceTime.add(now.Sub(s.start))
	q.freeSlot(s)
	q.dispatch(now)
}

func (q *Queue) freeSlot(s *slot) {
	f := s.flow
	s.flow, s.active = nil, false
	q.spareSlots = append(q.spareSlots, s)
	f.running--
	q.running--
	q.removeIfIdle(f)
}

// flowFor returns the flow of a customer and updates its weight.
func (q *Queue) flowFor(id model.CustomerID, weight int) *flow {
	f := q.flows[id]
	if f == nil {
		if n := len(q.spareFlows); n > 0 {
			f, q.spareFlows = q.spareFlows[n-1], q.spareFlows[:n-1]
		} else {
			f = new(flow)
		}
		f.id, f.weight = id, 0
		q.flows[id] = f
	}
	q.weightSum += weight - f.weight
	f.weight = weight
	return f
}

// removeIfIdle removes the flow of a customer without running or waiting requests.
func (q *Queue) removeIfIdle(f *flow) {
	if f.running > 0 || len(f.waiters) > 0 {
		return
	}
	delete(q.flows, f.id)
	q.weightSum -= f.weight
	q.spareFlows = append(q.spareFlows, f)
}

// Close refuses the waiting requests and all later ones with fault.KindMissing.
// Running requests are released as usual.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for len(q.ring.flows) > 0 {
		q.resolve(q.ring.flows[0].waiters[0], nil, errPool)
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
