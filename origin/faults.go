package origin

import (
	"net/http"
	"slices"
	"strings"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Lie replaces the truthful answer of an endpoint.
type Lie string

// The values of Lie.
const (
	// Truth is the default.
	Truth Lie = ""
	// Good claims health, or no busy slot.
	Good Lie = "good"
	// Bad claims a failure, or that all slots are busy.
	Bad Lie = "bad"
)

// Faults selects how the target misbehaves. The shares apply to the requests
// that Paths and Customers select; each request has at most one of the faults.
type Faults struct {
	Slow      model.Millis       `json:"slow,omitempty"`      // added to the work of each selected request
	Late      model.Millis       `json:"late,omitempty"`      // as slow, but deadline and cancellation are ignored
	Stall     model.Share        `json:"stall,omitempty"`     // executed, never answered
	Fail      model.Share        `json:"fail,omitempty"`      // not executed, status 500
	Lose      model.Share        `json:"lose,omitempty"`      // executed, connection closed without an answer
	Truncate  model.Share        `json:"truncate,omitempty"`  // connection closed after half of the body
	Freeze    model.Share        `json:"freeze,omitempty"`    // no progress after half of the body
	Bare      model.Share        `json:"bare,omitempty"`      // neither length nor chunking
	Paths     []string           `json:"paths,omitempty"`     // prefixes; empty: all paths
	Customers []model.CustomerID `json:"customers,omitempty"` // empty: all customers
	Drain     bool               `json:"drain,omitempty"`     // responses ask for no new work
	Shed      bool               `json:"shed,omitempty"`      // every request is refused with a shed response
	Health    Lie                `json:"health,omitempty"`
	Load      Lie                `json:"load,omitempty"`
	Stale     model.Millis       `json:"stale,omitempty"` // /health and /load repeat their answer for this time
}

// Check reports the first mistake.
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
	if f.Slow < 0 || f.Late < 0 || f.Stale < 0 {
		return fault.Invalid("slow, late or stale", "must not be negative", "give a time in milliseconds")
	}
	for _, l := range []Lie{f.Health, f.Load} {
		if l != Truth && l != Good && l != Bad {
			return fault.Invalid("health or load", "unknown value "+string(l), "use good or bad, or remove the field")
		}
	}
	return nil
}

// effect is the fault of one request.
type effect string

const (
	none     effect = ""
	stall    effect = "stall"
	fail     effect = "fail"
	lose     effect = "lose"
	truncate effect = "truncate"
	freeze   effect = "freeze"
	bare     effect = "bare"
)

type effectShare struct {
	effect effect
	share  model.Share
}

func (f *Faults) shares() []effectShare {
	return []effectShare{{stall, f.Stall}, {fail, f.Fail}, {lose, f.Lose},
		{truncate, f.Truncate}, {freeze, f.Freeze}, {bare, f.Bare}}
}

// selects reports whether the faults apply to the request.
func (f *Faults) selects(r *http.Request) bool {
	hit := func(p string) bool { return strings.HasPrefix(r.URL.Path, p) }
	if len(f.Paths) > 0 && !slices.ContainsFunc(f.Paths, hit) {
		return false
	}
	id := model.CustomerID(r.Header.Get(HeaderCustomer))
	return len(f.Customers) == 0 || slices.Contains(f.Customers, id)
}

// draw returns the fault for a random number below 1.
func (f *Faults) draw(x float64) effect {
	for _, s := range f.shares() {
		if x < float64(s.share) {
			return s.effect
		}
		x -= float64(s.share)
	}
	return none
}
