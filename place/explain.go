package place

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// TargetState says whether a target may get a request, or the first reason why not.
type TargetState string

// The values of TargetState. Targets that are cold or have a limit get a request with a
// probability.
const (
	StateEligible  TargetState = "eligible"
	StateLeaving   TargetState = "leaving"
	StatePaused    TargetState = "pause"
	StateRegion    TargetState = "region"
	StateEvacuated TargetState = "evacuated"
	StateTried     TargetState = "tried"
	StateCold      TargetState = "cold"
	StateLimit     TargetState = "limit"
)

// TargetExplanation is what Choose knows of a target for one request.
type TargetExplanation struct {
	ID       model.TargetID `json:"id"`
	State    TargetState    `json:"state"`
	LeftMs   int64          `json:"leftMs,omitempty"` // remaining time of a pause or of the cold time
	Rate     float64        `json:"rate,omitempty"`   // of all hosts: what a cold target may get now, or the limit that the target named
	Admits   float64        `json:"admits,omitempty"` // probability with which a limit admits the request
	Distance string         `json:"distance"`         // as Tier.String
	Load     float64        `json:"load"`
	Slots    int            `json:"slots"`
	Risk     float64        `json:"risk"`
	Cost     Cost           `json:"cost"`
	Total    float64        `json:"total"` // sum of the parts of Cost
}

// Explanation is the state of a pool's targets for one request.
type Explanation struct {
	Outdated bool                // the list of evacuated domains may be outdated, so no target is chosen
	Targets  []TargetExplanation // the lowest cost first
	Use      float64             // load of the usable targets as a share of their slots
	Spare    bool                // a target other than the cheapest can take a second send
}

// Takes reports whether a target gets the request for certain, and whether one may get it.
func (e *Explanation) Takes() (certain, possible bool) {
	for _, t := range e.Targets {
		certain = certain || t.State == StateEligible
		possible = possible || t.State == StateCold && t.Rate > 0 || t.State == StateLimit && t.Admits > 0
	}
	return certain && !e.Outdated, (certain || possible) && !e.Outdated
}

// stateOf returns the state of a target without limits. The caller holds b.mu.
func (b *Balancer) stateOf(now time.Time, t *Target, r Request) TargetState {
	switch {
	case t.isLeaving():
		return StateLeaving
	case !t.acceptsRequests(now):
		return StatePaused
	case !r.allows(t):
		return StateRegion
	case b.evacuation.domains[t.Domain]:
		return StateEvacuated
	case slices.Contains(r.Tried, t.ID):
		return StateTried
	default:
		return StateEligible
	}
}

// Explain returns what Choose would decide by, and changes no state. Choose compares random
// candidates, so it does not always find the target with the lowest cost.
func (b *Balancer) Explain(now time.Time, r Request) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := Explanation{Outdated: !b.evacuation.usable(now)}
	p := b.pools[r.Pool]
	if p == nil {
		return e
	}
	requests := pool{requests: p.requests}
	limited := 0
	var usable []*Target
	var load, slots float64
	for _, listed := range p.targets {
		t := *listed // a copy, since limits are advanced when they are asked
		x := b.explainTarget(now, &t, r)
		switch x.State {
		case StateLimit:
			limited++
		case StateEligible:
			usable = append(usable, &t)
			load += x.Load
			slots += float64(max(t.Slots, 1))
		}
		e.Targets = append(e.Targets, x)
	}
	possible := requests.requestRate(now) * (localSamples + remoteSamples) / float64(max(limited, 1)) / urgencyClasses
	for i := range e.Targets {
		if x := &e.Targets[i]; x.State == StateLimit {
			x.Admits = p.targets[i].announced.pacer.Probability(now, r.Urgent, possible)
		}
	}
	slices.SortStableFunc(e.Targets, func(x, y TargetExplanation) int { return cmp.Compare(x.Total, y.Total) })
	if len(usable) > 0 {
		e.Use = load / slots
		e.Spare = b.hasSpare(now, usable, r)
	}
	return e
}

// hasSpare reports whether a target other than the cheapest can take a second send. The
// caller holds b.mu.
func (b *Balancer) hasSpare(now time.Time, usable []*Target, r Request) bool {
	byCost := b.byCost(now, usable, r)
	risks := make([]float64, len(usable))
	for i, t := range usable {
		risks[i] = t.risk(now)
	}
	slices.Sort(risks)
	return slices.ContainsFunc(byCost[1:], func(c candidate) bool { return c.target.isSpare(now, risks[len(risks)/2]) })
}

// explainTarget explains a copy of a target. The caller holds b.mu.
func (b *Balancer) explainTarget(now time.Time, t *Target, r Request) TargetExplanation {
	x := TargetExplanation{ID: t.ID, State: b.stateOf(now, t, r), Distance: b.tierOf(t).String(), Load: t.estimatedLoad(now), Slots: int(t.Slots), Risk: t.risk(now)}
	var coldLeft time.Duration
	rule := b.coldRule(r.Pool)
	if rule != nil {
		coldLeft = max(t.coldUntil(rule).Sub(now), 0)
	}
	switch {
	case coldLeft == 0:
		t.cold.pacer = nil
	case t.cold.pacer == nil:
		t.cold.pacer = b.coldTolerance.NewPacer(now, float64(*rule.ColdRate), b.fleetShare)
	default:
		t.cold.pacer = limit.ClonePacer(t.cold.pacer)
	}
	switch {
	case x.State == StatePaused:
		x.LeftMs = t.announced.pausedUntil.Sub(now).Milliseconds()
	case x.State != StateEligible:
	case coldLeft > 0:
		x.State, x.LeftMs, x.Rate = StateCold, coldLeft.Milliseconds(), t.cold.pacer.Allowed(now)
	case t.announced.pacer != nil:
		x.State, x.Rate = StateLimit, float64(t.announced.limit)
	}
	x.Cost, x.Total = b.costParts(now, t, r)
	return x
}
