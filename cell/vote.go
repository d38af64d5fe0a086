package cell

import (
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Ask names the statement that a question asks for.
type Ask string

// The values of Ask.
const (
	// AskNoContact asks for the statement "I have no contact to the platform". The
	// holder of an expired lease needs an outage quorum of these to continue during
	// an outage.
	AskNoContact Ask = "contact"
	// AskEndorse asks for the statement "I have contact to the platform and have
	// not recently stated the opposite". A daemon needs a takeover quorum of these
	// before it takes over a lease.
	AskEndorse Ask = "endorse"
)

// Question asks another member for a statement.
type Question struct {
	From  model.HostID `cbor:"1,keyasint"`
	Ask   Ask          `cbor:"2,keyasint"`
	Shard model.Shard  `cbor:"3,keyasint,omitempty"` // whose lease is to be taken over; the answer does not depend on it
}

// Check reports the first mistake in the question.
func (q *Question) Check() error {
	if q.From == "" || (q.Ask != AskNoContact && q.Ask != AskEndorse) {
		return fault.Invalid("question", "has no sender or asks for something unknown", "run compatible versions of rhubarbdrift on all hosts")
	}
	return nil
}

// Answer reports whether the member makes the statement.
type Answer struct {
	From model.HostID `cbor:"1,keyasint"`
	Yes  bool         `cbor:"2,keyasint"`
}

// Answer makes the statement asked for, or abstains. The caller must have called
// the platform after the question arrived at receivedAt, and must have reported
// the result by NoteContact or NoteFailure.
//
// The two statements exclude each other for two periods. A member that has just
// started abstains for two periods, because it may have made the opposite
// statement before the restart. An outage quorum and a takeover quorum of the
// same hosts share a member, which makes at most one of the statements in that time.
// So a lease holder that continues on an outage quorum and a daemon that takes the
// lease over on a takeover quorum cannot both succeed within the same period.
func (m *Member) Answer(q Question, receivedAt time.Time) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := Answer{From: m.self.ID}
	now := m.clock()
	if now.Sub(m.started) < abstainFor {
		return a
	}
	disconnected := !m.lastFailure.Before(receivedAt) && m.lastFailure.After(m.lastContact)
	switch q.Ask {
	case AskNoContact:
		a.Yes = disconnected && (m.lastEndorsed.IsZero() || now.Sub(m.lastEndorsed) >= abstainFor)
		if a.Yes {
			m.lastNoContact = now
		}
	case AskEndorse:
		a.Yes = !disconnected && !m.lastContact.Before(receivedAt) && (m.lastNoContact.IsZero() || now.Sub(m.lastNoContact) >= abstainFor)
		if a.Yes {
			m.lastEndorsed = now
		}
	}
	return a
}
