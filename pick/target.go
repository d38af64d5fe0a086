package pick

import (
	"math"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// returnShare is the draw weight of a target that returns from an ejection.
	returnShare = 0.05
	// returnStep is the time after which the weight of a returning target doubles.
	returnStep = 2 * time.Second
	// coldRamp is the time in which a cold target reaches its full weight.
	coldRamp = 10 * time.Second
	// drainMemory is the time after which a draining answer is forgotten
	// unless it was repeated.
	drainMemory = 30 * time.Second
	// shedPause is the time without new work after a target shed load, about
	// the service time of a short request.
	shedPause = 20 * time.Millisecond
)

type ramp uint8

const (
	warm ramp = iota
	cold
	returning
)

// target is one target of a pool as this daemon sees it. The pool's mutex guards it.
type target struct {
	conf    *model.Target
	present bool // part of the current configuration
	member  bool // part of this daemon's subset
	out     bool // an honoured verdict keeps new work away

	limit  int // requests in flight at once
	share  int // this daemon's share of the slots
	flight int
	round  int  // whole answers since the limit changed
	full   bool // the limit was reached in this round

	ramp  ramp
	since time.Time // start of the ramp
	pause time.Time // no new work before
	drain time.Time // draining until
}

// weight returns the share of its fair part of the draws that the target
// receives, between 0 and 1.
func (t *target) weight(now time.Time) float64 {
	var w float64
	switch t.ramp {
	case cold:
		w = max(returnShare, float64(now.Sub(t.since))/float64(coldRamp))
	case returning:
		w = returnShare * math.Exp2(float64(now.Sub(t.since)/returnStep))
	default:
		return 1
	}
	if w >= 1 {
		t.ramp = warm
		return 1
	}
	return w
}

// room returns the number of requests that may be in flight at once now.
func (t *target) room(now time.Time) int {
	if now.Before(t.pause) {
		return 0
	}
	if t.ramp == warm {
		return t.limit
	}
	return max(1, int(math.Ceil(float64(t.limit)*t.weight(now))))
}

// load compares targets: requests in flight for the limit, as if one more was sent.
func (t *target) load() float64 { return float64(t.flight+1) / float64(t.limit) }

func (t *target) closed(now time.Time) bool {
	return !t.present || t.conf.Leaving || now.Before(t.drain)
}

func (t *target) drainUntil(end time.Time) {
	if end.After(t.drain) {
		t.drain = end
	}
}

// settle adapts the limit to the result of one request.
func (t *target) settle(r Result, now time.Time) {
	switch r {
	case Whole:
		t.round++
	case Shed:
		t.limit = max(1, t.limit/2)
		t.round, t.full = 0, false
		t.pause = now.Add(shedPause)
	case Draining:
		t.drainUntil(now.Add(drainMemory))
	default:
		t.round = 0
	}
	if t.round < t.limit {
		return
	}
	// A limit that was not reached says nothing about a higher one.
	if t.full && t.limit < int(t.conf.Slots) {
		t.limit++
	}
	t.round, t.full = 0, t.flight >= t.limit
}

// reshare sets the part of the target's slots that this daemon starts with.
func (t *target) reshare(users int) {
	share := max(1, int(t.conf.Slots)/max(1, users))
	if t.share != share {
		t.share = share
		t.limit = max(t.limit, share)
		t.round, t.full = 0, false
	}
	t.limit = max(1, min(t.limit, int(t.conf.Slots)))
}
