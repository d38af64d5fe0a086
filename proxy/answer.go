package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbdrift.example/refuse"
)

// answer is what a caller gets.
type answer struct {
	status int
	kind   string // for logs: "answer", or the kind of the refusal
	header http.Header
	body   []byte
}

// refusal returns an answer of the daemon's own. A positive wait becomes the
// Retry-After, in seconds with a fraction.
func refusal(r *refuse.Refusal, wait time.Duration) *answer {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`) // the type holds only strings, which always encode
	}
	a := &answer{status: r.Status, kind: string(r.Kind), header: make(http.Header), body: body}
	a.header.Set("Content-Type", "application/json")
	a.header.Set(refuse.HeaderKind, string(r.Kind))
	a.header.Set(refuse.HeaderRun, string(r.Run))
	if wait > 0 {
		a.header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return a
}

func (a *answer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	// An error means that the caller left, which its connection shows.
	_, _ = w.Write(a.body) //#nosec G705 -- relaying a target's bytes is what a proxy does
}
