package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

const (
	// unsafeFailureCost is the cost in seconds of a failed request that may not
	// be repeated: about three times the duration of the request.
	unsafeFailureCost = 2.0
	// safeFailureCost is the cost in seconds of a failed request that may be
	// repeated: the time lost, and a part of the retry budget.
	safeFailureCost = 0.2
	// domainCostPerByte and regionCostPerByte are the cost in seconds of a byte
	// that crosses between failure domains or regions. The price of a byte between
	// regions is seven times higher, and 90 KB between domains cost half as much as
	// a request.
	domainCostPerByte = 2.5e-6
	regionCostPerByte = 18e-6
	// domainRoundTrip and regionRoundTrip are the round-trip times in seconds to
	// another failure domain and to another region.
	domainRoundTrip = 0.002
	regionRoundTrip = 0.025
	// loadTimeConstant is the time constant in seconds of the decay of a load
	// estimate. In that time a target serves a few requests, and has reported a newer
	// load.
	loadTimeConstant = 1.0
	// defaultUtilization is the share of its slots that a target is assumed to use
	// without a recent report.
	defaultUtilization = 0.4
	// coldFactor is the factor by which a target is slower after its start.
	coldFactor = 2.0
	// idleThreshold is the time without a request from any daemon after which a
	// target is probed with a request that may be repeated. Most gray failures
	// last longer, but a recovered target must be in use again within two seconds.
	idleThreshold = 1000 * time.Millisecond
	// idleProbeRatio makes one in three first sends of repeatable requests probe an
	// idle target: few enough that the daemons don't all select it before they
	// receive each other's reports.
	idleProbeRatio = 3
	// localSamples is the number of random candidates in this daemon's region, and
	// remoteSamples that in the other regions. They don't grow with the pool:
	// daemons that compare many candidates all select the same few before they
	// receive each other's reports.
	localSamples  = 4
	remoteSamples = 2
)

// Request describes a request for which a target is selected.
type Request struct {
	Pool model.PoolID
	// UsualSeconds is the usual duration of the request at a target, in seconds.
	UsualSeconds float64
	// Bytes is the usual size of the request and its response together.
	Bytes float64
	// Repeatable is set if the request may be repeated.
	Repeatable bool
	// Urgent is set if the request is of the most urgent rank of its pool. It goes first
	// at targets with a limit.
	Urgent bool
	// Tried lists the targets that must not get the request again.
	Tried []model.TargetID
	// Regions are the only regions whose targets may get the request; nil: all. An empty
	// list that is not nil allows none.
	Regions []model.Region
}

// allows reports whether the target is in an allowed region.
func (r *Request) allows(t *Target) bool {
	return r.Regions == nil || slices.Contains(r.Regions, t.Region)
}

// maxLimitedTargets is the number of targets with a limit that are asked for one
// request, if the pool has no others.
const maxLimitedTargets = 24

// Choose returns the candidate with the lowest expected cost, or now and then an idle
// target, and false if there is none. Candidates are random targets that are not
// leaving, by the list or their own word, want no pause, and were not tried. Those with a
// limit are candidates beside those without one, and are used if they are better and the
// limit leaves room. The function random returns a random number in [0, n) for its
// argument n.
func (b *Balancer) Choose(now time.Time, r Request, random func(int) int) (*Target, bool) {
	if len(r.Tried) > 0 {
		b.checkPause()
	}
	t, wanted := b.choose(now, r, random)
	for _, id := range wanted {
		b.reportDemand(id, r.Urgent)
	}
	return t, t != nil
}

// targets holds targets of this daemon's region and of the others.
type targets struct{ local, remote []*Target }

func (l *targets) size() int { return len(l.local) + len(l.remote) }

func (l *targets) add(t *Target, region model.Region) {
	if t.Region == region {
		l.local = append(l.local, t)
	} else {
		l.remote = append(l.remote, t)
	}
}

// take removes some random targets and returns them.
func (l *targets) take(random func(int) int) []*Target {
	local, remote := sample(l.local, localSamples, random), sample(l.remote, remoteSamples, random)
	l.local, l.remote = l.local[len(local):], l.remote[len(remote):]
	return slices.Concat(local, remote)
}

// choose implements Choose. It also returns the targets with a limit that the request
// would have used, or uses.
func (b *Balancer) choose(now time.Time, r Request, random func(int) int) (chosen *Target, wanted []model.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[r.Pool]
	if p == nil {
		return nil, nil
	}
	limited, unlimited, cold := b.eligible(now, p, r)
	// Each request compares so many targets with a limit, and all may find this one best.
	possible := p.requestRate(now) * (localSamples + remoteSamples) / float64(max(limited.size(), 1)) / urgencyClasses
	defer p.countColdDemand(now, r, cold)
	admits := func(t *Target) bool {
		if t.announced.pacer == nil {
			return true
		}
		wanted = append(wanted, t.ID)
		return t.announced.pacer.Admit(now, r.Urgent, possible, float64(random(limitChances))/limitChances)
	}
	probed := b.probed(now, p, slices.Concat(unlimited.local, limited.local))
	if t := sampleIdle(now, probed, r, random); t != nil && admits(t) {
		return t, wanted
	}
	if t := b.sampleFloor(now, p, r, unlimited, random); t != nil {
		return t, wanted
	}
	best := candidate{cost: math.Inf(1)}
	list, near := b.candidates(now, p, unlimited, r, random)
	if len(list) > 0 {
		best = list[0]
	}
	if len(cold) > 0 {
		t := b.chooseCold(now, p, r, cold, best.cost, random)
		if t != nil {
			return t, append(wanted, t.ID)
		}
		wanted = append(wanted, cold[random(len(cold))].ID)
	}
	if t := b.chooseLimited(now, limited, r, best, near, admits, random); t != nil {
		return t, wanted
	}
	return best.target, wanted
}

// chooseLimited returns a target with a limit that is better than the best one without, and
// that admits the request, or nil. With near set, only those of this host's failure domain
// are asked. The caller holds b.mu.
func (b *Balancer) chooseLimited(now time.Time, limited targets, r Request, best candidate, near bool, admits func(*Target) bool, random func(int) int) *Target {
	for asked := 0; asked < maxLimitedTargets && limited.size() > 0; {
		for _, c := range b.byCost(now, limited.take(random), r) {
			if near && b.tierOf(c.target) != OwnDomain {
				continue
			}
			if c.cost < best.cost && admits(c.target) {
				return c.target
			}
			asked++
		}
		if best.target != nil {
			break
		}
	}
	return nil
}

// eligible returns the targets of the pool that may get the request, those with a limit
// and those without one, and those that are cold in a pool with a limit for that. The
// caller holds b.mu.
func (b *Balancer) eligible(now time.Time, p *pool, r Request) (limited, unlimited targets, cold []*Target) {
	if !b.evacuation.usable(now) {
		return targets{}, targets{}, nil
	}
	rule := b.coldRule(r.Pool)
	for _, t := range p.targets {
		switch {
		case b.stateOf(now, t, r) != StateEligible:
		case t.coldPacer(now, rule) != nil:
			cold = append(cold, t)
		case t.announced.pacer != nil:
			limited.add(t, b.location.Region)
		default:
			unlimited.add(t, b.location.Region)
		}
	}
	return limited, unlimited, cold
}

// candidate is a target with its expected cost in seconds.
type candidate struct {
	target *Target
	cost   float64
}

// byCost returns the targets with their expected costs, the lowest first.
func (b *Balancer) byCost(now time.Time, targets []*Target, r Request) []candidate {
	list := make([]candidate, len(targets))
	for i, t := range targets {
		list[i] = candidate{t, b.cost(now, t, r)}
	}
	slices.SortFunc(list, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

// limitChances is the number of different random numbers by which limits are applied.
const limitChances = 1 << 16

// urgencyClasses is the number of classes of requests whose demand is counted, those that
// are urgent and the others.
const urgencyClasses = 2

// sampleIdle returns a random target of this daemon's region that no daemon has used
// recently, for one in idleProbeRatio first sends of requests that may be repeated,
// or nil. This finds recovered targets soon, and keeps a target that was avoided for
// no good reason in use.
func sampleIdle(now time.Time, local []*Target, r Request, random func(int) int) *Target {
	if !isIdleProbe(r, random) {
		return nil
	}
	var idle []*Target
	for _, t := range local {
		if t.isIdle(now) {
			idle = append(idle, t)
		}
	}
	if len(idle) == 0 {
		return nil
	}
	return idle[random(len(idle))]
}

// isIdleProbe reports whether the request probes an idle target, if there is one.
func isIdleProbe(r Request, random func(int) int) bool {
	return r.Repeatable && len(r.Tried) == 0 && random(idleProbeRatio) == 0
}

// isIdle reports whether no daemon has used the target recently.
func (t *Target) isIdle(now time.Time) bool {
	return now.Sub(t.lastUsed) > idleThreshold && now.Sub(t.firstSeen) > idleThreshold
}

// sample moves count random elements to the front of the list and returns them.
func sample(list []*Target, count int, random func(int) int) []*Target {
	count = min(count, len(list))
	for i := range count {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count:count]
}

// risk returns the probability that the target fails the next request: the greater one of
// that from all daemons' exchanges, and that from this daemon's own connection failures,
// which is 0 without observations.
func (t *Target) risk(now time.Time) float64 {
	return max(t.exchangeHealth.FailureProbability(now), t.reachability.UnhealthyProbability(now)-health.SteadyState)
}

// failureCost returns the cost in seconds of a failure of the request.
func failureCost(r Request) float64 {
	if r.Repeatable {
		return safeFailureCost
	}
	return unsafeFailureCost
}

// Cost holds the parts of the expected cost, in seconds, of sending a request to a target.
type Cost struct {
	Work     float64 `json:"work"`     // the usual duration, with the slowdown by load below the number of slots
	Queue    float64 `json:"queue"`    // waiting for a free slot
	Failure  float64 `json:"failure"`  // risk of failure
	Distance float64 `json:"distance"` // round trip and bytes to another domain or region
}

// cost returns the expected cost in seconds of sending the request to the target.
func (b *Balancer) cost(now time.Time, t *Target, r Request) float64 {
	_, total := b.costParts(now, t, r)
	return total
}

// costParts returns the cost by part and in total. The caller holds b.mu.
func (b *Balancer) costParts(now time.Time, t *Target, r Request) (c Cost, total float64) {
	load := t.estimatedLoad(now)
	slots := float64(max(t.Slots, 1))
	work := r.UsualSeconds
	if t.warmsUp(now) {
		work *= coldFactor
	}
	// Up to its number of slots, a target slows down only slightly with load: by 30%
	// if all are in use. Beyond it, requests are queued until others end.
	slowdown, queue := 0.3*load/slots, max(0, load+1-slots)/slots
	c = Cost{Work: work * (1 + slowdown), Queue: work * queue, Failure: failureCost(r) * t.risk(now)}
	switch {
	case t.Region != b.location.Region:
		c.Distance = regionRoundTrip + regionCostPerByte*r.Bytes
	case t.Domain != b.location.Domain:
		c.Distance = domainRoundTrip + domainCostPerByte*r.Bytes
	}
	// Not the sum of the parts: its rounding could change the choice between almost equal costs.
	total = work * (1 + slowdown + queue)
	total += c.Failure
	return c, total + c.Distance
}

// warmsUp reports whether the target is slow because it is cold.
func (t *Target) warmsUp(now time.Time) bool {
	return t.cold.pacer != nil || now.Sub(t.firstSeen) < t.Cold.Duration()
}

// estimatedLoad returns the number of requests at the target. The estimate decays
// to the default utilization, and is at least the number that this daemon has in
// flight there.
func (t *Target) estimatedLoad(now time.Time) float64 {
	load := defaultUtilization * float64(t.Slots)
	if !t.loadUpdated.IsZero() {
		load += (t.load - load) * math.Exp(-now.Sub(t.loadUpdated).Seconds()/loadTimeConstant)
	}
	return max(load, float64(t.inFlight), 0)
}

// adjustLoad changes the load estimate by the number of requests sent or ended.
func (t *Target) adjustLoad(now time.Time, delta float64) {
	t.load, t.loadUpdated = t.estimatedLoad(now)+delta, now
}
