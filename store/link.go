package store

import "context"

// Link is a Store that represents one client's network path to a Mem. Its faults
// affect only this client; those of the Mem affect all clients.
type Link struct {
	*Faults
	mem *Mem
}

// Link returns a new path to the store, without faults of its own.
func (m *Mem) Link() *Link { return &Link{Faults: &Faults{wakeWatches: m.wake}, mem: m} }

// Get implements Store.
func (l *Link) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return readWithFaults(ctx, l.Faults, func() (Object, error) { return l.mem.Get(ctx, kind, name) })
}

// List implements Store.
func (l *Link) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	v, err := readWithFaults(ctx, l.Faults, func() (Listing, error) {
		objects, version, err := l.mem.List(ctx, kind)
		return Listing{Objects: objects, Version: version}, err
	})
	return v.Objects, v.Version, err
}

// ListPage implements Store.
func (l *Link) ListPage(ctx context.Context, kind Kind, after string) (Listing, error) {
	return readWithFaults(ctx, l.Faults, func() (Listing, error) { return l.mem.ListPage(ctx, kind, after) })
}

// Put implements Store. The Mem receives a context without cancellation, as a delayed
// write takes effect even if ctx has ended.
func (l *Link) Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error) {
	detached := context.WithoutCancel(ctx)
	return writeWithFaults(ctx, l.Faults, func() (Version, error) { return l.mem.Put(detached, kind, name, value, match) })
}

// Delete implements Store. It passes on its context like Put.
func (l *Link) Delete(ctx context.Context, kind Kind, name string, match Version) error {
	detached := context.WithoutCancel(ctx)
	_, err := writeWithFaults(ctx, l.Faults, func() (Version, error) { return match, l.mem.Delete(detached, kind, name, match) })
	return err
}

// Watch implements Store.
func (l *Link) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	l.mem.mu.Lock()
	l.mem.calls.Watch++
	l.mem.mu.Unlock()
	return waitForChanges(ctx, l.mem, []*Faults{l.Faults, l.mem.Faults}, kind, after)
}

// Poll returns the changes of a kind after a version without waiting for any.
func (l *Link) Poll(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	c, err := readWithFaults(ctx, l.Faults, func() (Changes, error) {
		return readWithFaults(ctx, l.mem.Faults, func() (Changes, error) {
			c, _, err := l.mem.changesAfter(kind, after)
			return c, err
		})
	})
	return c.Events, c.Version, err
}

// Hosts implements Store.
func (l *Link) Hosts(ctx context.Context) ([]Host, error) {
	return readWithFaults(ctx, l.Faults, func() ([]Host, error) { return l.mem.Hosts(ctx) })
}
