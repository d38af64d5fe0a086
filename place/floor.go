package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbdrift.example/health"
)

const (
	// floorTime is the time since its last request for which a target counts as in use. With
	// the time until all daemons know of a request, and that until an unused target is
	// chosen, it stays below the two seconds in which the floor must be kept. With 1200 ms,
	// 7 of 11 targets were in use.
	floorTime = 900 * time.Millisecond
	// floorPeriod is the time in which the missing targets are brought back into use.
	floorPeriod = 300 * time.Millisecond
	// maxFloorChance bounds the share of requests that are sent to targets out of use.
	maxFloorChance = 0.25
	// troubledShare is the share of failed exchanges from which the floor applies to a pool:
	// about half of the share of requests from which it must be kept, some of which are
	// refused without an exchange. Below it, targets are left out on evidence alone. With 4%
	// and slow exchanges counted as well, it applied on days without faults, and 6.7% of the
	// requests failed instead of 5.5%.
	troubledShare = 0.06
	// outcomeTime is the time constant of the share of failed exchanges.
	outcomeTime = 1500 * time.Millisecond
	// minOutcomes is the number of recent exchanges below which that share is not known.
	minOutcomes = 5
)

// WithFloor sets the share of a pool's targets that stay in use while many requests to the
// pool fail, whatever the evidence against them: it may be outdated, and the others may not
// bear the whole load. 0 means no floor.
func WithFloor(share float64) Option {
	return func(b *Balancer) { b.floorShare = share }
}

// outcomes counts recent exchanges with a pool, with exponential decay.
type outcomes struct {
	all, failed float64
	updated     time.Time
}

func (o *outcomes) add(now time.Time, observed health.Observation, count float64) {
	if elapsed := now.Sub(o.updated); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / outcomeTime.Seconds())
		o.all, o.failed, o.updated = o.all*decay, o.failed*decay, now
	}
	o.all += count
	if observed == health.Failed || observed == health.Unreachable {
		o.failed += count
	}
}

// troubled reports whether many requests to the pool fail.
func (o *outcomes) troubled(now time.Time) bool {
	o.add(now, health.Good, 0)
	return o.all >= minOutcomes && o.failed > troubledShare*o.all
}

// sampleFloor returns a target out of use if too few of the targets that may get the request
// are in use while many requests to the pool fail, or else nil. All daemons together bring
// the missing ones back, those with the lowest risk first. The caller holds b.mu.
func (b *Balancer) sampleFloor(now time.Time, p *pool, r Request, eligible targets, random func(int) int) *Target {
	if b.floorShare <= 0 || len(r.Tried) > 0 || !p.outcomes.troubled(now) {
		return nil
	}
	usable := slices.Concat(eligible.local, eligible.remote)
	var unused []*Target
	for _, t := range usable {
		if now.Sub(t.lastUsed) > floorTime && now.Sub(t.firstSeen) > floorTime {
			unused = append(unused, t)
		}
	}
	missing := int(math.Ceil(b.floorShare*float64(len(usable)))) - (len(usable) - len(unused))
	if missing <= 0 {
		return nil
	}
	chance := float64(missing) / max(p.requestRate(now)*floorPeriod.Seconds(), 1)
	if float64(random(limitChances))/limitChances >= min(chance, maxFloorChance) {
		return nil
	}
	slices.SortStableFunc(unused, func(x, y *Target) int { return cmp.Compare(x.risk(now), y.risk(now)) })
	return unused[random(missing)]
}
