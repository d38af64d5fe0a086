package lists

import (
	"time"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Known implements mesh.List.
func (f *follow) Known() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// First implements mesh.List.
func (f *follow) First(first bool) { f.first.Store(first) }

// Since implements mesh.List.
func (f *follow) Since(known store.Version, to model.HostID) mesh.Relay {
	age := f.proof()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == 0 || age >= urgent || !f.tells(to) {
		return mesh.Relay{}
	}
	// A neighbour that has asked the store itself may know more. It needs nothing
	// but the word that it will be told of what follows.
	r := mesh.Relay{At: max(f.at, known), Whole: known < f.floor, Age: model.Millis(age/time.Millisecond) + 1}
	for _, e := range f.records {
		if r.Whole && !e.event.Deleted || !r.Whole && e.learned > known {
			r.Events = append(r.Events, e.event)
		}
	}
	return r
}

// tells reports whether this daemon has word of the list for a neighbour: the
// store's, or that of another neighbour. The caller holds the lock.
func (f *follow) tells(to model.HostID) bool {
	if f.from == "" {
		return f.own.Load() && f.path()
	}
	return f.from != to && f.vouched()
}

// Take implements mesh.List.
func (f *follow) Take(r *mesh.Relay, known store.Version, at time.Duration, from model.HostID) {
	if r.At == 0 {
		f.mu.Lock()
		if f.from == from {
			f.word.Store(0) // it lost the store, or has its word from here
		}
		f.mu.Unlock()
		return
	}
	if f.age() > lapse {
		f.before()
	}
	f.mu.Lock()
	if f.at != known || r.At < f.at {
		f.mu.Unlock()
		return // the store told more meanwhile
	}
	if r.Whole {
		objects := make([]store.Object, len(r.Events))
		for i := range r.Events {
			objects[i] = r.Events[i].Object
		}
		f.reset(objects, r.At)
	} else {
		f.change(r.Events, r.At)
	}
	// The neighbour's proof is at least this old when it speaks.
	f.prove(at - r.Age.Duration())
	f.from = from
	f.word.Store(int64(f.boot()))
	f.mu.Unlock()
	f.proved()
	if f.own.Load() && f.relayed() {
		f.again() // a watch of this daemon's own is not needed any longer
	}
}
