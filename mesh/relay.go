package mesh

import (
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// ListUpdate is an update of one list of the store from a neighbour: the entries
// that the receiver does not have yet.
type ListUpdate struct {
	// Version is the version of the store up to which the list is complete; 0 means
	// that the sender has no update.
	Version store.Version `cbor:"1,keyasint,omitempty"`
	// Complete is set if Events hold the complete list instead of changes.
	Complete bool          `cbor:"2,keyasint,omitempty"`
	Events   []store.Event `cbor:"3,keyasint,omitempty"`
	// Age is the time since the list was known to be complete, in milliseconds.
	Age model.Millis `cbor:"4,keyasint,omitempty"`
	// Outdated is set if the sender does not receive the list any more. The entries are
	// newer than the receiver's, but no others may follow.
	Outdated bool `cbor:"5,keyasint,omitempty"`
}

// List is a list of the store that neighbours relay to each other, so that few
// hosts read from the store.
type List interface {
	// Version returns the version up to which the local copy is complete.
	Version() store.Version
	// Since returns the update for a neighbour whose copy is complete up to
	// version known. The update is empty if the local copy was received from that
	// neighbour, or if it is neither current nor newer than the neighbour's.
	Since(known store.Version, to model.HostID) ListUpdate
	// ApplyUpdate applies an update that a neighbour computed for version known. The
	// update's age counts back from at, a reading of RelayedLists.Clock taken before the
	// neighbour computed it.
	ApplyUpdate(u *ListUpdate, known store.Version, at time.Duration, from model.HostID)
	// ApplyOffer is ApplyUpdate for an update that a child offered because this host had
	// none for it. It takes the entries and the proof, but does not take the child for the
	// source of the list while another neighbour relays it.
	ApplyOffer(u *ListUpdate, known store.Version, at time.Duration, from model.HostID)
	// SetFirst sets whether this host is the first of all that it can reach. The
	// first host always reads from the store.
	SetFirst(first bool)
}

// NumberedList is a list with content that is numbered by its writer. The number, and not the
// version of the store, says which content is newer: the store may come back from an older copy.
type NumberedList interface {
	List
	// Newest returns the number of the newest content that this host has; 0: none.
	Newest() uint64
	// AddNewest adds the newest content to an update for a neighbour with an older one, whose
	// copy is complete up to version known. The update may be empty.
	AddNewest(u *ListUpdate, known store.Version, to model.HostID)
}

// RelayedLists are the relayed lists, in the same order on all hosts.
type RelayedLists struct {
	Clock func() time.Duration // counts the time during which the machine was suspended
	All   []List
}

// known returns the version up to which the local copy of each list is complete.
func (l *RelayedLists) known() []store.Version {
	known := make([]store.Version, len(l.All))
	for i, list := range l.All {
		known[i] = list.Version()
	}
	return known
}

// newest returns the number of the newest content of each list, 0 for those without numbers.
func (l *RelayedLists) newest() []uint64 {
	newest := make([]uint64, len(l.All))
	for i, list := range l.All {
		if numbered, ok := list.(NumberedList); ok {
			newest[i] = numbered.Newest()
		}
	}
	return newest
}

// addNewest adds the newest content to the updates for a neighbour that has an older one.
func (l *RelayedLists) addNewest(updates []ListUpdate, known []store.Version, newest []uint64, to model.HostID) {
	if len(newest) != len(updates) || len(known) != len(updates) {
		return // the neighbour runs a release that does not send them
	}
	for i, list := range l.All[:len(updates)] {
		if numbered, ok := list.(NumberedList); ok && newest[i] < numbered.Newest() {
			numbered.AddNewest(&updates[i], known[i], to)
		}
	}
}

// since returns the update of each list for a neighbour whose copies are
// complete up to the known versions.
func (l *RelayedLists) since(known []store.Version, newest []uint64, to model.HostID) []ListUpdate {
	if len(known) != len(l.All) {
		return nil // the neighbour runs another release and reads from the store
	}
	out := make([]ListUpdate, 0, len(known))
	for i, version := range known {
		out = append(out, l.All[i].Since(version, to))
	}
	l.addNewest(out, known, newest, to)
	return out
}

// apply applies a parent's updates; see List.ApplyUpdate. It ignores those of a release with
// other lists.
func (l *RelayedLists) apply(updates []ListUpdate, known []store.Version, at time.Duration, from model.HostID) {
	l.applyEach(updates, known, at, func(i int) { l.All[i].ApplyUpdate(&updates[i], known[i], at, from) })
}

// applyOffers applies the updates that a child offered; see List.ApplyOffer.
func (l *RelayedLists) applyOffers(updates []ListUpdate, known []store.Version, at time.Duration, from model.HostID) {
	l.applyEach(updates, known, at, func(i int) { l.All[i].ApplyOffer(&updates[i], known[i], at, from) })
}

// applyEach calls apply for each list whose update is usable.
func (l *RelayedLists) applyEach(updates []ListUpdate, known []store.Version, at time.Duration, apply func(i int)) {
	if len(l.All) == 0 || len(updates) != len(l.All) || len(known) != len(l.All) {
		return
	}
	age := l.Clock() - at
	for i := range updates {
		if updates[i].usable(age) {
			apply(i)
		}
	}
}

// maxAge is above the age of any list.
const maxAge = model.Millis(365 * 24 * 60 * 60 * 1000)

// usable reports whether an update may be applied that is based on a clock reading of the
// given age. One from the future would prove for too long that the list is current.
func (u *ListUpdate) usable(age time.Duration) bool {
	return age >= 0 && u.Age >= 0 && u.Age <= maxAge
}

// setFirst calls SetFirst of all lists.
func (l *RelayedLists) setFirst(first bool) {
	for _, list := range l.All {
		list.SetFirst(first)
	}
}

// offer returns updates for the parent that sent an answer, of the lists for which the
// answer held none. So a child that reaches the store keeps its parent up to date.
func (l *RelayedLists) offer(answer *Message) []ListUpdate {
	if len(answer.Updates) != len(l.All) || len(answer.Versions) != len(l.All) {
		return nil
	}
	out := make([]ListUpdate, len(l.All))
	for i, list := range l.All {
		if answer.Updates[i].Version == 0 || answer.Updates[i].Outdated {
			out[i] = list.Since(answer.Versions[i], answer.From)
		}
	}
	l.addNewest(out, answer.Versions, answer.Newest, answer.From)
	return out
}
