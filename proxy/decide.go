package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/grade"
)

// next says what follows after an exchange.
type next uint8

const (
	deliver   next = iota // the caller gets the answer
	elsewhere             // the request did not run; another target gets it
	repeat                // the request may be repeated at another target
	lost                  // the outcome is not known, and the request may not be repeated
)

// decide says what follows after an exchange. It answers which results may be
// sent again without running a request twice.
func decide(out *exch.Outcome, repeatable bool) next {
	switch {
	case out.NotRun():
		return elsewhere
	case out.Class == exch.Whole && out.Status < fasthttp.StatusInternalServerError:
		return deliver
	case repeatable:
		return repeat
	case out.Class == exch.Whole:
		return deliver
	default:
		return lost
	}
}

// promises reports whether a status tells the caller that the request did not
// run, which only the daemon itself may say.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// sightOf says what an exchange showed of its target. Slow is whether the
// request had already counted as slow; idle says that the target told of free
// slots while it refused.
func sightOf(out *exch.Outcome, slow, idle bool) (s grade.Sight, ok bool) {
	switch {
	case out.Canceled:
		return 0, false
	case out.Class == exch.Unknown && out.Rested > 0:
		return 0, false // the target dropped an idle connection
	case out.Class == exch.NotRun, out.Class == exch.Silent, out.Moved:
		return grade.Lost, true
	case out.Class == exch.Shed:
		return grade.Slow, idle
	case out.Class != exch.Whole || out.Status >= fasthttp.StatusInternalServerError:
		return grade.Bad, true
	default:
		return grade.Good, !slow
	}
}

const (
	// keepRepeat and keepHedge are the parts of the retry reserve that repeats
	// after a failure, and second sends on suspicion, leave for others.
	keepRepeat = 0.1
	keepHedge  = 0.6
	// keepUrgent is the part that requests of a lower rank leave for the most
	// urgent ones of their pool: while targets refuse so many that the budget is
	// used up, the urgent ones are sent again first.
	keepUrgent = 0.25
)

// keepOf returns the part of the retry reserve that a repeated send leaves for
// others. It answers a pool whose targets refuse or fail so many requests that
// the budget is used up.
func keepOf(what next, urgent bool) float64 {
	keep := 0.0
	if what == repeat {
		keep = keepRepeat
	}
	if !urgent {
		keep = max(keep, keepUrgent)
	}
	return keep
}

// tries bounds the targets that one request reaches, and those that it is
// tried at including the ones that could not be reached.
const (
	maxRefused = 3
	maxTried   = 6
)

// limits are what another send has to keep.
type limits struct {
	attempts int // targets that may run the request
	sends    int // so far, of which the target got bytes
	tried    int // so far, in all
	left     time.Duration
	work     time.Duration // usual time of the request
}

// allowed reports whether there is room and time for another send.
func (l limits) allowed(refused bool) bool {
	most := l.attempts
	if refused {
		most = max(most, maxRefused)
	}
	return l.sends < most && l.tried < maxTried && l.left > l.work/2
}
