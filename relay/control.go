package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"rhubarbdrift.example/model"
)

// controlSize is the largest control document in bytes.
const controlSize = 4 << 10

// Handler returns the HTTP switches of the relay.
func (r *Relay) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { reply(w, r.Links()) })
	m.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, r.Stats()) })
	m.HandleFunc("PUT /{$}", r.put)
	return m
}

func (r *Relay) put(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, controlSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var l Links
	if err = model.DecodeStrict(data, &l); err == nil {
		err = r.Set(l)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, l)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
