package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It is always
// linearizable and never loses what it acknowledged.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]*object // by kind/name
	events   []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
	kind     string
	revision uint64
}

func startStore() *store {
	s := &store{revision: 1, objects: make(map[string]*object), changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(ln) }()
	return s
}

// put writes an object on behalf of the operator or an instance and returns when it is
// acknowledged.
func (s *store) put(kind, name string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return time.Now()
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, CreateRev: s.revision}}
	if old := s.objects[kind+"/"+name]; old != nil {
		*o = *old
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind+"/"+name] = o
	s.record(event{Object: *o, kind: kind, revision: s.revision})
	return o
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// list answers a list, with at most 500 items.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for key := range s.objects {
		if name, ok := strings.CutPrefix(key, kind+"/"); ok && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name])
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events, asOf, changed := make([]event, 0), s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	revision := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	status, o := s.apply(r.Method, kind, name, revision, in.Spec)
	if o == nil {
		w.WriteHeader(status)
		return
	}
	answer(w, status, o)
}

// apply makes a change and returns the status and the object of its answer.
func (s *store) apply(method, kind, name string, revision uint64, spec json.RawMessage) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && old != nil, method != http.MethodPost && old != nil && revision != 0 && revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method != http.MethodPost && old == nil:
		return http.StatusNotFound, nil
	case method == http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.record(event{Removed: true, Object: *old, kind: kind, revision: s.revision})
		return http.StatusOK, old
	default:
		return http.StatusOK, s.write(kind, name, spec)
	}
}

// configuration is what the operator writes.
type configuration struct {
	version int
	keys    []string
	open    string   // name of a further route, with the prefix /open/
	exempt  bool     // that route is authExempt
	others  [][]any  // rows of further tenants
	second  []string // keys of a second tenant
}

// writeConfig writes a configuration of one service with a route of each kind, and
// returns when the store acknowledged it.
func (s *store) writeConfig(c configuration) time.Time {
	rows := [][]any{
		{"weight-lookups", "yard.example", "/look/", "idempotent", "2000ms", "1000ms", 2, "ledger", 2, false, nil},
		{"group-payouts", "yard.example", "/pay/", "non_idempotent", "2500ms", "1000ms", 1, "ledger", 2, false, nil},
	}
	rows = append(rows, []any{"cert-pulls", "yard.example", "/pull/", "download", "2000ms", "800ms", 2, "ledger", 2, false, nil})
	if c.open != "" {
		rows = append(rows, []any{c.open, "yard.example", "/open/", "idempotent", "2000ms", "1000ms", 2, "ledger", 2, c.exempt, nil})
	}
	return s.put("config", "main", map[string]any{
		"configVersion": fmt.Sprintf("r%d", c.version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "service", "maxAttempts", "authExempt", "trafficSplit"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": [][]any{{"ledger", "/health", 330, "h1", false}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"}, "rows": append([][]any{{"kaje80", c.keys, 1, 0, 0}, {"zira381", c.second, 1, 0, 0}}, c.others...)},
	})
}
