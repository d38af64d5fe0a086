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
	// FreshFor is how long a vouch or a read of the root keeps a daemon fresh.
	FreshFor = 6 * time.Second
	// AbsentFor is how long a host must be gone before it leaves the roster.
	AbsentFor = 60 * time.Second
	// MaxMembers is the largest roster. It bounds the cost of heartbeats.
	MaxMembers = 24

	// quiet is how long a member abstains after a restart or after a statement
	// that excludes the opposite one.
	quiet = 2 * Period
	// readAfter is the age of the last majority at which a member reads the root
	// itself. An answer to a heartbeat takes up to two periods and a round trip.
	readAfter = 2*Period + 200*time.Millisecond
)

// Contact tells what a member knows about its way to the platform.
type Contact uint8

// The values of Contact.
const (
	// ContactUntried means that the member had no reason to call the platform.
	ContactUntried Contact = iota
	// ContactYes means that a call succeeded in the last period.
	ContactYes
	// ContactNo means that the newest call failed.
	ContactNo
)

// seqBits is the number of low bits of Seq that count heartbeats, enough for
// 24 days. The bits above are a hash of the incarnation, which costs less than
// the incarnation itself in each heartbeat.
const seqBits = 20

// Beat is a heartbeat. It informs the receiver; votes use questions instead.
type Beat struct {
	From    model.HostID        `cbor:"1,keyasint"`
	Seq     uint64              `cbor:"2,keyasint"` // the high bits differ between incarnations
	Echo    uint64              `cbor:"3,keyasint"` // newest Seq from the receiver
	Version model.ConfigVersion `cbor:"4,keyasint"`
	Roster  store.Version       `cbor:"5,keyasint"` // version of the roster that the sender holds
	Contact Contact             `cbor:"6,keyasint,omitempty"`
	Loaded  bool                `cbor:"7,keyasint,omitempty"` // the sender may vouch
	Vouch   bool                `cbor:"8,keyasint,omitempty"` // holds nothing newer than the beat Echo reported
	Address string              `cbor:"9,keyasint,omitempty"` // only from a host that is not in its roster
}

// Check reports the first mistake in the heartbeat.
func (b *Beat) Check() error {
	if b.From == "" || b.Seq == 0 {
		return fault.Invalid("heartbeat", "has no sender or number", "run compatible versions of rhubarbdrift on all hosts")
	}
	if b.Contact > ContactNo {
		return fault.Invalid("heartbeat contact", fmt.Sprintf("is %d", b.Contact), "run compatible versions of rhubarbdrift on all hosts")
	}
	return nil
}

// Envelope is a heartbeat and where to send it.
type Envelope struct {
	Address string
	Beat    Beat
}

// Host is one entry of a roster.
type Host struct {
	ID      model.HostID `json:"id"      cbor:"1,keyasint"`
	Address string       `json:"address" cbor:"2,keyasint"` // IP address and port for other daemons
}

// Roster lists the hosts of a cell. Version is that of the object.
type Roster struct {
	Version store.Version `json:"version" cbor:"1,keyasint"`
	Hosts   []Host        `json:"hosts"   cbor:"2,keyasint"`
}

// Check reports the first mistake in the roster.
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

// Majority returns the smallest number of hosts that is more than half.
func (r *Roster) Majority() int { return len(r.Hosts)/2 + 1 }

// Has reports whether the host is in the roster.
func (r *Roster) Has(id model.HostID) bool {
	for _, h := range r.Hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}
