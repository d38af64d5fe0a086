package exch

import (
	"time"

	"rhubarbdrift.example/model"
)

// Headers that are exchanged with targets.
const (
	// HeaderDeadline carries the remaining time of a request in milliseconds.
	HeaderDeadline = "Rhubarbdrift-Deadline"
	// HeaderShed marks the response of a target that refused to execute the
	// request.
	HeaderShed = "Rhubarbdrift-Shed"
	// HeaderDrain marks a response of a target that should receive no new requests.
	HeaderDrain = "Rhubarbdrift-Drain"
)

// Headers names the headers that are exchanged with targets. An empty name
// disables the feature.
type Headers struct {
	Deadline      string // request: the remaining time in milliseconds
	Expect        string // request: the id of the intended target; others answer 421 without executing it
	Shed          string // response: the target did not execute the request
	ShedAnyStatus bool   // Shed applies to every status and value, not only "1" with status 503
	Drain         string // response: "1" if the target should receive no new requests
	Limit         string // response: the requests per second that the target accepts from all hosts together
	RetryAfter    string // response with status 503: the seconds for which the target wants no requests from this host
	Request       string // request and response: the request id, which the target echoes
	Signature     string // response: a success without it did not come from the target
}

// defaultHeaders are the header names of the rhubarbdrift protocol.
var defaultHeaders = Headers{Deadline: HeaderDeadline, Shed: HeaderShed, Drain: HeaderDrain}

// Class classifies the outcome of an exchange.
type Class uint8

// The classes of outcomes.
const (
	// Complete means that the complete response was received, or its header in the
	// outcome that Stream returns.
	Complete Class = iota + 1
	// NotRun means that no byte of the request was written, so the target did not
	// execute it.
	NotRun
	// Shed means that the target answered that it did not execute the request.
	Shed
	// Unknown means that bytes of the request were written, and the connection
	// ended without a byte of a response.
	Unknown
	// Broken means that a response began but cannot be completed.
	Broken
	// NoResponse means that bytes of the request were written, and the deadline passed
	// on an open connection without a byte of a response.
	NoResponse
)

var classNames = [...]string{"none", "whole", "not-run", "shed", "unknown", "broken", "silent"}

// String returns the name of the class as used in logs and metrics, or "invalid".
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// Outcome is the result of an exchange.
type Outcome struct {
	Class         Class
	Announced     bool          // the response is the target's, so that what it announces or leaves out counts
	Draining      bool          // the target asked for no new requests
	Limited       bool          // the target named a limit
	Limit         model.Rate    // the limit for all hosts together, if Limited
	RetryAfter    time.Duration // time for which the target wants no requests from this host; 0: none named
	Unframed      bool          // the response had neither a length nor chunks
	Canceled      bool          // the caller ended the exchange, which is no evidence about the target
	Stalled       bool          // the response stopped arriving until a read timed out
	Misdirected   bool          // another target has the address; the request was not executed
	IdleBefore    time.Duration // idle time of the connection before the exchange; 0 for a new one
	Status        int           // status code, 0 without a response header
	Written       int64         // bytes of the request written to the connection
	Received      int64         // bytes of the response
	HeaderLatency time.Duration // time until the response header or the failure
	Err           error         // cause for all classes except Complete and Shed; its message includes a remedy
}

// NotRun reports whether the target certainly did not execute the request, so
// that even a non-repeatable request may be sent again.
func (o *Outcome) NotRun() bool { return o.Class == NotRun || o.Class == Shed }
