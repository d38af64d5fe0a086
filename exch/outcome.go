package exch

import "time"

// Headers that are exchanged with targets.
const (
	// HeaderDeadline carries the remaining time of a request in milliseconds.
	HeaderDeadline = "Rhubarbdrift-Deadline"
	// HeaderShed marks the response of a target that refused to execute the request.
	HeaderShed = "Rhubarbdrift-Shed"
	// HeaderDrain marks a response of a target that should receive no new work.
	HeaderDrain = "Rhubarbdrift-Drain"
)

// Headers names the headers that are exchanged with targets. An empty name
// leaves the feature out.
type Headers struct {
	Deadline  string // request: the time left in milliseconds
	Expect    string // request: the id of the target that shall run it; others answer 421 and do not
	Shed      string // response: the target did not run the request
	AnyShed   bool   // Shed counts with every status and value, not only "1" with 503
	Drain     string // response: the target should receive no new work
	Request   string // request and response: the request's id, which the target echoes
	Signature string // response: without it a success is not the target's
}

// ownHeaders are the names of rhubarbdrift's own protocol.
var ownHeaders = Headers{Deadline: HeaderDeadline, Shed: HeaderShed, Drain: HeaderDrain}

// Class says what is known about an exchange after its end.
type Class uint8

// The classes of outcomes.
const (
	// Whole: the response was received. For Stream, its header was received.
	Whole Class = iota + 1
	// NotRun: no byte of the request was written, so the target did not execute it.
	NotRun
	// Shed: the target's response says that it did not execute the request.
	Shed
	// Unknown: bytes of the request were written, and the connection ended
	// without a byte of a response.
	Unknown
	// Broken: a response began and cannot be completed.
	Broken
	// Silent: bytes of the request were written, and the deadline passed on an
	// open connection without a byte of a response.
	Silent
)

var classNames = [...]string{"none", "whole", "not-run", "shed", "unknown", "broken", "silent"}

// String returns the name of the class as used in logs and metrics.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// Outcome describes an exchange.
type Outcome struct {
	Class    Class
	Draining bool          // the target asked for no new work
	Unframed bool          // the response had neither length nor chunking
	Canceled bool          // the caller ended the exchange, which says nothing about the target
	Stalled  bool          // the body made no progress for the progress deadline
	Moved    bool          // another target has the address; the request did not run
	Rested   time.Duration // idle time of the connection before; 0 for a new one
	Status   int           // status code, 0 without a response header
	Written  int64         // bytes of the request handed to the connection
	Received int64         // bytes of the response
	Wait     time.Duration // time until the response header, or until the failure
	Err      error         // reason for all classes other than Whole and Shed; its message names a remedy
}

// NotRun reports whether the target certainly did not execute the request, so
// that it may be sent again even if it must not be repeated.
func (o *Outcome) NotRun() bool { return o.Class == NotRun || o.Class == Shed }
