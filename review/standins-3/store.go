package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: objects by kind and name with one revision
// counter, lists, watches, conditional writes, and the header Store-Era.
type Store struct {
	Address string

	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]storeObject // by "kind/name"
	events   []storeEvent
	changed  chan struct{}
	away     bool // all calls get no answer
}

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Removed bool        `json:"removed"`
	kind    string
	at      uint64
}

// copyOf is a copy of the store's data at one time.
type storeCopy struct {
	revision uint64
	objects  map[string]storeObject
	events   int
}

// NewStore starts a store at an address, in era 1.
func NewStore(address string) (*Store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Address: ln.Addr().String(), era: 1, revision: 1, objects: make(map[string]storeObject), changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// Put writes an object for the operator or a server. A nil value removes it. It fails while the
// store is away.
func (s *Store) Put(kind, name string, value any) (ok bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write(kind, name, data, value == nil)
	return true
}

// write changes an object. The caller holds s.mu.
func (s *Store) write(kind, name string, spec json.RawMessage, remove bool) storeObject {
	key := kind + "/" + name
	old, exists := s.objects[key]
	if remove && !exists {
		return old
	}
	if !remove && exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := storeObject{Metadata: storeMeta{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if exists {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	if remove {
		o = old
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.events = append(s.events, storeEvent{Object: o, Removed: remove, kind: kind, at: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Copy returns a copy of the store's data as they are now.
func (s *Store) Copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: make(map[string]storeObject), events: len(s.events)}
	for k, o := range s.objects {
		c.objects[k] = o
	}
	return c
}

// Leave makes the store answer nobody.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// Return ends Leave. With a copy the store holds that, and the next era begins.
func (s *Store) Return(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil {
		s.era++
		s.revision, s.objects, s.events = c.revision, make(map[string]storeObject), append([]storeEvent(nil), s.events[:c.events]...)
		for k, o := range c.objects {
			s.objects[k] = o
		}
	}
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away { // 503: nothing was done
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if after := r.URL.Query().Get("watch"); r.Method == http.MethodGet && after != "" {
		s.watch(w, r, kind, after)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in storeObject
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	era, status, value := s.call(r, kind, name, &in)
	answer(w, era, status, value)
}

// call carries out a call other than a watch.
func (s *Store) call(r *http.Request, kind, name string, in *storeObject) (era uint64, status int, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodGet && name == "":
		return s.era, http.StatusOK, s.list(r, kind)
	case r.Method == http.MethodPost:
		if old, exists := s.objects[kind+"/"+in.Metadata.Name]; exists {
			return s.era, http.StatusConflict, old
		}
		return s.era, http.StatusOK, s.write(kind, in.Metadata.Name, in.Spec, false)
	case !exists:
		return s.era, http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return s.era, http.StatusOK, old
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return s.era, http.StatusConflict, old
	case r.Method == http.MethodPut:
		return s.era, http.StatusOK, s.write(kind, name, in.Spec, false)
	case r.Method == http.MethodDelete:
		if rev := r.URL.Query().Get("revision"); rev != "" && rev != strconv.FormatUint(old.Metadata.Revision, 10) {
			return s.era, http.StatusConflict, old
		}
		return s.era, http.StatusOK, s.write(kind, name, nil, true)
	default:
		return s.era, http.StatusMethodNotAllowed, nil
	}
}

// answer writes an answer of an era. The caller does not hold s.mu.
func answer(w http.ResponseWriter, era uint64, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// pageObjects and pageBytes bound a page of a list.
const pageObjects, pageBytes = 500, 1 << 20

// list returns a page of objects. The caller holds s.mu.
func (s *Store) list(r *http.Request, kind string) any {
	after := r.URL.Query().Get("after")
	items := []storeObject{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	n := 0
	for size := 0; n < len(items) && n < pageObjects && (n == 0 || size+len(items[n].Spec) <= pageBytes); n++ {
		size += len(items[n].Spec)
	}
	more := n < len(items)
	items = items[:n]
	return map[string]any{"items": items, "more": more, "asOf": s.revision}
}

// watch answers the events after a revision, as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	after, err := strconv.ParseUint(text, 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	over := false
	for {
		s.mu.Lock()
		switch {
		case s.away:
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after > s.revision:
			era := s.era
			s.mu.Unlock()
			answer(w, era, http.StatusGone, nil)
			return
		}
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.at > after {
				events = append(events, e)
			}
		}
		changed, era, revision := s.changed, s.era, s.revision
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, era, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
