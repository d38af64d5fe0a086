package watch

import (
	"cmp"
	"time"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// newestInterval is the time after which the configuration in force is sent again to a neighbour
// that still has an older one, for example because it cannot decode it.
const newestInterval = time.Second

// maxNewestFor bounds the neighbours that are remembered.
const maxNewestFor = 1000

// retainInForce keeps the configuration in force as the record for neighbours if the store's is
// older or gone: an accepted configuration stays in force while the store, which came back from
// an older copy, doesn't hold it. The caller holds c.mu.
func (c *ConfigFollower) retainInForce() {
	if c.retainRefused() {
		return
	}
	r, ok := c.records[c.name]
	if c.newest == 0 || ok && !r.event.Deleted && !c.outdated {
		return
	}
	if r.event.Deleted {
		c.removedCount--
	}
	if !ok || r.event.Deleted || r.event.Object.Version != c.inForce.Version {
		c.log.Warn().Uint64("version", uint64(c.newest)).Uint32("era", uint32(c.version.Era())).Uint64("revision", c.version.Revision()).
			Msg("the store holds an older configuration; the one in force stays")
	}
	c.records[c.name] = record{event: store.Event{Object: c.inForce}, updateVersion: c.version}
	c.outdated = false
}

// Content implements mesh.ContentList.
func (c *ConfigFollower) Content() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Value
}

// Newest implements mesh.NumberedList.
func (c *ConfigFollower) Newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(c.newest)
}

// NoteNewest implements mesh.NumberedList.
func (c *ConfigFollower) NoteNewest(number uint64) {
	for {
		known := c.newestSeen.Load()
		if number <= known || c.newestSeen.CompareAndSwap(known, number) {
			return
		}
	}
}

// Outdated reports whether a neighbour has a newer configuration than the one in force here,
// and this daemon's last proof that its own is the newest is older than bound. The newer one
// was acknowledged after that proof, so until then it may not be due yet.
func (c *ConfigFollower) Outdated(bound time.Duration) bool {
	return c.Age() > bound && c.NewerElsewhere()
}

// NewerElsewhere reports whether a neighbour has named a newer configuration than the one in force
// here.
func (c *ConfigFollower) NewerElsewhere() bool { return c.newestSeen.Load() > c.Newest() }

// AddNewest implements mesh.NumberedList.
func (c *ConfigFollower) AddNewest(u *mesh.ListUpdate, known store.Version, to model.HostID) {
	age := c.storeAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == 0 || c.version == 0 || age == neverCompleteAge {
		return
	}
	for i := range u.Events {
		if u.Events[i].Object.Name == c.name && u.Events[i].Object.Problem == "" && !u.Events[i].Deleted {
			return
		}
	}
	now := c.sinceBoot()
	if last, ok := c.newestFor[to]; ok && now-last < newestInterval {
		return
	}
	if len(c.newestFor) >= maxNewestFor {
		clear(c.newestFor)
	}
	c.newestFor[to] = now
	if u.Version == 0 {
		*u = mesh.ListUpdate{Version: cmp.Or(known, c.version), Age: roundUpAge(age), Outdated: true}
	}
	u.Events = append(u.Events, store.Event{Object: c.inForce})
}
