package store

import (
	"context"
	"fmt"
	"maps"
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
	defaultWatchWait = 10 * time.Second
	defaultHistory   = 4096
	// defaultPageBytes leaves a page with one of the largest objects at its end small enough
	// for the time limit of a call between regions.
	defaultPageBytes = 1 << 20
	// objectOverhead is what an object adds to a page besides its name and its value.
	objectOverhead = 128
)

// CallCounts counts the calls that a platform received, by operation. A watch counts
// as one call, however long it waits.
type CallCounts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Hosts  uint64 `json:"hosts"`
}

// Total returns the total number of calls.
func (c CallCounts) Total() uint64 { return c.Get + c.List + c.Put + c.Delete + c.Watch + c.Hosts }

type objectKey struct {
	kind Kind
	name string
}

// hostChange is a change of the host list.
type hostChange struct {
	changedAt time.Time
	host      Host
	gone      bool
}

// Mem is a Store in memory with fault injection (see Faults). Link gives each
// client a path of its own with separate faults. Mem is safe for concurrent use.
type Mem struct {
	*Faults
	watchWait time.Duration
	lag       time.Duration
	history   int
	pageBytes int

	mu           sync.Mutex
	version      Version
	droppedUpTo  Version // events up to this version have been dropped
	objects      map[objectKey]Object
	events       []Event
	changed      chan struct{} // closed by the next write or change of the faults
	calls        CallCounts
	visibleHosts map[model.HostID]Host
	pendingHosts []hostChange
}

// Copy is the state of the objects of a Mem at one time.
type Copy struct {
	version     Version
	droppedUpTo Version
	objects     map[objectKey]Object
	events      []Event
}

// MemOption sets an option of NewMem.
type MemOption func(*Mem)

// WithHostListLag sets how long after a change Hosts returns it. The default is 0.
func WithHostListLag(d time.Duration) MemOption { return func(m *Mem) { m.lag = d } }

// WithWatchWait sets how long a watch waits for a change before it returns without
// events. The default is 10 s.
func WithWatchWait(d time.Duration) MemOption { return func(m *Mem) { m.watchWait = d } }

// WithHistory sets the minimum number of latest events that are kept for watches.
// The default is 4096.
func WithHistory(n int) MemOption { return func(m *Mem) { m.history = n } }

// WithPageBytes sets the size in bytes that ends a page of ListPage. The default is 1 MiB.
func WithPageBytes(n int) MemOption { return func(m *Mem) { m.pageBytes = n } }

// NewMem returns an empty store.
func NewMem(options ...MemOption) *Mem {
	m := &Mem{
		watchWait:    defaultWatchWait,
		history:      defaultHistory,
		pageBytes:    defaultPageBytes,
		objects:      make(map[objectKey]Object),
		changed:      make(chan struct{}),
		visibleHosts: make(map[model.HostID]Host),
	}
	m.Faults = &Faults{wakeWatches: m.wake}
	for _, o := range options {
		o(m)
	}
	return m
}

// Get implements Store.
func (m *Mem) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return readWithFaults(ctx, m.Faults, func() (Object, error) { return m.get(kind, name) })
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
	l, err := readWithFaults(ctx, m.Faults, func() (Listing, error) { return m.list(kind), nil })
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

// ListPage implements Store.
func (m *Mem) ListPage(ctx context.Context, kind Kind, after string) (Listing, error) {
	return readWithFaults(ctx, m.Faults, func() (Listing, error) { return m.list(kind).page(after, m.pageBytes), nil })
}

// page returns the objects of an ordered list that follow a name, up to the one with which
// they reach a size in bytes.
func (l Listing) page(after string, bytes int) Listing {
	first := len(l.Objects)
	for i, o := range l.Objects {
		if o.Name > after {
			first = i
			break
		}
	}
	end := first
	for size := 0; end < len(l.Objects) && size < bytes; end++ {
		o := &l.Objects[end]
		size += len(o.Name) + len(o.Value) + objectOverhead
	}
	return Listing{Objects: l.Objects[first:end], Version: l.Version, More: end < len(l.Objects)}
}

// Put implements Store.
func (m *Mem) Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error) {
	if len(value) > MaxValue {
		return 0, fault.Invalid("value", fmt.Sprintf("%d bytes is above the limit of %d", len(value), MaxValue), "split the value over several objects")
	}
	value = append([]byte(nil), value...)
	return writeWithFaults(ctx, m.Faults, func() (Version, error) { return m.put(kind, name, value, match) })
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
	m.appendEvent(Event{Object: o})
	return m.version, nil
}

// Delete implements Store.
func (m *Mem) Delete(ctx context.Context, kind Kind, name string, match Version) error {
	_, err := writeWithFaults(ctx, m.Faults, func() (Version, error) { return m.remove(kind, name, match) })
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
	m.appendEvent(Event{Object: o, Deleted: true})
	return m.version, nil
}

// Watch implements Store.
func (m *Mem) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	m.mu.Lock()
	m.calls.Watch++
	m.mu.Unlock()
	return waitForChanges(ctx, m, []*Faults{m.Faults}, kind, after)
}

// CallCounts returns the number of calls received so far. Calls other than
// watches are not counted if they failed because the store was unavailable.
func (m *Mem) CallCounts() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Compact drops all events. Watches from an older version then fail with
// KindCompacted.
func (m *Mem) Compact() {
	m.mu.Lock()
	m.events = nil
	m.droppedUpTo = m.version
	m.mu.Unlock()
	m.wake() // makes waiting watches return the error
}

// Copy returns a copy of the objects for Restore.
func (m *Mem) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{version: m.version, droppedUpTo: m.droppedUpTo, objects: maps.Clone(m.objects), events: slices.Clone(m.events)}
}

// Restore replaces all objects by those of a copy and begins a new Era, as after the loss of the
// store's data. Later revisions are given out again, and watches from versions of the era before
// fail with KindCompacted.
func (m *Mem) Restore(c Copy) {
	m.mu.Lock()
	era := m.version.Era() + 1
	m.version, m.droppedUpTo = NewVersion(era, c.version.Revision()), NewVersion(era, c.droppedUpTo.Revision())
	m.objects = make(map[objectKey]Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = NewVersion(era, o.Version.Revision())
		m.objects[key] = o
	}
	m.events = slices.Clone(c.events)
	for i := range m.events {
		v := &m.events[i].Object.Version
		*v = NewVersion(era, v.Revision())
	}
	m.mu.Unlock()
	m.wake()
}

// Era returns the number of calls of Restore.
func (m *Mem) Era() Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version.Era()
}

// appendEvent appends an event, drops old ones beyond the history and wakes the
// watches. The caller holds the lock.
func (m *Mem) appendEvent(e Event) {
	m.events = append(m.events, e)
	if len(m.events) > 2*m.history {
		dropped := len(m.events) - m.history
		m.droppedUpTo = m.events[dropped-1].Object.Version
		m.events = append([]Event(nil), m.events[dropped:]...)
	}
	m.wakeLocked()
}

// wake makes waiting watches check the events and the faults again.
func (m *Mem) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeLocked()
}

// wakeLocked is wake for callers that hold the lock.
func (m *Mem) wakeLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// changesAfter returns the events of a kind after a version, and the channel that
// is closed by the next change.
func (m *Mem) changesAfter(kind Kind, after Version) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case after.Era() < m.version.Era():
		return Changes{}, nil, errRestored()
	case after < m.droppedUpTo || after > m.version:
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
