package limit

import (
	"math"
	"time"
)

const (
	// pacerDemandTime is the time constant of a Pacer's demand average: several times
	// the delay of reports, so that the average does not follow single messages.
	pacerDemandTime = 2 * time.Second
	// pacerBurstTime is the time whose requests an idle Pacer saves up, in addition to
	// one request.
	pacerBurstTime = 500 * time.Millisecond
	// initialDemandFactor is the multiple of the rate that a new Pacer assumes as
	// demand, until the reports of the others arrive.
	initialDemandFactor = 4.0
	// MinRate is the lowest rate of a Pacer, in requests per second. A target that names
	// a lower one still gets a request now and then, whose response may name another.
	MinRate = 0.1
	// urgentShare is the share of the rate that is reserved for urgent requests. The
	// others have the rest, so that they are not starved, and what urgent ones leave.
	urgentShare = 0.8
	// balancedLevel is the level at which a Pacer admits as many requests as the rate
	// allows, and maxShare the largest multiple of them at higher levels: reports arrive
	// only after some requests are sent.
	balancedLevel = 0.5
	maxShare      = 1.3
	// openLevel is the level at which the part reserved for urgent requests is open to the
	// others; between balancedLevel and openLevel it opens gradually.
	openLevel = 0.75
)

// Demand is a number of requests that would have used a target, whether admitted or not.
type Demand struct {
	Urgent float64
	Other  float64
}

// Pacer limits the requests of the whole fleet to one target to the rate that the target
// named. Every daemon keeps the same account: it fills with the rate, and the requests of
// all daemons are subtracted from it, those of the others when they are reported. So a
// request that one daemon sends too early is missing in all accounts.
//
// Between two reports the daemons don't see each other's requests. Each one therefore
// admits a request only with the probability by which the rate is lower than the demand
// of all, raised or lowered by the level of the account. A daemon that can't reach a
// part of the fleet uses only the share of those that it reaches.
//
// A Pacer is not safe for concurrent use.
type Pacer struct {
	rate       float64 // requests per second for the whole fleet
	fleetShare float64 // share of the fleet that is reachable, this daemon included
	tokens     float64 // requests that may be sent now; negative after too many
	peak       float64 // requests per second that the whole fleet may send to a cold target at any time
	balanced   float64 // tokens at which a pacer of a cold target allows its rate; 0: the target named the limit
	demand     Demand  // requests per second of the reachable daemons
	updated    time.Time
}

// NewPacer returns a Pacer with an empty account.
func NewPacer(now time.Time, rate, fleetShare float64) *Pacer {
	p := &Pacer{rate: max(rate, MinRate), fleetShare: fleetShare, updated: now}
	p.demand.Urgent = initialDemandFactor * p.rate * fleetShare
	p.demand.Other = p.demand.Urgent
	return p
}

// SetRate changes the rate, in requests per second for the whole fleet.
func (p *Pacer) SetRate(now time.Time, rate float64) {
	p.advance(now)
	p.rate = max(rate, MinRate)
	p.tokens = min(p.tokens, p.capacity())
}

// SetFleetShare sets the share of the fleet that is reachable, from 0 to 1. A daemon that
// reaches fewer than before keeps their part of what was saved up.
func (p *Pacer) SetFleetShare(now time.Time, fleetShare float64) {
	p.advance(now)
	if p.tokens > 0 && fleetShare < p.fleetShare {
		p.tokens *= fleetShare / p.fleetShare
	}
	p.fleetShare = fleetShare
	p.tokens = min(p.tokens, p.capacity())
}

func (p *Pacer) capacity() float64 {
	if p.balanced > 0 {
		return p.balanced * coldCapacity * p.fleetShare
	}
	return (1 + p.rate*pacerBurstTime.Seconds()) * p.fleetShare
}

// floor returns the lowest account. That of a cold target does not fall further than it
// fills in coldBalanceTime, since its limit is for one second: daemons that learned late that
// the target is cold may have sent it many requests.
func (p *Pacer) floor() float64 {
	if p.balanced > 0 {
		return -p.balanced * p.fleetShare
	}
	return math.Inf(-1)
}

// price returns what one request costs. A daemon that reaches only few others may hold
// less than one token. Its requests are kept to its share by their probability, and what
// one costs beyond the account would halve that share.
func (p *Pacer) price() float64 { return min(1, p.capacity()) }

func (p *Pacer) advance(now time.Time) {
	elapsed := now.Sub(p.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	p.updated = now
	p.tokens = min(p.tokens+elapsed*p.rate*p.fleetShare, p.capacity())
	decay := math.Exp(-elapsed / pacerDemandTime.Seconds())
	p.demand.Urgent *= decay
	p.demand.Other *= decay
}

// AddRemote counts the requests to the target that other daemons reported as sent, and
// their demand.
func (p *Pacer) AddRemote(now time.Time, sent float64, wanted Demand) {
	p.advance(now)
	p.tokens = max(p.tokens-sent*p.price(), min(p.tokens, p.floor()))
	p.addDemand(wanted)
}

func (p *Pacer) addDemand(wanted Demand) {
	p.demand.Urgent += wanted.Urgent / pacerDemandTime.Seconds()
	p.demand.Other += wanted.Other / pacerDemandTime.Seconds()
}

// Admit decides whether a request may use the target. Urgent requests go first.
// Possible is the demand, in requests per second of the reachable daemons, that may arise
// at any time, because the target becomes the best one. Chance is a random number in
// [0, 1).
func (p *Pacer) Admit(now time.Time, urgent bool, possible, chance float64) bool {
	p.advance(now)
	if p.fleetShare <= 0 {
		return false
	}
	if chance >= p.probability(urgent, possible) {
		return false
	}
	p.tokens -= p.price()
	return true
}

// probability counts the demand of a request and returns the probability with which it is
// admitted, which may be below 0 or above 1.
func (p *Pacer) probability(urgent bool, possible float64) float64 {
	level := p.tokens / p.capacity()
	share := urgentShare * min(level/balancedLevel, maxShare)
	wanted, demand := Demand{Urgent: 1}, &p.demand.Urgent
	if !urgent {
		opened := min(max(0, level-balancedLevel)/(openLevel-balancedLevel), 1)
		share = (1-urgentShare)*min(level/balancedLevel, maxShare) + urgentShare*opened
		wanted, demand = Demand{Other: 1}, &p.demand.Other
	}
	p.addDemand(wanted)
	return share * p.rate * p.fleetShare / max(*demand, possible)
}
