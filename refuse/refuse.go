// Package refuse writes the answers that a daemon gives itself: JSON with the
// kind of the refusal, whether the request was run, a message and the remedy,
// and the same kind and run as headers.
//
// # Usage
//
//	r := refuse.New(refuse.KindBusy, refuse.NotRun, "no capacity", "retry later").After(time.Second)
//	r.Write(&ctx.Response)
package refuse

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Names of the headers of rhubarbdrift's own format.
const (
	// HeaderKey carries the caller's key. It is removed before a target sees the request.
	HeaderKey = "X-Api-Key"
	// HeaderIdempotency carries the caller's id of a request that may not be repeated.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderDeadline carries the time left for the request in milliseconds.
	HeaderDeadline = "Rhubarbdrift-Deadline"
	// HeaderCustomer tells the target which customer the request runs for.
	HeaderCustomer = "Rhubarbdrift-Customer"
	// HeaderKind carries the kind of a refusal.
	HeaderKind = "Rhubarbdrift-Kind"
	// HeaderRun says whether a refused request was run: not-run or unknown.
	HeaderRun = "Rhubarbdrift-Run"
)

// Kind is the machine-readable kind of a refusal.
type Kind string

// The kinds of refusals.
const (
	KindBad       Kind = "bad"       // the request is malformed
	KindLarge     Kind = "large"     // the body is above the route's limit
	KindKey       Kind = "key"       // no valid key for the route
	KindRoute     Kind = "route"     // no route matches
	KindLimit     Kind = "limit"     // above the customer's rate and burst
	KindBusy      Kind = "busy"      // no capacity
	KindStale     Kind = "stale"     // this daemon may hold an old configuration
	KindUnclaimed Kind = "unclaimed" // the claim of the request cannot be recorded
	KindOpen      Kind = "open"      // the same request is running or its outcome is unknown
	KindDone      Kind = "done"      // the same request was run before
	KindMismatch  Kind = "mismatch"  // another request used the same idempotency key
	KindLate      Kind = "late"      // the deadline passed
	KindTarget    Kind = "target"    // the target gave no usable answer
)

// Run says whether a refused request was run.
type Run string

// The values of Run.
const (
	NotRun  Run = "not-run"
	Unknown Run = "unknown"
)

// Refusal is the body of an answer that the daemon gives itself.
type Refusal struct {
	Kind    Kind   `json:"kind"`
	Run     Run    `json:"run"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`

	Status int           `json:"-"`
	retry  time.Duration // 0: no Retry-After
}

var statusOf = map[Kind]int{
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

// New returns a refusal with the status of its kind.
func New(kind Kind, run Run, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Run: run, Message: message, Remedy: remedy, Status: statusOf[kind]}
}

// After sets the time after which a new attempt makes sense.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.retry = d
	return r
}

// Write replaces the answer with the refusal.
func (r *Refusal) Write(resp *fasthttp.Response) {
	resp.Reset()
	resp.SetStatusCode(r.Status)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(HeaderKind, string(r.Kind))
	resp.Header.Set(HeaderRun, string(r.Run))
	if r.retry > 0 {
		seconds := (r.retry + time.Second - 1) / time.Second
		resp.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	resp.SetBody(body)
}
