package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbdrift.example/refuse"
)

// response is what the caller receives.
type response struct {
	status  int
	kind    string // outcome in logs and metrics: "answer", or the kind of the refusal
	headers http.Header
	body    []byte
}

// refusal returns a response of the daemon itself. A positive wait is sent as
// Retry-After, in seconds with three decimals.
func refusal(r *refuse.Refusal, wait time.Duration) *response {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`) // can't happen: the type has only string fields
	}
	resp := &response{status: r.Status, kind: string(r.Kind), headers: make(http.Header), body: body}
	resp.headers.Set("Content-Type", "application/json")
	resp.headers.Set(refuse.HeaderKind, string(r.Kind))
	resp.headers.Set(refuse.HeaderRun, string(r.Run))
	if wait > 0 {
		resp.headers.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return resp
}

func (r *response) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.headers {
		h[name] = values
	}
	if _, hasType := h["Content-Type"]; !hasType {
		h["Content-Type"] = nil // keeps the server from detecting a type
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	// The error is ignored: it means that the caller closed the connection.
	_, _ = w.Write(r.body) //#nosec G705 -- relaying a target's bytes is what a proxy does
}
