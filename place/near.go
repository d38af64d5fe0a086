package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/subset"
)

const (
	// subsetSize is the number of targets of a pool that a host uses first in each tier.
	// The lowest cost of four keeps loads even, and four targets are few enough that
	// connections are reused.
	subsetSize = 4
	// otherSamples is the number of random targets of the host's own failure domain that
	// are compared beyond its subset.
	otherSamples = 2
	// usualRiskDivisor selects the target with whose risk of failure the others are compared:
	// a fifth of the pool's targets has lower risks. With the median, a pool of which half
	// fails would seem healthy.
	usualRiskDivisor = 5
	// tolerableLoss is the expected loss in seconds through the failure of a request, above
	// that at a target of the usual risk, up to which a target is used without comparing it
	// with targets farther away: a risk higher by 0.015 for a request that may not be
	// repeated. In simulations of a domain whose targets all fail, 2 of 20,428 requests
	// failed, as many as without WithNearFirst.
	tolerableLoss = 0.03
	// poolStateAge is the time for which the state of a pool is used before it is computed
	// again, since it takes a pass over all targets.
	poolStateAge = 50 * time.Millisecond
	// keptGain is the change per second of the share of requests that is kept in a tier, for
	// each unit of difference in the use of slots. In simulations with reports of 0.35 s,
	// four times this gain sent 13% instead of 5% out of domains that were all two thirds
	// full.
	keptGain = 0.5
	// fullUse is the use of the pool's slots from which on few targets are compared, as
	// many as without WithNearFirst. Values of 0.8 and 0.9 sent 12% and 4% instead of 2% out
	// of domains that were all two thirds full.
	fullUse = 1.0
	// spillMargin is the difference between the uses of slots of two tiers that is not worth
	// the way to the farther one.
	spillMargin = 0.1
	// maxElapsed bounds the time for which one observation of the loads counts.
	maxElapsed = time.Second
	// maxUse bounds the use of slots, so that a tier without a usable target is not left for
	// long after these return.
	maxUse = 2.0
	// excludedRisk is the risk of failure above the usual one beyond which the slots of a target
	// don't count as capacity.
	excludedRisk = 0.25
	// domainIdleFactor and regionIdleFactor are the multiples of idleThreshold after which
	// hosts probe an idle target that is not in their subset, in their failure domain and in
	// their region: those that have it in their subsets may be gone.
	domainIdleFactor = 2
	regionIdleFactor = 4
)

// Tier is the distance of a target from this host.
type Tier int

// The tiers, the nearest first. TierCount is their number.
const (
	OwnDomain Tier = iota
	OwnRegion
	OtherRegions
	TierCount
)

// String returns the name used in metrics.
func (t Tier) String() string { return [TierCount]string{"domain", "region", "far"}[t] }

// Tier returns the target's distance from this host.
func (t *Target) Tier() Tier {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	return t.balancer.tierOf(t)
}

const (
	// spillStart and spillEnd are the shares of a pool's requests that are kept in the
	// host's failure domain below which the pool counts as spilling over, and above which
	// it no longer does. The distance keeps the log short.
	spillStart = 0.7
	spillEnd   = 0.95
)

// SpillChange says that a pool's requests began or ceased to spill over from this host's
// failure domain, since its targets have no room. Kept is the share that is still kept.
type SpillChange struct {
	Pool     model.PoolID
	Spilling bool
	Kept     float64
}

// SpillChanges returns the changes since the previous call.
func (b *Balancer) SpillChanges() []SpillChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []SpillChange
	for id, p := range b.pools {
		kept := p.kept[OwnDomain]
		if b.near != nil && (p.spilling && kept > spillEnd || !p.spilling && kept < spillStart) {
			p.spilling = !p.spilling
			changes = append(changes, SpillChange{Pool: id, Spilling: p.spilling, Kept: kept})
		}
	}
	return changes
}

// spillUse is the use of the slots of a tier above which requests spill over to tiers that
// are used less. With few slots at each target queues begin to grow there. Other regions are
// expensive.
var spillUse = [TierCount]float64{0.7, 0.85, 1}

// nearFirst holds what a Balancer needs to use near targets first.
type nearFirst struct {
	self  model.HostID
	hosts []model.HostID // of this host's failure domain, sorted, with this host
}

// WithNearFirst makes the Balancer use the targets of its own failure domain first, then
// those of its region, then others, each while they have room and look healthy. Self is
// this host.
func WithNearFirst(self model.HostID) Option {
	return func(b *Balancer) { b.near = &nearFirst{self: self, hosts: []model.HostID{self}} }
}

// SetDomainHosts sets the hosts of this host's failure domain, which divide the targets
// among themselves. It has no effect without WithNearFirst.
func (b *Balancer) SetDomainHosts(hosts []model.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.near == nil {
		return
	}
	hosts = append(slices.Clone(hosts), b.near.self)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if slices.Equal(hosts, b.near.hosts) {
		return
	}
	b.near.hosts = hosts
	for _, p := range b.pools {
		p.members = 0
		b.updateSubsets(p)
	}
}

func (b *Balancer) tierOf(t *Target) Tier {
	switch {
	case t.Domain == b.location.Domain:
		return OwnDomain
	case t.Region == b.location.Region:
		return OwnRegion
	default:
		return OtherRegions
	}
}

// updateSubsets computes this host's subsets of the pool's targets if these changed. Targets
// that are listed as leaving are in no subset. The caller holds b.mu.
func (b *Balancer) updateSubsets(p *pool) {
	if b.near == nil {
		return
	}
	members := uint64(1) // not 0, which stands for no subsets
	for _, t := range p.targets {
		if !t.Leaving {
			members ^= xxhash.Sum64String(string(t.ID) + "\x00" + string(t.Domain))
		}
	}
	if members == p.members {
		return
	}
	p.members, p.subset = members, make(map[model.TargetID]bool)
	var byTier [TierCount][]model.Target
	for _, t := range p.targets {
		if !t.Leaving {
			byTier[b.tierOf(t)] = append(byTier[b.tierOf(t)], model.Target{ID: t.ID})
		}
	}
	hosts := make([]subset.Daemon, len(b.near.hosts))
	for i, id := range b.near.hosts {
		hosts[i].Host = id
	}
	assignment := subset.New(subset.Daemon{Host: b.near.self}, hosts, 1)
	for _, targets := range byTier {
		if len(targets) == 0 {
			continue
		}
		// Each target is in the subsets of so many hosts; at least in one.
		users := (subsetSize*len(hosts) + len(targets) - 1) / len(targets)
		for i := range targets {
			targets[i].Connections = users
		}
		for i, a := range assignment.Assignments(&model.Pool{Targets: targets}) {
			if a.Used {
				p.subset[targets[i].ID] = true
			}
		}
	}
}

// candidates returns the targets that are compared for a request, with the lowest cost
// first, and whether the first one is in this host's failure domain and suffices. Without
// WithNearFirst they are random ones. Otherwise targets that are farther away are added if
// the pooled load of the nearer ones leaves no room, or while none has a free slot and looks
// healthy. If none suffices, or two targets were tried, random targets are compared as
// without WithNearFirst. The caller holds b.mu.
func (b *Balancer) candidates(now time.Time, p *pool, l targets, r Request, random func(int) int) (list []candidate, near bool) {
	if b.near == nil {
		return b.byCost(now, l.take(random), r), false
	}
	b.updateState(now, p, r.Pool)
	var used, others [TierCount][]*Target
	for _, t := range slices.Concat(l.local, l.remote) {
		if d := b.tierOf(t); p.subset[t.ID] {
			used[d] = append(used[d], t)
		} else {
			others[d] = append(others[d], t)
		}
	}
	if p.full {
		// The widening below would find the same few free slots on all hosts.
		own := sample(used[OwnDomain], subsetSize, random)
		rest := append(slices.Clone(others[OwnDomain]), slices.Concat(used[OwnRegion], others[OwnRegion])...)
		list = b.byCost(now, append(own, sample(rest, otherSamples, random)...), r)
		if len(list) > 0 && p.looksHealthy(now, list[0].target, r) {
			return list, false
		}
		return b.byCost(now, append(targetsOf(list), l.take(random)...), r), false
	}
	for d := OwnDomain; d < TierCount && len(r.Tried) < 2; d++ {
		if float64(random(limitChances))/limitChances >= p.kept[d] {
			continue
		}
		for _, step := range [][]*Target{sample(used[d], subsetSize, random), sample(others[d], otherSamples, random)} {
			list = b.byCost(now, append(targetsOf(list), step...), r)
			if i := slices.IndexFunc(list, func(c candidate) bool { return p.suffices(now, c.target, r) }); i >= 0 {
				return list[i:], b.tierOf(list[i].target) == OwnDomain
			}
		}
	}
	return b.byCost(now, l.take(random), r), false
}

func targetsOf(list []candidate) []*Target {
	targets := make([]*Target, len(list))
	for i, c := range list {
		targets[i] = c.target
	}
	return targets
}

// suffices reports whether a target has a free slot and looks healthy, so that no others need
// to be compared. The caller holds the balancer's lock.
func (p *pool) suffices(now time.Time, t *Target, r Request) bool {
	return t.estimatedLoad(now)+1 <= float64(t.Slots) && p.looksHealthy(now, t, r)
}

// looksHealthy reports whether the target's risk is near the usual one of the pool. The
// caller holds the balancer's lock.
func (p *pool) looksHealthy(now time.Time, t *Target, r Request) bool {
	return (t.risk(now)-p.usualRisk)*failureCost(r) <= tolerableLoss
}

// updateState computes the usual risk of the pool's targets and the shares of the requests
// that are kept in each tier. A share is the integral of the difference between the use of
// the tier's slots and that at which requests spill over, so it settles although loads are
// known late, and does not flap. The caller holds b.mu.
func (b *Balancer) updateState(now time.Time, p *pool, id model.PoolID) {
	elapsed := now.Sub(p.stateUpdated)
	if elapsed < poolStateAge {
		return
	}
	p.stateUpdated = now
	_, eligible, _ := b.eligible(now, p, Request{Pool: id})
	usable := slices.Concat(eligible.local, eligible.remote)
	risks := make([]float64, len(usable))
	for i, t := range usable {
		risks[i] = t.risk(now)
	}
	sorted := slices.Sorted(slices.Values(risks))
	if len(sorted) > 0 {
		p.usualRisk = sorted[(len(sorted)-1)/usualRiskDivisor]
	}
	var load, slots [TierCount]float64
	for i, t := range usable {
		if risks[i]-p.usualRisk <= excludedRisk {
			d := b.tierOf(t)
			load[d] += t.estimatedLoad(now)
			slots[d] += float64(max(t.Slots, 1))
		}
	}
	var fartherLoad, fartherSlots float64 // of all tiers that are farther away
	for d := OtherRegions; d >= OwnDomain; d-- {
		if fartherSlots == 0 {
			p.kept[d] = 1
		} else {
			use := maxUse
			if slots[d] > 0 {
				use = min(load[d]/slots[d], maxUse)
			}
			change := max(spillUse[d], fartherLoad/fartherSlots+spillMargin) - use
			p.kept[d] = min(max(p.kept[d]+change*keptGain*min(elapsed, maxElapsed).Seconds(), 0), 1)
		}
		fartherLoad += load[d]
		fartherSlots += slots[d]
	}
	p.full = fartherLoad > fullUse*fartherSlots
}

// probed returns those of the targets of this host's region that it probes if they are idle.
// The caller holds b.mu.
func (b *Balancer) probed(now time.Time, p *pool, region []*Target) []*Target {
	if b.near == nil {
		return region
	}
	var list []*Target
	for _, t := range region {
		idle := now.Sub(t.lastUsed)
		own := b.tierOf(t) == OwnDomain
		if own && (p.subset[t.ID] || idle > domainIdleFactor*idleThreshold) || idle > regionIdleFactor*idleThreshold {
			list = append(list, t)
		}
	}
	return list
}
