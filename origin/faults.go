package origin

import (
	"net/http"
	"slices"
	"strings"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// ReportMode selects a false report of the health or load endpoint.
type ReportMode string

// The values of ReportMode.
const (
	// ReportActual reports the actual state. It is the default.
	ReportActual ReportMode = ""
	// ReportGood reports a healthy target, or no busy slot.
	ReportGood ReportMode = "good"
	// ReportBad reports a failing target, or that all slots are busy.
	ReportBad ReportMode = "bad"
)

// Faults selects the faults to inject. A share is the probability that the fault
// is injected into a request that Paths and Customers select. Shares exclude each
// other: a request gets at most one of these faults. Drain, Shed, Health, Load and
// Stale do not depend on Paths and Customers.
type Faults struct {
	Slow             model.Millis       `json:"slow,omitempty"`      // added to the work time of each selected request
	SlowPastDeadline model.Millis       `json:"late,omitempty"`      // like Slow, but ignores the request's deadline and cancellation
	Stall            model.Share        `json:"stall,omitempty"`     // executed, no response until the connection ends
	Fail             model.Share        `json:"fail,omitempty"`      // not executed, status 500
	DropResponse     model.Share        `json:"lose,omitempty"`      // executed, connection closed without a response
	Truncate         model.Share        `json:"truncate,omitempty"`  // connection closed after half of the body
	Freeze           model.Share        `json:"freeze,omitempty"`    // no progress after half of the body
	Unframed         model.Share        `json:"bare,omitempty"`      // neither Content-Length nor chunked encoding; the connection's end ends the body
	Paths            []string           `json:"paths,omitempty"`     // path prefixes; empty: all paths
	Customers        []model.CustomerID `json:"customers,omitempty"` // empty: all customers
	Drain            bool               `json:"drain,omitempty"`     // responses carry the drain header
	Shed             bool               `json:"shed,omitempty"`      // every request gets a shed response
	Health           ReportMode         `json:"health,omitempty"`
	Load             ReportMode         `json:"load,omitempty"`
	Stale            model.Millis       `json:"stale,omitempty"` // time for which /health and /load repeat a report
}

// Check returns an error of kind fault.KindInvalid for the first invalid field.
func (f *Faults) Check() error {
	sum := model.Share(0)
	for _, s := range f.shares() {
		if s.share < 0 || s.share > 1 {
			return fault.Invalid(string(s.effect), "must be between 0 and 1", "give the share of requests")
		}
		sum += s.share
	}
	if sum > 1 {
		return fault.Invalid("shares", "add up to more than 1", "lower one of them")
	}
	if f.Slow < 0 || f.SlowPastDeadline < 0 || f.Stale < 0 {
		return fault.Invalid("slow, late or stale", "must not be negative", "give a time in milliseconds")
	}
	for _, mode := range []ReportMode{f.Health, f.Load} {
		if mode != ReportActual && mode != ReportGood && mode != ReportBad {
			return fault.Invalid("health or load", "unknown value "+string(mode), "use good or bad, or remove the field")
		}
	}
	return nil
}

// effect is the fault that is injected into one request. Its value is the JSON name
// of the share in Faults.
type effect string

const (
	effectNone         effect = ""
	effectStall        effect = "stall"
	effectFail         effect = "fail"
	effectDropResponse effect = "lose"
	effectTruncate     effect = "truncate"
	effectFreeze       effect = "freeze"
	effectUnframed     effect = "bare"
)

// effectShare is an effect and its probability.
type effectShare struct {
	effect effect
	share  model.Share
}

// shares lists the mutually exclusive effects. Their order must not change, because
// it determines which requests of a run with a given seed get which effect.
func (f *Faults) shares() []effectShare {
	return []effectShare{{effectStall, f.Stall}, {effectFail, f.Fail}, {effectDropResponse, f.DropResponse},
		{effectTruncate, f.Truncate}, {effectFreeze, f.Freeze}, {effectUnframed, f.Unframed}}
}

// appliesTo reports whether the faults apply to the request.
func (f *Faults) appliesTo(r *http.Request) bool {
	matchesPath := func(prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }
	if len(f.Paths) > 0 && !slices.ContainsFunc(f.Paths, matchesPath) {
		return false
	}
	id := model.CustomerID(r.Header.Get(HeaderCustomer))
	return len(f.Customers) == 0 || slices.Contains(f.Customers, id)
}

// sampleEffect maps a random number x with 0 <= x < 1 to an effect.
func (f *Faults) sampleEffect(x float64) effect {
	for _, s := range f.shares() {
		if x < float64(s.share) {
			return s.effect
		}
		x -= float64(s.share)
	}
	return effectNone
}
