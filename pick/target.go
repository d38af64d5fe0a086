package pick

import (
	"math"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// minRampWeight is the initial weight of a target that returns after an
	// ejection, and the minimum weight of a cold one.
	minRampWeight = 0.05
	// returnDoubling is the time after which the weight of a returning target doubles.
	returnDoubling = 2 * time.Second
	// coldRampTime is the time in which a cold target reaches its full weight.
	coldRampTime = 10 * time.Second
	// drainTTL is the time after the last draining response in which the target
	// receives no new requests.
	drainTTL = 30 * time.Second
	// shedPause is the time without new requests after a target shed load, about
	// the service time of a short request.
	shedPause = 20 * time.Millisecond
)

// ramp states why a target receives less than its fair share of the requests. A warm
// target receives all of it.
type ramp uint8

const (
	warm ramp = iota
	cold
	returning
)

// target is the state of one target of a pool on this daemon. The pool's mutex
// guards it.
type target struct {
	config     *model.Target
	configured bool // part of the current configuration
	inSubset   bool // in this daemon's subset
	ejected    bool // a verdict keeps new requests away

	limit        int // maximum requests in flight
	slotShare    int // this daemon's share of the slots
	inFlight     int
	completed    int  // complete responses in a row, counted up to the limit
	limitReached bool // the limit was reached during this count

	ramp          ramp
	rampStart     time.Time // start of the ramp
	pausedUntil   time.Time // no new requests before this time
	drainingUntil time.Time // counts as draining before this time
}

// weight returns the fraction of its fair share of the draws that the target
// receives, between 0 and 1. It makes the target warm at the end of the ramp.
func (t *target) weight(now time.Time) float64 {
	var w float64
	switch t.ramp {
	case cold:
		w = max(minRampWeight, float64(now.Sub(t.rampStart))/float64(coldRampTime))
	case returning:
		w = minRampWeight * math.Exp2(float64(now.Sub(t.rampStart)/returnDoubling))
	default:
		return 1
	}
	if w >= 1 {
		t.ramp = warm
		return 1
	}
	return w
}

// currentLimit returns how many requests may be in flight now, including the
// effects of a pause and of the ramp.
func (t *target) currentLimit(now time.Time) int {
	if now.Before(t.pausedUntil) {
		return 0
	}
	if t.ramp == warm {
		return t.limit
	}
	return max(1, int(math.Ceil(float64(t.limit)*t.weight(now))))
}

// load returns the ratio of requests in flight, including one more, to the limit.
func (t *target) load() float64 { return float64(t.inFlight+1) / float64(t.limit) }

func (t *target) unavailable(now time.Time) bool {
	return !t.configured || t.config.Leaving || now.Before(t.drainingUntil)
}

func (t *target) extendDrain(end time.Time) {
	if end.After(t.drainingUntil) {
		t.drainingUntil = end
	}
}

// adjustLimit adapts the limit to the result of one request.
func (t *target) adjustLimit(r Result, now time.Time) {
	switch r {
	case Complete:
		t.completed++
	case Shed:
		t.limit = max(1, t.limit/2)
		t.completed, t.limitReached = 0, false
		t.pausedUntil = now.Add(shedPause)
	case Draining:
		t.extendDrain(now.Add(drainTTL))
	default:
		t.completed = 0
	}
	if t.completed < t.limit {
		return
	}
	// A limit that was not reached is no evidence for a higher one.
	if t.limitReached && t.limit < int(t.config.Slots) {
		t.limit++
	}
	t.completed, t.limitReached = 0, t.inFlight >= t.limit
}

// setUsers sets the number of daemons that share the target's slots. If this
// daemon's share changes, the limit is raised to at least the new share.
func (t *target) setUsers(users int) {
	slotShare := max(1, int(t.config.Slots)/max(1, users))
	if t.slotShare != slotShare {
		t.slotShare = slotShare
		t.limit = max(t.limit, slotShare)
		t.completed, t.limitReached = 0, false
	}
	t.limit = max(1, min(t.limit, int(t.config.Slots)))
}
