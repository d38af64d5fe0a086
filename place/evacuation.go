package place

import (
	"maps"
	"time"

	"rhubarbdrift.example/model"
)

// evacuation is what a Balancer knows of evacuated failure domains. The balancer's lock
// protects it.
type evacuation struct {
	required bool // requests wait for the first list
	known    bool // a list was set
	domains  map[model.Domain]bool
	held     time.Time            // until when no target is chosen, since the list may be outdated
	inFlight map[model.Domain]int // requests sent by this daemon
}

// WithEvacuations makes the balancer choose no target before the first SetEvacuated.
func WithEvacuations() Option {
	return func(b *Balancer) { b.evacuation.required = true }
}

// WithPauseCheck sets the function that is called before a target is chosen for a request that
// was sent before. It detects a pause of this daemon since then, and may call the balancer.
func WithPauseCheck(check func()) Option {
	return func(b *Balancer) { b.checkPause = check }
}

// usable reports whether a target may be chosen by what is known of evacuations.
func (e *evacuation) usable(now time.Time) bool {
	return (e.known || !e.required) && !now.Before(e.held)
}

// count changes the number of requests in flight in a domain.
func (e *evacuation) count(d model.Domain, delta int) {
	if e.inFlight == nil {
		e.inFlight = make(map[model.Domain]int)
	}
	if e.inFlight[d] += delta; e.inFlight[d] == 0 {
		delete(e.inFlight, d)
	}
}

// move counts the requests in flight at a target for another domain, in which it is listed
// now.
func (e *evacuation) move(inFlight int, from, to model.Domain) {
	if from != to && inFlight != 0 {
		e.count(from, -inFlight)
		e.count(to, inFlight)
	}
}

// SetEvacuated sets the evacuated failure domains, whose targets get no further requests.
// Those in flight are not affected.
func (b *Balancer) SetEvacuated(domains map[model.Domain]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuation.known, b.evacuation.domains = true, maps.Clone(domains)
}

// HoldRequests makes the balancer choose no target until a time, since the list of
// evacuated domains may be outdated and a newer one is about to arrive.
func (b *Balancer) HoldRequests(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuation.held = until
}

// EvacuationState is what a Balancer knows of evacuations.
type EvacuationState struct {
	Known    bool // the list was set, or is not needed
	Domains  map[model.Domain]bool
	InFlight map[model.Domain]int // requests that this daemon sent and that have not ended, by domain
}

// Evacuation returns a copy of what is known of evacuations.
func (b *Balancer) Evacuation() EvacuationState {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &b.evacuation
	return EvacuationState{Known: e.known || !e.required, Domains: maps.Clone(e.domains), InFlight: maps.Clone(e.inFlight)}
}

// Exclusion is the reason why no target of a pool may get a request, whatever their state.
type Exclusion uint8

// Values of Exclusion.
const (
	NotExcluded            Exclusion = iota // some target may get it, or the pool has none
	ExcludedByRegions                       // all are outside of the allowed regions
	ExcludedByEvacuation                    // all in the allowed regions are in evacuated domains
	ExcludedByOutdatedList                  // the list of evacuated domains is not known, or may be outdated
)

// Exclusion returns the reason why no target may get a request for which Choose found none.
// Targets that leave don't count.
func (b *Balancer) Exclusion(now time.Time, r *Request) Exclusion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.evacuation.usable(now) {
		return ExcludedByOutdatedList
	}
	reason := NotExcluded
	if p := b.pools[r.Pool]; p != nil {
		for _, t := range p.targets {
			switch {
			case t.isLeaving():
			case !r.allows(t):
				reason = max(reason, ExcludedByRegions)
			case b.evacuation.domains[t.Domain]:
				reason = ExcludedByEvacuation
			default:
				return NotExcluded
			}
		}
	}
	return reason
}
