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

// Headers of refusals, which daemons send instead of a target's response.
const (
	// HeaderKind names the kind of the refusal, which states its reason.
	HeaderKind = "Rhubarbdrift-Kind"
	// HeaderRun states whether the refused request was executed: not-run or
	// unknown.
	HeaderRun = "Rhubarbdrift-Run"
)

// Class is the outcome of a request as the caller sees it.
type Class string

// Classes of answers.
const (
	// Whole is a complete and correct response.
	Whole Class = "whole"
	// Refused is a refusal with not-run, a shed response or a failed connection
	// attempt: the request was not executed.
	Refused Class = "refused"
	// Unknown is any other refusal, or no response: the request may have been
	// executed.
	Unknown Class = "unknown"
	// Broken is a response that ended or stalled before the end that HTTP announced.
	Broken Class = "broken"
	// Wrong is a response that is complete as far as HTTP can tell but does not
	// belong to the request: its id, size or content differs.
	Wrong Class = "wrong"
	// Failed is a response of the target with a status other than 200.
	Failed Class = "failed"
)

// Answer is the result of one request.
type Answer struct {
	Request  string           `json:"request"`
	Key      string           `json:"key,omitempty"` // idempotency key
	Customer model.CustomerID `json:"customer"`
	Entry    string           `json:"entry"`
	Target   model.TargetID   `json:"target,omitempty"` // target that responded
	Class    Class            `json:"class"`
	Kind     string           `json:"kind,omitempty"` // reason for the classes refused and unknown
	Status   int              `json:"status,omitempty"`
	Planned  time.Time        `json:"planned"`
	Latency  time.Duration    `json:"latency"` // from the planned start, nanoseconds
	Lag      time.Duration    `json:"lag"`     // from the planned to the actual start, nanoseconds
}

// verify reads the body to its end and reports whether the response has the id,
// size and content of the request. A response to HEAD has no body: its
// Content-Length counts as the size.
func verify(c *Customer, id string, resp *fasthttp.Response) bool {
	correct := string(resp.Header.Peek(origin.HeaderRequest)) == id
	want := origin.Content(id)
	var body io.Reader = bytes.NewReader(resp.Body())
	if c.method() == fasthttp.MethodHead {
		return correct && resp.Header.ContentLength() == c.ResponseSize
	}
	if resp.IsBodyStream() {
		body = resp.BodyStream()
	}
	got, expected := make([]byte, 16<<10), make([]byte, 16<<10)
	size := 0
	for {
		n, err := body.Read(got)
		size += n
		if correct {
			_, _ = io.ReadFull(want, expected[:n])
			correct = bytes.Equal(got[:n], expected[:n])
		}
		if err != nil {
			_ = resp.CloseBodyStream()
			return correct && size == c.ResponseSize
		}
	}
}

// classify returns the class and kind of an ended exchange. An exchange that is
// not in one of the failed classes has a response, which its headers and status
// classify. The argument correct is the result of verify.
func classify(o *exch.Outcome, resp *fasthttp.Response, correct bool) (Class, string) {
	switch o.Class {
	case exch.NotRun:
		return Refused, "connect"
	case exch.Shed:
		return Refused, "shed"
	case exch.Unknown:
		return Unknown, "closed"
	case exch.NoResponse:
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
	case !correct:
		return Wrong, ""
	}
	return Whole, ""
}
