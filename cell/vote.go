package cell

import (
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Ask is what a question wants to know.
type Ask string

// The values of Ask.
const (
	// AskContact asks for the statement "I have no contact to the platform". A
	// holder whose lease ran out collects it to continue during an outage.
	AskContact Ask = "contact"
	// AskEndorse asks for the statement "I have contact and have not said
	// otherwise". A taker collects it before it takes over a lease.
	AskEndorse Ask = "endorse"
)

// Question asks another member for a statement.
type Question struct {
	From  model.HostID `cbor:"1,keyasint"`
	Ask   Ask          `cbor:"2,keyasint"`
	Shard model.Shard  `cbor:"3,keyasint,omitempty"`
}

// Check reports the first mistake in the question.
func (q *Question) Check() error {
	if q.From == "" || (q.Ask != AskContact && q.Ask != AskEndorse) {
		return fault.Invalid("question", "has no sender or asks for something unknown", "run compatible versions of rhubarbdrift on all hosts")
	}
	return nil
}

// Answer tells whether the member makes the statement.
type Answer struct {
	From model.HostID `cbor:"1,keyasint"`
	Yes  bool         `cbor:"2,keyasint"`
}

// Answer makes the statement asked for, or abstains. The caller must have
// tried to reach the platform after the question came, and have reported the
// result by NoteContact or NoteFailure.
//
// The two statements exclude each other for two periods, and a member that has
// just started makes none for two periods: it may have made the opposite one
// before. So a holder cannot find a majority without contact during a period
// in which a taker finds a majority with contact.
func (m *Member) Answer(q Question, asked time.Time) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := Answer{From: m.self.ID}
	now := m.clock()
	if now.Sub(m.started) < quiet {
		return a
	}
	lost := !m.failed.Before(asked) && m.failed.After(m.reached)
	switch q.Ask {
	case AskContact:
		a.Yes = lost && (m.endorsed.IsZero() || now.Sub(m.endorsed) >= quiet)
		if a.Yes {
			m.saidNo = now
		}
	case AskEndorse:
		a.Yes = !lost && !m.reached.Before(asked) && (m.saidNo.IsZero() || now.Sub(m.saidNo) >= quiet)
		if a.Yes {
			m.endorsed = now
		}
	}
	return a
}
