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

// SetRank implements mesh.List.
func (f *follower) SetRank(rank int) { f.rank.Store(int64(rank)) }

// Since implements mesh.List.
func (f *follower) Since(known store.Version, to model.HostID) mesh.ListUpdate {
	age := f.storeAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.arrivedSince(known, to); ok {
		return u
	}
	outdated := age >= maxRelayAge || !f.canRelay(to)
	if f.version == 0 || age == neverCompleteAge || outdated && (f.version <= known || f.relayedBy == to) {
		return mesh.ListUpdate{}
	}
	// A neighbour that called the store itself may have a newer copy. It gets an
	// update without events, which confirms that this daemon will relay changes.
	u := mesh.ListUpdate{Version: max(f.version, known), Complete: known < f.floor, Age: roundUpAge(age), Outdated: outdated}
	if !u.Complete {
		u.Events = f.eventsAfter(known)
		return u
	}
	for _, r := range f.records {
		if !r.event.Deleted {
			u.Events = append(u.Events, r.event)
		}
	}
	return u
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
func (f *follower) ApplyUpdate(u *mesh.ListUpdate, known store.Version, at time.Duration, relayedBy model.HostID) {
	f.applyRelay(u, known, at, relayedBy, false)
}

// ApplyOffer implements mesh.List. If each child that offers became the source, none of
// several would get the list from this daemon, and all would read it from the store.
func (f *follower) ApplyOffer(u *mesh.ListUpdate, known store.Version, at time.Duration, relayedBy model.HostID) {
	f.applyRelay(u, known, at, relayedBy, true)
}

// applyRelay implements ApplyUpdate, and ApplyOffer if offered is set.
func (f *follower) applyRelay(u *mesh.ListUpdate, known store.Version, at time.Duration, relayedBy model.HostID, offered bool) {
	if u.Version == 0 || u.Outdated {
		f.mu.Lock()
		if f.relayedBy == relayedBy {
			f.lastRelay.Store(0) // it cannot reach the store, or got the list from this daemon
		}
		f.mu.Unlock()
	}
	if u.Version == 0 {
		return
	}
	if !u.Complete && !u.Outdated && !offered {
		f.setArrived(&arrival{known: known, version: u.Version, events: u.Events, completeAt: at - u.Age.Duration(), from: relayedBy})
	}
	f.prepareEvents(u.Events)
	if f.age() > lapseAge {
		f.beforeApply()
	}
	if !f.applyKnown(u, known, at, relayedBy, offered) {
		return
	}
	f.afterApply()
	if !u.Outdated && f.lastCallOK.Load() && f.relayed() {
		f.restartWatch() // this daemon's own watch is no longer needed
	}
}

// applyKnown applies an update if it was computed for the present copy and is not older. One
// that was offered does not replace the relays of another neighbour.
func (f *follower) applyKnown(u *mesh.ListUpdate, known store.Version, at time.Duration, relayedBy model.HostID, offered bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version != known || u.Version < f.version {
		return false
	}
	f.enterEra(u.Version.Era())
	if u.Complete {
		objects := make([]store.Object, len(u.Events))
		for i := range u.Events {
			objects[i] = u.Events[i].Object
		}
		f.replaceList(objects, u.Version)
	} else {
		f.applyEvents(u.Events, u.Version)
	}
	// The list is known to be complete at this time, or later: at precedes the
	// reading from which the neighbour counted the age.
	f.setComplete(at - u.Age.Duration())
	if u.Outdated {
		f.keepOutdated(relayedBy)
		return true
	}
	if offered && f.relayedBy != "" && f.relayedBy != relayedBy && f.hasRelay() {
		return true
	}
	f.relayedBy, f.relist = relayedBy, false
	f.lastRelay.Store(int64(f.sinceBoot()))
	f.failing.Store(false)
	return true
}

// keepOutdated records that entries came from a neighbour that does not receive the list
// any more. They are not relayed back to it, and this daemon does not rely on it. The
// caller holds f.mu.
func (f *follower) keepOutdated(relayedBy model.HostID) {
	if f.relayedBy == "" && f.lastCallOK.Load() {
		return // this daemon reads from the store
	}
	f.relayedBy = relayedBy
	f.lastRelay.Store(0)
}
