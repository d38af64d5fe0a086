package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"rhubarbdrift.example/model"
)

// maxControlBytes is the largest size of a request body in bytes.
const maxControlBytes = 4 << 10

// Handler returns the HTTP handler for reading and setting the state of the link.
// The package documentation lists its paths.
func (r *Relay) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Links()) })
	m.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Stats()) })
	m.HandleFunc("PUT /{$}", r.putState)
	return m
}

// putState replaces the state of the link and responds with the new one.
func (r *Relay) putState(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var l LinkState
	if err = model.DecodeStrict(data, &l); err == nil {
		err = r.SetState(l)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, l)
}

// writeJSON sends value with status 200. Write errors are ignored.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
