package watch

import (
	"slices"
	"time"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// arrival is a number of changes that are being prepared. To decode a large configuration
// takes a host a good part of the time within which it must be in force on all hosts, so
// neighbours get it before.
type arrival struct {
	known      store.Version // of the copy that the changes continue
	version    store.Version // of the copy with the changes
	events     []store.Event
	completeAt time.Duration // boot time at which the list with the changes was known to be complete
	from       model.HostID  // neighbour that relayed the changes; empty: read from the store
}

// setArrived lets neighbours have changes that are about to be prepared and applied, if they
// continue the present copy and all of them can be read.
func (f *follower) setArrived(a *arrival) {
	for i := range a.events {
		if e := &a.events[i]; !e.Deleted && f.problemOf(&e.Object) != "" {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(a.events) > 0 && a.known == f.version && a.version > f.version {
		f.arrived = a
	}
}

// arrivedSince returns the update for a neighbour whose copy is complete up to version known,
// with the changes that are being prepared. It returns false if there are none for it. The
// caller holds f.mu.
func (f *follower) arrivedSince(known store.Version, to model.HostID) (mesh.ListUpdate, bool) {
	a := f.arrived
	if a == nil || a.known != f.version || f.version == 0 || known >= a.version || known < f.floor || a.from == to {
		return mesh.ListUpdate{}, false
	}
	age := f.sinceBoot() - a.completeAt
	if age >= maxRelayAge {
		return mesh.ListUpdate{}, false
	}
	return mesh.ListUpdate{Version: a.version, Age: roundUpAge(age), Events: slices.Concat(f.eventsAfter(known), a.events)}, true
}

// eventsAfter returns the recorded events after a version. The caller holds f.mu.
func (f *follower) eventsAfter(known store.Version) (events []store.Event) {
	for _, r := range f.records {
		if r.updateVersion > known {
			events = append(events, r.event)
		}
	}
	return events
}

// roundUpAge rounds an age up to whole milliseconds.
func roundUpAge(age time.Duration) model.Millis { return model.Millis(age/time.Millisecond) + 1 }
