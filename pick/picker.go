package pick

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/spread"
)

// KindBusy marks a request that did not run because no target has a free slot.
const KindBusy fault.Kind = "busy"

// The errors are made once, so that a refusal allocates nothing.
var (
	errPool = fault.New(fault.Missing, "the pool does not exist", "check the route's pool in the configuration")
	errLate = fault.New(fault.Late, "the deadline passed before a target was chosen", "send the request again with a longer deadline")
	errBusy = fault.New(KindBusy, "no target has a free slot", "send the request again later, or add targets to the pool")
	errNone = fault.New(fault.Unavailable, "every target of the pool is leaving, draining or was tried", "add targets to the pool")
)

// Daemon describes one daemon of the fleet.
type Daemon = spread.Daemon

// Need says what a request needs.
type Need struct {
	Pool     model.PoolID
	Deadline time.Time        // the caller's; zero: none
	Tried    []model.TargetID // not chosen again
	Domains  []model.Domain   // tried failure domains; others come first
	Repeat   bool             // may be sent again, and so to a suspect target
}

// Result classifies how a request to a target ended.
type Result uint8

// The values of Result.
const (
	// Whole is a complete answer.
	Whole Result = iota
	// Failed is a failed or broken answer.
	Failed
	// Slow is a complete but late answer. It does not raise the limit.
	Slow
	// Shed is a refusal because the target has too much work.
	Shed
	// Silent is a request without any answer.
	Silent
	// Draining is an answer that says the target is leaving.
	Draining
)

// Hold is one request in flight. It is used by one goroutine and must not be
// used after Done.
type Hold struct {
	pool   *pool
	target *target
	conf   *model.Target
}

// Target returns the chosen target as it was configured when it was chosen.
func (h *Hold) Target() *model.Target { return h.conf }

// Done ends the request and frees its slot. It must be called exactly once.
func (h *Hold) Done(r Result) { h.pool.done(h, r) }

// Picker chooses targets for one daemon.
type Picker struct {
	self    Daemon
	clock   model.Clock
	perHost int
	source  rand.Source

	mu    sync.Mutex // serializes Update
	pools atomic.Pointer[map[model.PoolID]*pool]
}

// Option changes a Picker under construction.
type Option func(*Picker)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(p *Picker) { p.clock = c } }

// WithSource replaces the source of random numbers, for example by a seeded one.
func WithSource(s rand.Source) Option { return func(p *Picker) { p.source = s } }

// WithConnections sets the number of connections that each daemon opens to
// one target at most. The default is 8.
func WithConnections(n int) Option { return func(p *Picker) { p.perHost = max(1, n) } }

// defaultConnections fits 38 daemons under a cap of 330 connections.
const defaultConnections = 8

// New returns a Picker without pools for the daemon self.
func New(self Daemon, options ...Option) *Picker {
	p := &Picker{
		self:    self,
		clock:   time.Now,
		perHost: defaultConnections,
		source:  rand.NewPCG(rand.Uint64(), rand.Uint64()),
	}
	for _, o := range options {
		o(p)
	}
	empty := make(map[model.PoolID]*pool)
	p.pools.Store(&empty)
	return p
}

// Update replaces the pools and the list of live daemons. Requests in flight,
// limits and verdicts of targets that stay are kept. The pools must not be
// changed afterwards.
func (p *Picker) Update(pools []*model.Pool, daemons []Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	old := *p.pools.Load()
	next := make(map[model.PoolID]*pool, len(pools))
	subset := spread.New(p.self, daemons, p.perHost)
	for _, conf := range pools {
		q := old[conf.ID]
		if q == nil {
			q = newPool(p, conf.ID)
		}
		q.update(conf, subset, now)
		next[conf.ID] = q
	}
	for id, q := range old {
		// A removed pool is kept while it has requests in flight, so that it
		// finds their count if it is added again.
		if next[id] == nil && q.retire(now) {
			next[id] = q
		}
	}
	p.pools.Store(&next)
}

// Apply uses a verdict set, unless a better ranked judge is live or the set is
// older than the current one. It reports whether the set is used.
func (p *Picker) Apply(set *model.VerdictSet) bool {
	q := p.pool(set.Pool)
	if q == nil {
		return false
	}
	return q.apply(set, p.clock())
}

// Pick chooses a target with a free slot. Its errors have the kinds KindBusy,
// fault.Late, fault.Missing (no such pool) and fault.Unavailable (no target
// takes new work); in all cases the request did not run.
func (p *Picker) Pick(need Need) (*Hold, error) {
	q := p.pool(need.Pool)
	if q == nil {
		return nil, errPool
	}
	now := p.clock()
	if !need.Deadline.IsZero() && !now.Before(need.Deadline) {
		return nil, errLate
	}
	return q.pick(&need, now)
}

// Capacity returns the number of requests that may be in flight to the pool at
// once, for the pool's queue.
func (p *Picker) Capacity(id model.PoolID) int {
	q := p.pool(id)
	if q == nil {
		return 0
	}
	return q.capacity(p.clock())
}

// Free returns a channel that is closed when a slot of the pool becomes free
// or its targets change. It is closed already if the pool does not exist.
func (p *Picker) Free(id model.PoolID) <-chan struct{} {
	q := p.pool(id)
	if q == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return q.watch()
}

// Status describes one target for the operators' status page.
type Status struct {
	Target   model.TargetID `json:"target"`
	Flight   int            `json:"flight"` // requests in flight from this daemon
	Limit    int            `json:"limit"`  // requests in flight at once
	Weight   float64        `json:"weight"` // share of its fair part of the draws
	Member   bool           `json:"member"` // in this daemon's subset
	Ejected  bool           `json:"ejected"`
	Draining bool           `json:"draining"` // leaving or draining
}

// Status returns the state of the pool's targets in the configured order.
func (p *Picker) Status(id model.PoolID) []Status {
	q := p.pool(id)
	if q == nil {
		return nil
	}
	return q.status(p.clock())
}

func (p *Picker) pool(id model.PoolID) *pool { return (*p.pools.Load())[id] }
