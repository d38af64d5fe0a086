package store

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Defaults of Mem.
const (
	defaultWait    = 10 * time.Second
	defaultHistory = 4096
)

// Calls counts the calls that a platform received, by sort. A watch counts
// once, however long it waits.
type Calls struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Hosts  uint64 `json:"hosts"`
}

// Total returns the number of calls of all sorts.
func (c Calls) Total() uint64 { return c.Get + c.List + c.Put + c.Delete + c.Watch + c.Hosts }

type objectKey struct {
	kind Kind
	name string
}

type hostChange struct {
	at   time.Time
	host Host
	gone bool
}

// Mem is a Store in memory with fault switches (see Faults). Link gives
// callers separate paths to it, each with its own switches.
type Mem struct {
	*Faults
	wait    time.Duration
	lag     time.Duration
	history int

	mu      sync.Mutex
	version Version
	floor   Version // events up to this version are gone
	objects map[objectKey]Object
	events  []Event
	changed chan struct{} // closed by the next write or change of a switch
	calls   Calls
	listed  map[model.HostID]Host
	pending []hostChange
}

// MemOption sets an option of NewMem.
type MemOption func(*Mem)

// WithLag sets how far the host list lags behind reality. The default is 0.
func WithLag(d time.Duration) MemOption { return func(m *Mem) { m.lag = d } }

// WithWait sets how long a watch waits for a change. The default is 10 s.
func WithWait(d time.Duration) MemOption { return func(m *Mem) { m.wait = d } }

// WithHistory sets how many events are kept for watches. The default is 4096.
func WithHistory(n int) MemOption { return func(m *Mem) { m.history = n } }

// NewMem returns an empty store.
func NewMem(options ...MemOption) *Mem {
	m := &Mem{
		wait:    defaultWait,
		history: defaultHistory,
		objects: make(map[objectKey]Object),
		changed: make(chan struct{}),
		listed:  make(map[model.HostID]Host),
	}
	m.Faults = &Faults{notify: m.wake}
	for _, o := range options {
		o(m)
	}
	return m
}

// Get implements Store.
func (m *Mem) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return read(ctx, m.Faults, func() (Object, error) { return m.get(kind, name) })
}

func (m *Mem) get(kind Kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Get++
	o, ok := m.objects[objectKey{kind, name}]
	if !ok {
		return Object{}, ErrMissing(kind, name)
	}
	return o, nil
}

// List implements Store. The objects are ordered by name.
func (m *Mem) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	l, err := read(ctx, m.Faults, func() (Listing, error) { return m.list(kind), nil })
	return l.Objects, l.Version, err
}

func (m *Mem) list(kind Kind) Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.List++
	l := Listing{Version: m.version}
	for k, o := range m.objects {
		if k.kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// Put implements Store.
func (m *Mem) Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error) {
	if len(value) > MaxValue {
		return 0, fault.Invalid("value", fmt.Sprintf("%d bytes is above the limit of %d", len(value), MaxValue), "split the value over several objects")
	}
	value = append([]byte(nil), value...)
	return write(ctx, m.Faults, func() (Version, error) { return m.put(kind, name, value, match) })
}

func (m *Mem) put(kind Kind, name string, value []byte, match Version) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Put++
	key := objectKey{kind, name}
	if m.objects[key].Version != match {
		return 0, ErrConflict(kind, name)
	}
	m.version++
	o := Object{Kind: kind, Name: name, Version: m.version, Value: value}
	m.objects[key] = o
	m.record(Event{Object: o})
	return m.version, nil
}

// Delete implements Store.
func (m *Mem) Delete(ctx context.Context, kind Kind, name string, match Version) error {
	_, err := write(ctx, m.Faults, func() (Version, error) { return m.remove(kind, name, match) })
	return err
}

func (m *Mem) remove(kind Kind, name string, match Version) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Delete++
	key := objectKey{kind, name}
	o, ok := m.objects[key]
	if !ok {
		return 0, ErrMissing(kind, name)
	}
	if o.Version != match {
		return 0, ErrConflict(kind, name)
	}
	delete(m.objects, key)
	m.version++
	o.Version = m.version
	o.Value = nil
	m.record(Event{Object: o, Deleted: true})
	return m.version, nil
}

// Watch implements Store.
func (m *Mem) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	m.mu.Lock()
	m.calls.Watch++
	m.mu.Unlock()
	return watch(ctx, m, []*Faults{m.Faults}, kind, after)
}

// Calls returns the number of calls received so far. Calls that failed
// because the store was unavailable are not counted.
func (m *Mem) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Compact drops all events, so that watches from older versions fail with
// Compacted.
func (m *Mem) Compact() {
	m.mu.Lock()
	m.events = nil
	m.floor = m.version
	m.mu.Unlock()
	m.wake() // so that waiting watches see the gap
}

// record appends an event and wakes the watches. The caller holds the lock.
func (m *Mem) record(e Event) {
	m.events = append(m.events, e)
	if len(m.events) > 2*m.history {
		drop := len(m.events) - m.history
		m.floor = m.events[drop-1].Object.Version
		m.events = append([]Event(nil), m.events[drop:]...)
	}
	m.signal()
}

// wake lets waiting watches look at the state and the switches again.
func (m *Mem) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signal()
}

// signal wakes the watches. The caller holds the lock.
func (m *Mem) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// since returns the events of a kind after a version and the channel that is
// closed by the next change.
func (m *Mem) since(kind Kind, after Version) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.floor {
		return Changes{}, nil, ErrCompacted()
	}
	c := Changes{Version: m.version}
	i := sort.Search(len(m.events), func(i int) bool { return m.events[i].Object.Version > after })
	for _, e := range m.events[i:] {
		if e.Object.Kind == kind {
			c.Events = append(c.Events, e)
		}
	}
	return c, m.changed, nil
}
