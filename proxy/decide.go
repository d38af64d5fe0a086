package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/health"
)

// action is what follows after an exchange.
type action uint8

const (
	deliver action = iota // return the target's response to the caller
	resend                // the request did not run: send it to another target
	repeat                // the request may have run and is repeatable: send it to another target
	giveUp                // the outcome is unknown and the request is not repeatable
)

// decide returns the action after an exchange. A request is only sent again if it
// did not run or is repeatable.
func decide(out *exch.Outcome, repeatable bool) action {
	switch {
	case out.NotRun():
		return resend
	case out.Class == exch.Complete && out.Status < fasthttp.StatusInternalServerError:
		return deliver
	case repeatable:
		return repeat
	case out.Class == exch.Complete:
		return deliver
	default:
		return giveUp
	}
}

// reservedStatus reports whether a status tells the caller that the request did not
// run. Only the daemon itself may send these.
func reservedStatus(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// observationOf returns what an exchange showed about its target, and false if it
// showed nothing new. The flag countedSlow is set if the request was already counted
// as slow, and hasFreeSlots if the target reported free slots: one that refuses
// requests all the same counts as slow, while one that is full shows nothing about its
// health.
func observationOf(out *exch.Outcome, countedSlow, hasFreeSlots bool) (observed health.Observation, ok bool) {
	switch {
	case out.Canceled:
		return 0, false
	case out.Class == exch.Unknown && out.IdleBefore > 0:
		return 0, false // the target closed an idle connection
	case out.Class == exch.NotRun, out.Class == exch.NoResponse, out.Misdirected:
		return health.Unreachable, true
	case out.Class == exch.Shed:
		return health.Slow, hasFreeSlots
	case out.Class != exch.Complete || out.Status >= fasthttp.StatusInternalServerError:
		return health.Failed, true
	default:
		return health.Good, !countedSlow
	}
}

const (
	// repeatReserve and hedgeReserve are the shares of a pool's full retry budget
	// that repeats after a failure, and hedged requests, leave to other retries:
	// they are only allowed while the budget holds more.
	repeatReserve = 0.1
	hedgeReserve  = 0.6
	// urgentReserve is the share that requests of a lower rank leave to the most
	// urgent ones of their pool, so that those are sent again first while targets
	// refuse so many requests that the budget is used up.
	urgentReserve = 0.25
)

// retryReserve returns the share of a pool's full retry budget that a retry must
// leave to others, for Limiter.Retry. Next is the action that leads to the retry, and
// urgent is set for requests of the most urgent rank of their pool.
func retryReserve(next action, urgent bool) float64 {
	reserve := 0.0
	if next == repeat {
		reserve = repeatReserve
	}
	if !urgent {
		reserve = max(reserve, urgentReserve)
	}
	return reserve
}

// maxRefusedSends bounds the sends of a request that targets refuse. maxTriedTargets
// bounds the targets tried, including those that could not be reached.
const (
	maxRefusedSends = 3
	maxTriedTargets = 6
)

// sendLimits holds the limits of a request's sends and what was used of them.
type sendLimits struct {
	attempts    int           // maximum number of targets that may run the request
	sends       int           // ended sends for which bytes were written to the target, and those in flight
	tried       int           // targets tried so far
	remaining   time.Duration // time until the deadline
	requestTime time.Duration // usual duration of the request
}

// allowed reports whether the limits and the remaining time permit another send.
// NotRun is set if the target of the last one did not run the request.
func (l sendLimits) allowed(notRun bool) bool {
	maxSends := l.attempts
	if notRun {
		maxSends = max(maxSends, maxRefusedSends)
	}
	return l.sends < maxSends && l.tried < maxTriedTargets && l.remaining > l.requestTime/2
}
