package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/store"
)

const (
	// KindHost is the kind of the store's objects that list the daemons.
	KindHost store.Kind = "hosts"
	// hostsInterval is how often the list of daemons is read. The read may return
	// data that is seconds old, which costs the store less.
	hostsInterval = 3 * time.Second
	// hostsJoinInterval is how often an up-to-date list is read until it contains
	// this daemon. When a whole fleet starts, the others register in that time.
	hostsJoinInterval = 400 * time.Millisecond
	// hostsRetry is the pause after a failed read while this daemon is not yet on
	// the list.
	hostsRetry = time.Second
)

// HostStore is the part of the store's client that the list of daemons needs.
// ListStale is a List whose answer may be seconds old.
type HostStore interface {
	store.Store
	ListStale(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error)
}

// Hosts keeps the list of daemons and this daemon's entry on it.
type Hosts struct {
	options
	source     HostStore
	self       mesh.Host
	readMu     sync.Mutex // guards odd
	odd        oddEntries // entries that cannot be read
	current    atomic.Pointer[[]mesh.Host]
	ownVersion atomic.Uint64 // version of this daemon's entry in the store; 0: none
}

// NewHosts returns the list of daemons, which is empty until Run has read it.
func NewHosts(source HostStore, self mesh.Host, opts ...Option) *Hosts {
	o := newOptions(opts)
	return &Hosts{options: o, odd: oddEntries{options: o}, source: source, self: self}
}

// All returns the known daemons, this one included, or nil before the list was
// read.
func (h *Hosts) All() []mesh.Host {
	if list := h.current.Load(); list != nil {
		return *list
	}
	return nil
}

// Run registers this daemon and reads the list periodically until ctx ends. The
// error is always nil.
func (h *Hosts) Run(ctx context.Context) error {
	registered := false
	for ctx.Err() == nil {
		listed, err := h.read(ctx, !registered)
		switch {
		case err != nil:
			h.log.Warn().Err(err).Msg("list of daemons cannot be read; the old one stays")
		case !listed && !registered:
			h.register(ctx)
		default:
			registered = listed
		}
		pause := hostsInterval
		switch {
		case err != nil && !registered:
			pause = hostsRetry
		case !registered:
			pause = hostsJoinInterval
		}
		sleep(ctx, jitter(pause))
	}
	return nil
}

// Deregister removes this daemon's entry at a planned stop, so that the others do
// not reserve a part of the limits for it. An error is logged.
func (h *Hosts) Deregister(ctx context.Context) {
	ownVersion := store.Version(h.ownVersion.Load())
	if ownVersion == 0 {
		return
	}
	err := h.source.Delete(ctx, KindHost, string(h.self.ID), ownVersion)
	if fault.Is(err, fault.KindConflict) { // the version is of an earlier era
		if _, err = h.read(ctx, true); err == nil {
			err = h.source.Delete(ctx, KindHost, string(h.self.ID), store.Version(h.ownVersion.Load()))
		}
	}
	h.log.Info().Err(err).Msg("removal of own entry")
}

// register writes this daemon's entry, which the up-to-date list did not contain.
// The next read shows whether that took effect.
func (h *Hosts) register(ctx context.Context) {
	value, err := json.Marshal(h.self)
	if err != nil {
		h.log.Error().Err(err).Msg("own entry cannot be encoded")
		return
	}
	version, err := h.source.Put(ctx, KindHost, string(h.self.ID), value, store.Version(h.ownVersion.Load()))
	if err != nil {
		h.log.Warn().Err(err).Msg("own entry cannot be written")
		return
	}
	h.ownVersion.Store(uint64(version))
}

// read reads the list and reports whether it contains this daemon's entry
// unchanged. With exact set, the list is up to date, else it may be seconds old.
func (h *Hosts) read(ctx context.Context, exact bool) (listed bool, err error) {
	call := h.source.ListStale
	if exact {
		call = h.source.List
	}
	objects, _, err := call(ctx, KindHost)
	if err != nil {
		return false, err
	}
	h.readMu.Lock()
	defer h.readMu.Unlock()
	list := []mesh.Host{h.self}
	var own store.Version
	for i := range objects {
		if objects[i].Name == string(h.self.ID) {
			own = objects[i].Version
		}
		other, err := decodeHost(&objects[i])
		if err == nil && other.ID == h.self.ID {
			listed = other == h.self
			continue
		}
		if err == nil {
			err = other.Check()
		}
		if err != nil {
			h.odd.add(KindHost, &objects[i], err.Error())
			continue
		}
		h.odd.remove(objects[i].Name)
		list = append(list, other)
	}
	if exact {
		h.ownVersion.Store(uint64(own))
	}
	if len(list) != len(h.All()) {
		h.log.Info().Int("hosts", len(list)).Int("before", len(h.All())).Msg("list of daemons changed")
	}
	h.current.Store(&list)
	return listed, nil
}

// decodeHost decodes the entry of a daemon.
func decodeHost(o *store.Object) (mesh.Host, error) {
	var host mesh.Host
	if o.Problem != "" {
		return host, errors.New(o.Problem)
	}
	if _, err := store.Members(o.Value); err != nil {
		return host, err
	}
	if err := json.Unmarshal(o.Value, &host); err != nil {
		return host, err
	}
	if string(host.ID) != o.Name {
		return host, fmt.Errorf("it names the daemon %.40q", host.ID)
	}
	return host, nil
}
