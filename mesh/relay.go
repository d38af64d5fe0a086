package mesh

import (
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Relay is what a parent knows of one list of the store and its child does not.
type Relay struct {
	// At is the version of the store up to which the list is complete; 0 says
	// nothing.
	At store.Version `cbor:"1,keyasint,omitempty"`
	// Whole says that the events are the whole list, not changes.
	Whole  bool          `cbor:"2,keyasint,omitempty"`
	Events []store.Event `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the list was certainly complete, in milliseconds.
	Age model.Millis `cbor:"4,keyasint,omitempty"`
}

// List is a list of the store that parents hand on to their children, so that
// few hosts ask the store.
type List interface {
	// Known returns the version up to which the list is complete here.
	Known() store.Version
	// Fresh reports whether the list was complete a moment ago.
	Fresh() bool
	// Since returns what is known here beyond a version.
	Since(known store.Version) Relay
	// Take applies a parent's answer to a message that told it known and was
	// sent at a time of the clock.
	Take(r *Relay, known store.Version, sent time.Duration)
}

// Lists are the lists that are handed on, in the same order on all hosts.
type Lists struct {
	Clock func() time.Duration // counts the time of a suspended machine
	All   []List
}

func (l *Lists) known() []store.Version {
	known := make([]store.Version, len(l.All))
	for i, list := range l.All {
		known[i] = list.Known()
	}
	return known
}

func (l *Lists) since(known []store.Version) []Relay {
	if len(known) != len(l.All) {
		return nil // another release, which asks the store itself
	}
	out := make([]Relay, len(l.All))
	for i, list := range l.All {
		out[i] = list.Since(known[i])
	}
	return out
}

// better reports whether this host knows the lists although its parent does not.
func (l *Lists) better(relays []Relay) bool {
	for i, list := range l.All {
		if i < len(relays) && relays[i].At == 0 && list.Fresh() {
			return true
		}
	}
	return false
}

func (l *Lists) take(relays []Relay, known []store.Version, sent time.Duration) {
	if len(relays) != len(l.All) {
		return
	}
	for i, list := range l.All {
		list.Take(&relays[i], known[i], sent)
	}
}
