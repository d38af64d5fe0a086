package watch

import (
	"time"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Version implements mesh.List.
func (f *follower) Version() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// SetFirst implements mesh.List.
func (f *follower) SetFirst(first bool) { f.first.Store(first) }

// UpdateSince implements mesh.List.
func (f *follower) UpdateSince(known store.Version, to model.HostID) mesh.ListUpdate {
	age := f.storeAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version == 0 || age >= maxRelayAge || !f.canRelay(to) {
		return mesh.ListUpdate{}
	}
	// A neighbour that called the store itself may have a newer copy. It gets an
	// update without events, which confirms that this daemon will relay changes.
	r := mesh.ListUpdate{Version: max(f.version, known), Complete: known < f.floor, Age: model.Millis(age/time.Millisecond) + 1}
	for _, e := range f.records {
		if r.Complete && !e.event.Deleted || !r.Complete && e.updateVersion > known {
			r.Events = append(r.Events, e.event)
		}
	}
	return r
}

// canRelay reports whether this daemon may relay the list to a neighbour: its copy
// is current and comes from the store or from another neighbour. The caller holds
// f.mu.
func (f *follower) canRelay(to model.HostID) bool {
	if f.relayedBy == "" {
		return f.lastCallOK.Load() && f.storeAnswers()
	}
	return f.relayedBy != to && f.hasRelay()
}

// ApplyUpdate implements mesh.List.
func (f *follower) ApplyUpdate(r *mesh.ListUpdate, known store.Version, at time.Duration, relayedBy model.HostID) {
	if r.Version == 0 {
		f.mu.Lock()
		if f.relayedBy == relayedBy {
			f.lastRelay.Store(0) // it cannot reach the store, or got the list from this daemon
		}
		f.mu.Unlock()
		return
	}
	if f.age() > lapseAge {
		f.beforeApply()
	}
	f.mu.Lock()
	if f.version != known || r.Version < f.version {
		f.mu.Unlock()
		return // the copy has changed since the neighbour was sent its version
	}
	if r.Complete {
		objects := make([]store.Object, len(r.Events))
		for i := range r.Events {
			objects[i] = r.Events[i].Object
		}
		f.replaceList(objects, r.Version)
	} else {
		f.applyEvents(r.Events, r.Version)
	}
	// The list is known to be complete at this time, or later: at precedes the
	// reading from which the neighbour counted the age.
	f.setComplete(at - r.Age.Duration())
	f.relayedBy = relayedBy
	f.lastRelay.Store(int64(f.sinceBoot()))
	f.mu.Unlock()
	f.afterApply()
	if f.lastCallOK.Load() && f.relayed() {
		f.restartWatch() // this daemon's own watch is no longer needed
	}
}
