package mesh

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

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
	// Piece holds a part of the packed events, instead of Events.
	Piece *Piece `cbor:"6,keyasint,omitempty"`
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
	// SetRank sets the number of hosts of the failure domain that precede this one in the
	// order of the tree. The lower it is, the sooner the host reads from the store if
	// updates are missing.
	SetRank(rank int)
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
	// NoteNewest tells the number of the newest content that a neighbour has.
	NoteNewest(number uint64)
}

// RelayedLists are the relayed lists, in the same order on all hosts.
type RelayedLists struct {
	Clock func() time.Duration // counts the time during which the machine was suspended
	All   []List
	Log   zerolog.Logger
	Scope tally.Scope // of metrics; nil: none

	once      sync.Once
	transfers []*transfer // of each list
	sent      tally.Counter
	received  tally.Counter
}

// init creates the state of the transfers at the first use.
func (l *RelayedLists) init() {
	l.once.Do(func() {
		scope := l.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		l.sent, l.received = scope.SubScope("mesh").Counter("piece_bytes_sent"), scope.SubScope("mesh").Counter("piece_bytes_received")
		for range l.All {
			l.transfers = append(l.transfers, new(transfer))
		}
	})
}

// progress returns what this host has received of the updates of each list.
func (l *RelayedLists) progress() []Progress {
	l.init()
	out := make([]Progress, len(l.All))
	for i, list := range l.All {
		out[i] = l.transfers[i].progress(list)
	}
	return out
}

// split replaces large updates by their next piece of at most window bytes for a neighbour.
func (l *RelayedLists) split(updates []ListUpdate, known []store.Version, progress []Progress, window int) {
	if len(progress) != len(updates) || len(known) != len(updates) {
		return // the neighbour runs a release that receives no pieces
	}
	l.init()
	now, window := l.Clock(), min(max(window, minWindow), maxWindow)
	for i, list := range l.All[:len(updates)] {
		updates[i] = l.transfers[i].split(list, updates[i], known[i], &progress[i], window, now)
		if p := updates[i].Piece; p != nil {
			l.sent.Inc(int64(len(p.Data)))
		}
	}
}

// receive puts together the pieces of an update. It returns false while it is not whole.
func (l *RelayedLists) receive(i int, u *ListUpdate, known store.Version, at time.Duration, from model.HostID) bool {
	p := u.Piece
	if p == nil {
		return true
	}
	l.init()
	l.received.Inc(int64(len(p.Data)))
	events, ok := l.transfers[i].receive(u, known, at)
	if list, receives := l.All[i].(ReceivingList); receives && !ok {
		list.Receiving()
	}
	if !ok {
		return false
	}
	l.Log.Info().Int("list", i).Str("from", string(from)).Int("packed", p.Size).Int("bytes", sizeOf(events)).Bool("based", p.Base != 0).
		Uint64("revision", u.Version.Revision()).Dur("age", u.Age.Duration()).Msg("large update received")
	u.Events, u.Piece = events, nil
	return true
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

// noteNewest passes on the numbers of the newest contents that a neighbour has.
func (l *RelayedLists) noteNewest(newest []uint64) {
	if len(newest) != len(l.All) {
		return
	}
	for i, list := range l.All {
		if numbered, ok := list.(NumberedList); ok {
			numbered.NoteNewest(newest[i])
		}
	}
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

// since returns the update of each list for a neighbour that sent a message.
func (l *RelayedLists) since(m *Message) []ListUpdate {
	known := m.Versions
	if len(known) != len(l.All) {
		return nil // the neighbour runs another release and reads from the store
	}
	out := make([]ListUpdate, 0, len(known))
	for i, version := range known {
		out = append(out, l.All[i].Since(version, m.From))
	}
	l.addNewest(out, known, m.Newest, m.From)
	l.split(out, known, m.Progress, m.Window)
	return out
}

// apply applies a parent's updates; see List.ApplyUpdate. It ignores those of a release with
// other lists.
func (l *RelayedLists) apply(updates []ListUpdate, known []store.Version, at time.Duration, from model.HostID) {
	l.applyEach(updates, known, at, from, func(i int) { l.All[i].ApplyUpdate(&updates[i], known[i], at, from) })
}

// applyOffers applies the updates that a child offered; see List.ApplyOffer.
func (l *RelayedLists) applyOffers(updates []ListUpdate, known []store.Version, at time.Duration, from model.HostID) {
	l.applyEach(updates, known, at, from, func(i int) { l.All[i].ApplyOffer(&updates[i], known[i], at, from) })
}

// applyEach calls apply for each list whose update is usable.
func (l *RelayedLists) applyEach(updates []ListUpdate, known []store.Version, at time.Duration, from model.HostID, apply func(i int)) {
	if len(l.All) == 0 || len(updates) != len(l.All) || len(known) != len(l.All) {
		return
	}
	age := l.Clock() - at
	for i := range updates {
		if updates[i].usable(age) && l.receive(i, &updates[i], known[i], at, from) {
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

// setRank calls SetRank of all lists.
func (l *RelayedLists) setRank(rank int) {
	for _, list := range l.All {
		list.SetRank(rank)
	}
}

// offer returns updates for the parent that sent an answer, of the lists for which the
// answer held none. So a child that reaches the store keeps its parent up to date. Pieces have
// at most window bytes.
func (l *RelayedLists) offer(answer *Message, window int) []ListUpdate {
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
	l.split(out, answer.Versions, answer.Progress, window)
	return out
}
