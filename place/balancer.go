package place

import (
	"math"
	"sync"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/limit"
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
	former  map[model.TargetID]formerTarget
	// fleetShare is the share of the fleet that is reachable from this daemon, and so the
	// share of targets' limits that it uses.
	fleetShare   float64
	fleetSize    float64 // number of daemons
	reportDemand DemandReport
	evacuation   evacuation
	checkPause   func()
	floorShare   float64    // share of a pool's targets that stay in use while it is troubled; 0: none
	near         *nearFirst // nil: near targets are not used first

	configured    func(model.PoolID) (*model.Pool, bool)
	coldTolerance limit.ColdTolerance
	reportCold    func(ColdChange)
	listed        bool // the list of targets was read
}

// DemandReport reports to the other daemons that a request of this one would have used a
// target with a limit, or uses it.
type DemandReport func(id model.TargetID, urgent bool)

// Option sets an optional property of a Balancer.
type Option func(*Balancer)

// WithDemandReport sets the function that reports the demand on targets with a limit.
func WithDemandReport(report DemandReport) Option {
	return func(b *Balancer) { b.reportDemand = report }
}

type pool struct {
	targets    []*Target
	baseline   health.Baseline
	requests   requestRate
	coldDemand coldDemand
	outcomes   outcomes

	// Used with WithNearFirst only.
	members      uint64                  // hash of the targets for which subset was computed; 0: none
	subset       map[model.TargetID]bool // targets that this host uses first in their tier
	stateUpdated time.Time               // when usualRisk and kept were computed
	usualRisk    float64                 // risk of failure that a fifth of the targets is below
	full         bool                    // the slots of all usable targets are in use
	kept         [TierCount]float64      // share of the requests that reach a tier and are kept in it
	spilling     bool                    // as in SpillChange
}

// requestRate is an average of the requests per second that all reachable daemons send.
type requestRate struct {
	perSecond float64
	updated   time.Time
}

// requestRateTime is the time constant of a requestRate.
const requestRateTime = 2 * time.Second

// requestRate returns the requests per second to the pool.
func (p *pool) requestRate(now time.Time) float64 {
	p.addRequests(now, 0)
	return p.requests.perSecond
}

func (p *pool) addRequests(now time.Time, count float64) {
	r := &p.requests
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.perSecond *= math.Exp(-elapsed.Seconds() / requestRateTime.Seconds())
		r.updated = now
	}
	r.perSecond += count / requestRateTime.Seconds()
}

// Target is the state of one target, as observed by this daemon and reported by
// the others.
type Target struct {
	model.Instance // guarded by the balancer's mutex: it changes with the list; see Listed
	balancer       *Balancer
	firstSeen      time.Time // when this daemon first saw this incarnation

	exchangeHealth health.Estimate // from the exchanges of all daemons
	reachability   health.Estimate // from this daemon's own connection failures

	inFlight int       // requests sent by this daemon
	lastUsed time.Time // the latest known request from any daemon
	// load is the estimated number of requests that the target runs and queues: the
	// latest that it reported to any daemon, adjusted by the requests sent and ended
	// since.
	load        float64
	loadUpdated time.Time

	announced announced
	cold      coldState
}

// Listed returns the entry with which the target was listed last. Unlike the fields of the
// target, it may be read while the list is updated.
func (t *Target) Listed() model.Instance {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	return t.Instance
}

// NewBalancer returns a balancer without targets, of a daemon that reaches the whole
// fleet.
func NewBalancer(l Location, options ...Option) *Balancer {
	b := &Balancer{location: l, targets: make(map[model.TargetID]*Target), pools: make(map[model.PoolID]*pool), former: make(map[model.TargetID]formerTarget),
		fleetShare: 1, fleetSize: 1, reportDemand: func(model.TargetID, bool) {}, checkPause: func() {},
		configured: func(model.PoolID) (*model.Pool, bool) { return nil, false }, reportCold: func(ColdChange) {}}
	for _, o := range options {
		o(b)
	}
	return b
}

// Update replaces the targets of all pools. The state of a target is kept while
// its start time and address stay the same. What it announced is also kept while it is not
// listed.
func (b *Balancer) Update(now time.Time, instances map[model.PoolID][]*model.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordAnnounced(now)
	targets := make(map[model.TargetID]*Target)
	pools := make(map[model.PoolID]*pool)
	for id, list := range instances {
		p := &pool{kept: [TierCount]float64{1, 1, 1}}
		if old := b.pools[id]; old != nil {
			p.baseline, p.requests, p.coldDemand, p.outcomes = old.baseline, old.requests, old.coldDemand, old.outcomes
			p.members, p.subset = old.members, old.subset
			p.stateUpdated, p.usualRisk, p.full, p.kept, p.spilling = old.stateUpdated, old.usualRisk, old.full, old.kept, old.spilling
		}
		for _, instance := range list {
			t := b.targets[instance.ID]
			old := t
			isNew := t == nil || t.StartedAt != instance.StartedAt || t.Address != instance.Address
			if isNew {
				t = &Target{balancer: b, firstSeen: now}
			}
			b.evacuation.move(t.inFlight, t.Domain, instance.Domain)
			t.listCold(now, old, instance.Revision)
			t.Instance = *instance
			if isNew {
				t.restoreAnnounced()
			}
			t.coldPacer(now, b.coldRule(id))
			targets[instance.ID] = t
			p.targets = append(p.targets, t)
		}
		b.updateSubsets(p)
		pools[id] = p
	}
	b.targets, b.pools, b.listed = targets, pools, true
}

// Size returns the number of targets of a pool that accept new requests.
func (b *Balancer) Size(id model.PoolID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	if p := b.pools[id]; p != nil {
		for _, t := range p.targets {
			if !t.isLeaving() {
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
// Several failures to reach a target count as one for the target, but all of them for
// its pool.
func (b *Balancer) AddRemoteObservation(now time.Time, o RemoteObservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[o.Target]
	if t == nil {
		return
	}
	t.lastUsed = now
	p := b.pools[t.Pool]
	count := o.Count
	if o.Kind == health.Unreachable {
		count = min(count, 1) // one daemon's failures may all come from its network path
	}
	for range min(count, maxEqualObservations) {
		t.exchangeHealth.Add(now, o.Kind, &p.baseline)
	}
	p.baseline.Add(now, o.Kind, float64(o.Count))
	p.outcomes.add(now, o.Kind, float64(o.Count))
}

// maxEqualObservations is the number of equal observations in one report beyond which
// further ones don't change the estimate.
const maxEqualObservations = 6

// SetRemoteLoad sets the load, in requests, that a target reported to another daemon.
func (b *Balancer) SetRemoteLoad(now time.Time, id model.TargetID, load float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		t.load, t.loadUpdated = load, now
	}
}

// AddRemoteRequests counts requests that other daemons sent to a target, and those that ended
// there.
func (b *Balancer) AddRemoteRequests(now time.Time, id model.TargetID, sent, ended int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		t.adjustLoad(now, float64(sent-ended))
		b.addRequests(now, t, sent)
		t.addRemoteSent(now, float64(sent))
	}
}

// Begin counts a request that is sent to the target. Each Begin needs an End.
func (t *Target) Begin(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.inFlight++
	t.balancer.evacuation.count(t.Domain, 1)
	t.lastUsed = now
	t.adjustLoad(now, 1)
	t.balancer.addRequests(now, t, 1)
}

// addRequests counts requests sent to a target for its pool. The caller holds b.mu.
func (b *Balancer) addRequests(now time.Time, t *Target, count int) {
	if p := b.pools[t.Pool]; p != nil {
		p.addRequests(now, float64(count))
	}
}

// End counts the end of a request.
func (t *Target) End(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.inFlight--
	t.balancer.evacuation.count(t.Domain, -1)
	t.adjustLoad(now, -1)
}

// AddObservation adds an observation of this daemon. Good and Unreachable also update
// the target's reachability from this daemon, where Unreachable counts twice.
func (t *Target) AddObservation(now time.Time, observed health.Observation) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[t.Pool]
	if p == nil {
		return
	}
	t.exchangeHealth.Add(now, observed, &p.baseline)
	if observed == health.Unreachable || observed == health.Good {
		// The pool's failure rate doesn't explain a failing path of this daemon.
		var emptyBaseline health.Baseline
		t.reachability.Add(now, observed, &emptyBaseline)
		if observed == health.Unreachable {
			t.reachability.Add(now, observed, &emptyBaseline)
		}
	}
	p.baseline.Add(now, observed, 1)
	p.outcomes.add(now, observed, 1)
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
