package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: objects
// with one counter of revisions, lists and watches. It is sound and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object // by "kind/name"
	events   []event
	changed  chan struct{}
	address  string
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   any             `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
	kind     string
	revision uint64
}

// startStore serves a store on a free loopback port.
func startStore() (*store, error) {
	s := &store{revision: 1, objects: make(map[string]object), changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return s, nil
}

// put writes an object for the operator or an instance.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if old, ok := s.objects[kind+"/"+name]; ok {
		if string(old.Spec) == string(spec) {
			s.revision--
			return old
		}
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind+"/"+name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// drop removes an object. The caller holds s.mu.
func (s *store) drop(kind, name string) object {
	o := s.objects[kind+"/"+name]
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.record(event{Removed: true, Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind+"/"+name]
	match := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		match, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost && exists, exists && match != 0 && match != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec))
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.drop(kind, name))
	default:
		reply(w, http.StatusOK, old)
	}
}

// listPage and listBytes bound one answer to a list, in objects and in bytes of their values. A
// single larger object is sent alone.
const (
	listPage  = 500
	listBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for path, o := range s.objects {
		if strings.HasPrefix(path, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	count := 0
	for size := 0; count < min(len(items), listPage); count++ {
		if size += len(items[count].Spec); size > listBytes && count > 0 {
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:count], "more": count < len(items), "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, afterText string) {
	after, err := strconv.ParseUint(afterText, 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			timedOut = true
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
