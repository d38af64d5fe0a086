package lists

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/store"
)

const (
	// KindHost is the kind of the daemons' own entries.
	KindHost store.Kind = "hosts"
	// hostsEvery is how often the list of daemons is read, at the lower price of
	// an answer that may be seconds old.
	hostsEvery = 3 * time.Second
	// hostsFirst is how often it is read until this daemon is on it.
	hostsFirst = time.Second
)

// Directory is the store as the list of daemons needs it.
type Directory interface {
	store.Store
	ListStale(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error)
}

// Hosts keeps the list of daemons, with this one on it.
type Hosts struct {
	options
	source  Directory
	self    mesh.Host
	current atomic.Pointer[[]mesh.Host]
	written store.Version
}

// NewHosts returns the list before it was read.
func NewHosts(source Directory, self mesh.Host, list ...Option) *Hosts {
	h := &Hosts{options: collect(list), source: source, self: self}
	return h
}

// All returns the known daemons, this one included; before the list was read,
// none.
func (h *Hosts) All() []mesh.Host {
	if list := h.current.Load(); list != nil {
		return *list
	}
	return nil
}

// Run enters this daemon and reads the list until ctx ends.
func (h *Hosts) Run(ctx context.Context) error {
	entered := false
	for ctx.Err() == nil {
		if !entered {
			entered = h.enter(ctx)
		}
		listed := h.read(ctx)
		pause := hostsEvery
		if !entered || !listed {
			pause = hostsFirst
		}
		rest(ctx, jitter(pause))
	}
	return nil
}

// Leave removes this daemon's entry at a planned stop, so that the others do
// not set aside a part of the limits for it.
func (h *Hosts) Leave(ctx context.Context) {
	if h.written == 0 {
		return
	}
	err := h.source.Delete(ctx, KindHost, string(h.self.ID), h.written)
	h.log.Info().Err(err).Msg("left the list of daemons")
}

func (h *Hosts) enter(ctx context.Context) bool {
	value, err := json.Marshal(h.self)
	if err != nil {
		h.log.Error().Err(err).Msg("own entry cannot be encoded")
		return false
	}
	h.written, err = h.source.Put(ctx, KindHost, string(h.self.ID), value, h.written)
	if err == nil {
		return true
	}
	if fault.Is(err, fault.Missing) {
		h.written = 0
		return false
	}
	if !fault.Is(err, fault.Conflict) {
		h.log.Warn().Err(err).Msg("own entry cannot be written")
		return false
	}
	old, err := h.source.Get(ctx, KindHost, string(h.self.ID))
	if err != nil {
		return false
	}
	h.written = old.Version
	var before mesh.Host
	// An entry that cannot be read is replaced like any other.
	return json.Unmarshal(old.Value, &before) == nil && before == h.self
}

// read reports whether this daemon is on the list that it read.
func (h *Hosts) read(ctx context.Context) bool {
	objects, _, err := h.source.ListStale(ctx, KindHost)
	if err != nil {
		return true // the next reading is soon enough
	}
	list := []mesh.Host{h.self}
	listed := false
	for i := range objects {
		var other mesh.Host
		if err := json.Unmarshal(objects[i].Value, &other); err != nil || other.Address == "" {
			h.log.Warn().Err(err).Str("entry", objects[i].Name).Msg("entry of a daemon left out")
			continue
		}
		if other.ID == h.self.ID {
			listed = true
			continue
		}
		list = append(list, other)
	}
	if len(list) != len(h.All()) {
		h.log.Info().Int("hosts", len(list)).Int("before", len(h.All())).Msg("list of daemons changed")
	}
	h.current.Store(&list)
	return listed
}
