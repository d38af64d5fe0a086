package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/refuse"
)

// response is what the caller receives.
type response struct {
	status  int
	kind    string // outcome in logs and metrics: "answer", or the kind of the refusal
	headers http.Header
	body    budget.Segments
	memory  *budget.Holder // of the body; nil: not accounted
}

// refusal returns a response of the daemon itself. A positive wait is sent as
// Retry-After, in seconds with three decimals.
func refusal(r *refuse.Refusal, wait time.Duration) *response {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`) // can't happen: the type has only string fields
	}
	resp := &response{status: r.Status, kind: string(r.Kind), headers: make(http.Header), body: budget.Of(body)}
	resp.headers.Set("Content-Type", "application/json")
	resp.headers.Set(refuse.HeaderKind, string(r.Kind))
	resp.headers.Set(refuse.HeaderRun, string(r.Run))
	if wait > 0 {
		resp.headers.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return resp
}

// deliverer is implemented by the response writers of package caller.
type deliverer interface {
	Deliver(body budget.Segments, memory *budget.Holder)
}

func (r *response) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.headers {
		h[name] = values
	}
	if _, hasType := h["Content-Type"]; !hasType {
		h["Content-Type"] = nil // keeps the server from detecting a type
	}
	h.Set("Content-Length", strconv.FormatInt(r.body.Len(), 10))
	w.WriteHeader(r.status)
	if d, ok := w.(deliverer); ok {
		d.Deliver(r.body, r.memory)
		return
	}
	for _, part := range r.body.Parts() {
		// The error is ignored: it means that the caller closed the connection.
		_, _ = w.Write(part) //#nosec G705 -- relaying a target's bytes is what a proxy does
	}
	r.release()
}

// release releases the memory of a response that is not written.
func (r *response) release() {
	if r.memory != nil {
		r.memory.Release()
	}
}
