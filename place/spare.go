package place

import (
	"slices"
	"time"
)

// suspectRisk is the risk of failure above that of the pool's median target from which on
// a target is suspected: one failure raises that of a target with recent responses by
// about 0.4, and a target without any is 0.09 above one with them.
const suspectRisk = 0.1

// maxSpareUse is the use of the slots of the targets in a request's allowed regions above
// which none of them is spare: that above which package hedge hedges nothing in a pool.
const maxSpareUse = 0.7

// ChooseSpare is Choose for a request that can also go without another send. It returns
// the use of the slots of the pool's usable targets in all regions, and only a target that
// has a free slot, is not suspected of being unhealthy, is not cold and has no limit; nil
// if there is none.
func (b *Balancer) ChooseSpare(now time.Time, r Request, random func(int) int) (chosen *Target, use float64) {
	b.checkPause()
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[r.Pool]
	if p == nil {
		return nil, 0
	}
	all := r
	all.Tried, all.Regions = nil, nil
	_, usable, _ := b.eligible(now, p, all)
	var load, slots, allowedLoad, allowedSlots float64
	risks := make([]float64, 0, len(p.targets))
	var spare targets
	for _, t := range slices.Concat(usable.local, usable.remote) {
		load += t.estimatedLoad(now)
		slots += float64(max(t.Slots, 1))
		if r.allows(t) {
			allowedLoad += t.estimatedLoad(now)
			allowedSlots += float64(max(t.Slots, 1))
		}
		risks = append(risks, t.risk(now))
	}
	if len(risks) == 0 {
		return nil, 0
	}
	if r.Regions != nil && allowedLoad > maxSpareUse*allowedSlots {
		return nil, load / slots
	}
	slices.Sort(risks)
	median := risks[len(risks)/2]
	for _, t := range slices.Concat(usable.local, usable.remote) {
		if r.allows(t) && !slices.Contains(r.Tried, t.ID) && t.isSpare(now, median) {
			spare.add(t, b.location.Region)
		}
	}
	if list, _ := b.candidates(now, p, spare, r, random); len(list) > 0 {
		chosen = list[0].target
	}
	return chosen, load / slots
}

// isCold reports whether the target is cold, whether or not its pool has a limit for that.
func (t *Target) isCold(now time.Time) bool {
	return t.warmsUp(now) || now.Before(t.cold.listedAt.Add(t.Cold.Duration()))
}

// isSpare reports whether the target has a free slot and is neither cold nor suspected. Median
// is the risk of the pool's median target. The caller holds the balancer's lock.
func (t *Target) isSpare(now time.Time, median float64) bool {
	return !t.isCold(now) && t.estimatedLoad(now)+1 <= float64(t.Slots) && t.risk(now)-median < suspectRisk
}
