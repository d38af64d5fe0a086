// Package refuse writes the error responses that a daemon generates itself: a
// JSON body with the kind of the refusal, whether the request was run, a message
// and a remedy, and headers that repeat the kind and whether the request was run.
//
// # Usage
//
//	r := refuse.New(refuse.KindBusy, refuse.NotRun, "no capacity", "retry later").WithRetryAfter(time.Second)
//	r.Write(&ctx.Response)
package refuse

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Names of the headers of the rhubarbdrift protocol.
const (
	// HeaderKey carries the caller's API key. It is removed before the request is
	// forwarded to a target.
	HeaderKey = "X-Api-Key"
	// HeaderIdempotency carries the caller's id of a non-repeatable request.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderDeadline carries the remaining time of the request in milliseconds.
	// exch.HeaderDeadline is the same header in requests to targets.
	HeaderDeadline = "Rhubarbdrift-Deadline"
	// HeaderCustomer carries the id of the customer that the request belongs to. It
	// is sent to the target.
	HeaderCustomer = "Rhubarbdrift-Customer"
	// HeaderKind carries the kind of a refusal.
	HeaderKind = "Rhubarbdrift-Kind"
	// HeaderRun carries the Execution of a refused request: not-run or unknown.
	HeaderRun = "Rhubarbdrift-Run"
)

// Kind is the machine-readable kind of a refusal.
type Kind string

// The kinds of refusals.
const (
	KindBad       Kind = "bad"       // the request is malformed
	KindLarge     Kind = "large"     // the body exceeds the route's limit
	KindKey       Kind = "key"       // no valid key for the route
	KindRoute     Kind = "route"     // no route matches
	KindLimit     Kind = "limit"     // the customer's rate and burst are exceeded
	KindBusy      Kind = "busy"      // no capacity
	KindStale     Kind = "stale"     // this daemon may have an outdated configuration
	KindUnclaimed Kind = "unclaimed" // the claim for the request cannot be recorded
	KindOpen      Kind = "open"      // a request with the same idempotency key is running or its outcome is unknown
	KindDone      Kind = "done"      // a request with the same idempotency key was already run
	KindMismatch  Kind = "mismatch"  // the idempotency key was used by a different request
	KindLate      Kind = "late"      // the deadline passed
	KindTarget    Kind = "target"    // the target sent no usable response
)

// Execution states whether a refused request was run by a target.
type Execution string

// The values of Execution.
const (
	NotRun  Execution = "not-run"
	Unknown Execution = "unknown"
)

// Refusal is an error response that the daemon generates itself. The fields with
// JSON names form its body.
type Refusal struct {
	Kind    Kind      `json:"kind"`
	Run     Execution `json:"run"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`

	Status     int           `json:"-"`
	retryAfter time.Duration // value of Retry-After; 0 omits the header
}

var statusByKind = map[Kind]int{
	KindBad:       fasthttp.StatusBadRequest,
	KindLarge:     fasthttp.StatusRequestEntityTooLarge,
	KindKey:       fasthttp.StatusUnauthorized,
	KindRoute:     fasthttp.StatusNotFound,
	KindLimit:     fasthttp.StatusTooManyRequests,
	KindBusy:      fasthttp.StatusServiceUnavailable,
	KindStale:     fasthttp.StatusServiceUnavailable,
	KindUnclaimed: fasthttp.StatusServiceUnavailable,
	KindOpen:      fasthttp.StatusConflict,
	KindDone:      fasthttp.StatusConflict,
	KindMismatch:  fasthttp.StatusUnprocessableEntity,
	KindLate:      fasthttp.StatusGatewayTimeout,
	KindTarget:    fasthttp.StatusBadGateway,
}

// New returns a Refusal with the HTTP status of its kind.
func New(kind Kind, run Execution, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Run: run, Message: message, Remedy: remedy, Status: statusByKind[kind]}
}

// WithRetryAfter sets the time after which the caller should try again, and returns r.
// Write rounds it up to whole seconds for the Retry-After header.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.retryAfter = d
	return r
}

// Write replaces resp with the refusal.
func (r *Refusal) Write(resp *fasthttp.Response) {
	resp.Reset()
	resp.SetStatusCode(r.Status)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(HeaderKind, string(r.Kind))
	resp.Header.Set(HeaderRun, string(r.Run))
	if r.retryAfter > 0 {
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		resp.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	resp.SetBody(body)
}
