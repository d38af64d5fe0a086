package load

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/origin"
)

// Headers of the fleet's refusals.
const (
	// HeaderKind names the kind of a refusal.
	HeaderKind = "Rhubarbdrift-Kind"
	// HeaderRun says whether a refused request was executed: not-run or unknown.
	HeaderRun = "Rhubarbdrift-Run"
)

// Class says how a request ended for the caller.
type Class string

// The classes of answers.
const (
	// Whole is a complete response to the own request.
	Whole Class = "whole"
	// Refused is a refusal that says "not run", or a failed connection attempt.
	Refused Class = "refused"
	// Unknown is a refusal that says "unknown", or no response.
	Unknown Class = "unknown"
	// Broken is a response that broke off.
	Broken Class = "broken"
	// Wrong is a complete response that is not the one to the own request.
	Wrong Class = "wrong"
	// Failed is a response of the target with a status other than 200.
	Failed Class = "failed"
)

// Answer describes one request after its end.
type Answer struct {
	Request  string           `json:"request"`
	Key      string           `json:"key,omitempty"` // idempotency key
	Customer model.CustomerID `json:"customer"`
	Entry    string           `json:"entry"`
	Target   model.TargetID   `json:"target,omitempty"` // that responded
	Class    Class            `json:"class"`
	Kind     string           `json:"kind,omitempty"` // reason of refused and unknown
	Status   int              `json:"status,omitempty"`
	Planned  time.Time        `json:"planned"`
	Latency  time.Duration    `json:"latency"` // from the planned start, nanoseconds
	Lag      time.Duration    `json:"lag"`     // from the planned to the actual start, nanoseconds
}

// verify reads the body to its end and reports whether the response is the
// one to the request.
func verify(c *Customer, id string, resp *fasthttp.Response) bool {
	right := string(resp.Header.Peek(origin.HeaderRequest)) == id
	want := origin.Content(id)
	var body io.Reader = bytes.NewReader(resp.Body())
	if c.method() == fasthttp.MethodHead {
		return right && resp.Header.ContentLength() == c.Size
	}
	if resp.IsBodyStream() {
		body = resp.BodyStream()
	}
	got, expected := make([]byte, 16<<10), make([]byte, 16<<10)
	size := 0
	for {
		n, err := body.Read(got)
		size += n
		if right {
			_, _ = io.ReadFull(want, expected[:n])
			right = bytes.Equal(got[:n], expected[:n])
		}
		if err != nil {
			_ = resp.CloseBodyStream()
			return right && size == c.Size
		}
	}
}

// classify judges an ended exchange; right is the result of verify.
func classify(o *exch.Outcome, resp *fasthttp.Response, right bool) (Class, string) {
	switch o.Class {
	case exch.NotRun:
		return Refused, "connect"
	case exch.Shed:
		return Refused, "shed"
	case exch.Unknown:
		return Unknown, "closed"
	case exch.Silent:
		return Unknown, "silent"
	case exch.Broken:
		return Broken, ""
	}
	kind, run := string(resp.Header.Peek(HeaderKind)), string(resp.Header.Peek(HeaderRun))
	switch {
	case run == "not-run":
		return Refused, kind
	case run != "" || kind != "":
		return Unknown, kind
	case o.Status != fasthttp.StatusOK:
		return Failed, ""
	case !right:
		return Wrong, ""
	}
	return Whole, ""
}
