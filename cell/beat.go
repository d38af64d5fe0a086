package cell

import (
	"fmt"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// Period is the time between two heartbeats of a member.
	Period = 2 * time.Second
	// FreshFor is how long a daemon stays fresh after it read the newest root or a
	// quorum confirmed it.
	FreshFor = 6 * time.Second
	// AbsentFor is how long a host must be absent before it is removed from the
	// roster.
	AbsentFor = 60 * time.Second
	// MaxMembers is the largest roster. It bounds the cost of heartbeats.
	MaxMembers = 24

	// abstainFor is how long a member abstains from all statements after a start,
	// and from a statement after it made the opposite one.
	abstainFor = 2 * Period
	// readRootAfter is the age of the last confirmation by a quorum above which a
	// member reads the root itself. Without loss the age, counted from the send time
	// of the confirmed heartbeat, stays below two periods and a round trip: a peer
	// answers with its next heartbeat, and the following answer comes a period later.
	readRootAfter = 2*Period + 200*time.Millisecond
)

// Contact is the state of a member's connection to the platform.
type Contact uint8

// The values of Contact.
const (
	// ContactUnknown means that the member made no call recently.
	ContactUnknown Contact = iota
	// ContactOK means that a call sent within the last two periods succeeded.
	ContactOK
	// ContactFailed means that the last call failed.
	ContactFailed
)

// seqBits is the number of low bits of Seq that count heartbeats, enough for
// 24 days. The high bits are a hash of the host and its incarnation, because the
// incarnation itself would make each heartbeat larger.
const seqBits = 20

// Heartbeat is a heartbeat. It carries the sender's state; votes use Question.
type Heartbeat struct {
	From      model.HostID        `cbor:"1,keyasint"`
	Seq       uint64              `cbor:"2,keyasint"` // the high bits differ between incarnations
	Echo      uint64              `cbor:"3,keyasint"` // newest Seq received from the receiver of this beat
	Version   model.ConfigVersion `cbor:"4,keyasint"`
	Roster    store.Version       `cbor:"5,keyasint"` // version of the roster that the sender holds
	Contact   Contact             `cbor:"6,keyasint,omitempty"`
	Recovered bool                `cbor:"7,keyasint,omitempty"` // the sender has recovered from its restart and may confirm others
	UpToDate  bool                `cbor:"8,keyasint,omitempty"` // confirms the receiver: the sender holds nothing newer than what the beat numbered Echo reported
	Address   string              `cbor:"9,keyasint,omitempty"` // of the sender, only if it is not in its own roster
}

// Check returns an error of kind fault.KindInvalid for the first invalid field.
func (b *Heartbeat) Check() error {
	if b.From == "" || b.Seq == 0 {
		return fault.Invalid("heartbeat", "has no sender or number", "run compatible versions of rhubarbdrift on all hosts")
	}
	if b.Contact > ContactFailed {
		return fault.Invalid("heartbeat contact", fmt.Sprintf("is %d", b.Contact), "run compatible versions of rhubarbdrift on all hosts")
	}
	return nil
}

// OutgoingHeartbeat is a heartbeat and the address to send it to.
type OutgoingHeartbeat struct {
	Address string
	Beat    Heartbeat
}

// Host is one entry of a roster.
type Host struct {
	ID      model.HostID `json:"id"      cbor:"1,keyasint"`
	Address string       `json:"address" cbor:"2,keyasint"` // IP address and port for other daemons
}

// Roster lists the hosts of a cell. Version is the version of the stored object.
type Roster struct {
	Version store.Version `json:"version" cbor:"1,keyasint"`
	Hosts   []Host        `json:"hosts"   cbor:"2,keyasint"`
}

// Check returns an error of kind fault.KindInvalid for the first violated rule.
func (r *Roster) Check() error {
	if len(r.Hosts) > MaxMembers {
		return fault.Invalid("roster", fmt.Sprintf("has %d hosts, above the limit of %d", len(r.Hosts), MaxMembers), "split the cell in the settings")
	}
	seen := make(map[model.HostID]bool)
	for _, h := range r.Hosts {
		if h.ID == "" || h.Address == "" || seen[h.ID] {
			return fault.Invalid("roster", fmt.Sprintf("host %q has no id, no address or appears twice", h.ID), "correct the object of the cell")
		}
		seen[h.ID] = true
	}
	return nil
}

// OutageQuorum returns how many hosts of the roster must agree to decide while the
// platform is unavailable.
func (r *Roster) OutageQuorum() int { return model.OutageQuorum(len(r.Hosts)) }

// AcceptQuorum returns the number of hosts of the roster that must hold a
// configuration before it is accepted, or the roster before it is changed.
func (r *Roster) AcceptQuorum() int { return model.AcceptQuorum(len(r.Hosts)) }

// Has reports whether the host is in the roster.
func (r *Roster) Has(id model.HostID) bool {
	for _, h := range r.Hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}
