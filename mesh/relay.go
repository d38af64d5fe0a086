package mesh

import (
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Relay is what a host knows of one list of the store and its neighbour does not.
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

// List is a list of the store that neighbours hand on to each other, so that
// few hosts ask the store.
type List interface {
	// Known returns the version up to which the list is complete here.
	Known() store.Version
	// Since returns what is known here beyond a version, for a neighbour. It is
	// nothing if the newest word came from that neighbour.
	Since(known store.Version, to model.HostID) Relay
	// Take applies the word of a neighbour that was told known. The age of its
	// proof counts from a time of the clock before that.
	Take(r *Relay, known store.Version, at time.Duration, from model.HostID)
	// First says whether this host is the first of all that it can reach, which
	// always asks the store.
	First(first bool)
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

// since returns what a neighbour that knows the lists up to some versions does
// not know.
func (l *Lists) since(known []store.Version, to model.HostID) []Relay {
	if len(known) != len(l.All) {
		return nil // another release, which asks the store itself
	}
	out := make([]Relay, 0, len(known))
	for i, version := range known {
		out = append(out, l.All[i].Since(version, to))
	}
	return out
}

func (l *Lists) take(relays []Relay, known []store.Version, at time.Duration, from model.HostID) {
	if len(relays) != len(l.All) || len(known) != len(l.All) {
		return
	}
	for i, list := range l.All {
		list.Take(&relays[i], known[i], at, from)
	}
}

func (l *Lists) first(first bool) {
	for _, list := range l.All {
		list.First(first)
	}
}

// offer returns what the sender of an answer has no word of, as it said, and
// this host has.
func (l *Lists) offer(answer *Message) []Relay {
	if len(answer.Relays) != len(l.All) || len(answer.Known) != len(l.All) {
		return nil
	}
	out := make([]Relay, len(l.All))
	for i, list := range l.All {
		if answer.Relays[i].At == 0 {
			out[i] = list.Since(answer.Known[i], answer.From)
		}
	}
	return out
}
