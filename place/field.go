package place

import (
	"sync"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// Location is the location of this daemon.
type Location struct {
	Region model.Region
	Domain model.Domain
}

// Balancer holds the state of the targets of all pools. It is safe for concurrent use.
type Balancer struct {
	location Location

	mu      sync.Mutex
	targets map[model.TargetID]*Target
	pools   map[model.PoolID]*pool
}

type pool struct {
	targets []*Target
	base    health.Baseline
}

// Target is the state of one target, as observed by this daemon and reported by
// the others.
type Target struct {
	model.Instance
	balancer  *Balancer
	firstSeen time.Time // when this daemon first saw this incarnation

	exchangeHealth health.Estimate // from the exchanges of all daemons
	reachability   health.Estimate // from this daemon's own connection failures

	inFlight int       // requests sent by this daemon
	lastUsed time.Time // the latest known request from any daemon
	// load is the estimated number of requests that the target runs and queues: its
	// latest report to any daemon, adjusted by the requests sent and ended since.
	load        float64
	loadUpdated time.Time
}

// NewBalancer returns a balancer without targets.
func NewBalancer(s Location) *Balancer {
	return &Balancer{location: s, targets: make(map[model.TargetID]*Target), pools: make(map[model.PoolID]*pool)}
}

// Update replaces the targets of all pools. The state of a target is kept while
// its start time and address stay the same.
func (f *Balancer) Update(now time.Time, instances map[model.PoolID][]*model.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make(map[model.TargetID]*Target)
	pools := make(map[model.PoolID]*pool)
	for id, list := range instances {
		p := &pool{}
		if old := f.pools[id]; old != nil {
			p.base = old.base
		}
		for _, instance := range list {
			t := f.targets[instance.ID]
			if t == nil || t.StartedAt != instance.StartedAt || t.Address != instance.Address {
				t = &Target{balancer: f, firstSeen: now}
			}
			t.Instance = *instance
			targets[instance.ID] = t
			p.targets = append(p.targets, t)
		}
		pools[id] = p
	}
	f.targets, f.pools = targets, pools
}

// Size returns the number of targets of a pool that accept new requests.
func (f *Balancer) Size(id model.PoolID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	if p := f.pools[id]; p != nil {
		for _, t := range p.targets {
			if !t.Leaving {
				n++
			}
		}
	}
	return n
}

// RemoteObservation is a number of equal observations of a target by another daemon.
type RemoteObservation struct {
	Target model.TargetID
	Kind   health.Observation
	Count  int
}

// AddRemoteObservation adds observations of another daemon. It ignores unknown targets.
func (f *Balancer) AddRemoteObservation(now time.Time, s RemoteObservation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[s.Target]
	if t == nil {
		return
	}
	t.lastUsed = now
	p := f.pools[t.Pool]
	count := s.Count
	if s.Kind == health.Unreachable {
		count = min(count, 1) // one daemon's failures may all come from its network path
	}
	for range min(count, maxEqualSights) {
		t.exchangeHealth.Add(now, s.Kind, &p.base)
	}
	p.base.Add(now, s.Kind, float64(s.Count))
}

// maxEqualSights is the number of equal observations beyond which further ones
// don't change the estimate.
const maxEqualSights = 6

// SetRemoteLoad sets the load, in requests, that a target reported to another daemon.
func (f *Balancer) SetRemoteLoad(now time.Time, id model.TargetID, load float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.load, t.loadUpdated = load, now
	}
}

// AddRemoteRequests counts requests that other daemons sent to a target, and those that ended
// there.
func (f *Balancer) AddRemoteRequests(now time.Time, id model.TargetID, sent, ended int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.adjustLoad(now, float64(sent-ended))
	}
}

// Begin counts a request that is sent to the target. Each Begin needs an End.
func (t *Target) Begin(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.inFlight++
	t.lastUsed = now
	t.adjustLoad(now, 1)
}

// End counts the end of a request.
func (t *Target) End(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.inFlight--
	t.adjustLoad(now, -1)
}

// AddObservation adds an observation of this daemon.
func (t *Target) AddObservation(now time.Time, observed health.Observation) {
	f := t.balancer
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[t.Pool]
	if p == nil {
		return
	}
	t.exchangeHealth.Add(now, observed, &p.base)
	if observed == health.Unreachable || observed == health.Good {
		// The pool's failure rate doesn't explain a failing path of this daemon.
		var emptyBase health.Baseline
		t.reachability.Add(now, observed, &emptyBase)
		if observed == health.Unreachable {
			t.reachability.Add(now, observed, &emptyBase)
		}
	}
	p.base.Add(now, observed, 1)
}

// SetLoad sets the load, in requests, that the target reported to this daemon.
func (t *Target) SetLoad(now time.Time, load float64) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.load, t.loadUpdated = load, now
}

// UnhealthyProbability returns the probability that the target is unhealthy, for logs.
func (t *Target) UnhealthyProbability(now time.Time) float64 {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	return t.exchangeHealth.UnhealthyProbability(now)
}
