package pick

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/subset"
)

// KindBusy marks a request that was not run because no target has a free slot.
const KindBusy fault.Kind = "busy"

// The errors are preallocated, so that a refusal does not allocate.
var (
	errPool = fault.New(fault.KindMissing, "the pool does not exist", "check the route's pool in the configuration")
	errLate = fault.New(fault.KindTimeout, "the deadline passed before a target was chosen", "send the request again with a longer deadline")
	errBusy = fault.New(KindBusy, "no target has a free slot", "send the request again later, or add targets to the pool")
	errNone = fault.New(fault.KindUnavailable, "every target of the pool is leaving, draining or was tried", "add targets to the pool")
)

// Daemon describes one daemon of the fleet.
type Daemon = subset.Daemon

// Request describes what a request requires of its target.
type Request struct {
	Pool         model.PoolID
	Deadline     time.Time        // the caller's deadline; zero means none
	TriedTargets []model.TargetID // targets already tried; not chosen again
	TriedDomains []model.Domain   // failure domains already tried; others are preferred
	Repeatable   bool             // repeatable, so it may go to a suspect target
}

// Result classifies how a request to a target ended.
type Result uint8

// The values of Result.
const (
	// Complete is a complete response.
	Complete Result = iota
	// Failed is an error response or an incomplete one.
	Failed
	// Slow is a complete but late response. It does not raise the limit.
	Slow
	// Shed is a refusal by an overloaded target.
	Shed
	// NoResponse is a request without any response.
	NoResponse
	// Draining is a response that announces that the target is draining.
	Draining
)

// Slot is a slot of a target, held by one request in flight. It is not safe for
// concurrent use and must not be used after Done.
type Slot struct {
	pool   *pool
	target *target
	config *model.Target
}

// Target returns the target's configuration at the time it was chosen.
func (s *Slot) Target() *model.Target { return s.config }

// Done ends the request and frees its slot. It must be called exactly once.
func (s *Slot) Done(r Result) { s.pool.done(s, r) }

// Picker chooses targets for one daemon.
type Picker struct {
	self                 Daemon
	clock                model.Clock
	connectionsPerDaemon int
	seeds                rand.Source

	mu    sync.Mutex // serializes Update
	pools atomic.Pointer[map[model.PoolID]*pool]
}

// Option configures a Picker.
type Option func(*Picker)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(p *Picker) { p.clock = c } }

// WithSource replaces the source of random numbers, e.g. by a seeded one.
func WithSource(s rand.Source) Option { return func(p *Picker) { p.seeds = s } }

// WithMaxConnections sets the maximum number of connections that each daemon opens
// to one target. Values below 1 count as 1. The default is 8.
func WithMaxConnections(n int) Option { return func(p *Picker) { p.connectionsPerDaemon = max(1, n) } }

// defaultConnections lets 38 daemons share a target with a cap of 330
// connections.
const defaultConnections = 8

// New returns a Picker without pools for the daemon self.
func New(self Daemon, options ...Option) *Picker {
	p := &Picker{
		self:                 self,
		clock:                time.Now,
		connectionsPerDaemon: defaultConnections,
		seeds:                rand.NewPCG(rand.Uint64(), rand.Uint64()),
	}
	for _, o := range options {
		o(p)
	}
	empty := make(map[model.PoolID]*pool)
	p.pools.Store(&empty)
	return p
}

// Update replaces the pools and the list of live daemons. In-flight counts,
// limits and verdicts of targets that stay are kept. The pools must not be
// modified afterwards.
func (p *Picker) Update(pools []*model.Pool, daemons []Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	old := *p.pools.Load()
	next := make(map[model.PoolID]*pool, len(pools))
	ownSubset := subset.New(p.self, daemons, p.connectionsPerDaemon)
	for _, conf := range pools {
		q := old[conf.ID]
		if q == nil {
			q = newPool(p, conf.ID)
		}
		q.update(conf, ownSubset, now)
		next[conf.ID] = q
	}
	for id, q := range old {
		// A removed pool is kept while it has requests in flight, so that their
		// count is still known if the pool is added again.
		if next[id] == nil && q.retire(now) {
			next[id] = q
		}
	}
	p.pools.Store(&next)
}

// ApplyVerdicts replaces the verdict set of a pool and reports whether it was accepted.
// It is not if a judge with a lower rank is live, if the set is older than the
// current one, or if the pool does not exist.
func (p *Picker) ApplyVerdicts(set *model.VerdictSet) bool {
	q := p.pool(set.Pool)
	if q == nil {
		return false
	}
	return q.apply(set, p.clock())
}

// Pick chooses a target with a free slot. Its errors have the kinds KindBusy,
// fault.KindTimeout, fault.KindMissing (no such pool) and fault.KindUnavailable (no target
// accepts new requests). In all cases the request was not run.
func (p *Picker) Pick(request Request) (*Slot, error) {
	q := p.pool(request.Pool)
	if q == nil {
		return nil, errPool
	}
	now := p.clock()
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return nil, errLate
	}
	return q.pick(&request, now)
}

// Capacity returns how many requests may be in flight to the pool at once, or 0
// if the pool does not exist. The pool's queue uses it.
func (p *Picker) Capacity(id model.PoolID) int {
	q := p.pool(id)
	if q == nil {
		return 0
	}
	return q.capacity(p.clock())
}

// SlotFreed returns a channel that is closed when a slot of the pool becomes free
// or its targets change. The channel is already closed if the pool does not exist.
func (p *Picker) SlotFreed(id model.PoolID) <-chan struct{} {
	q := p.pool(id)
	if q == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return q.freeChannel()
}

// Status describes one target for the operators' status page.
type Status struct {
	Target   model.TargetID `json:"target"`
	InFlight int            `json:"flight"` // requests in flight from this daemon
	Limit    int            `json:"limit"`  // maximum requests in flight
	Weight   float64        `json:"weight"` // fraction of its fair share of the draws, 0 to 1
	InSubset bool           `json:"member"` // in this daemon's subset
	Ejected  bool           `json:"ejected"`
	Draining bool           `json:"draining"` // leaving or draining
}

// Status returns the state of the pool's targets in the configured order, or nil
// if the pool does not exist.
func (p *Picker) Status(id model.PoolID) []Status {
	q := p.pool(id)
	if q == nil {
		return nil
	}
	return q.status(p.clock())
}

func (p *Picker) pool(id model.PoolID) *pool { return (*p.pools.Load())[id] }
