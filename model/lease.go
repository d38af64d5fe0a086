package model

import (
	"encoding/json"
	"fmt"

	"rhubarbdrift.example/fault"
)

// MaxRosterHosts is the largest number of hosts in a cell's roster.
const MaxRosterHosts = 24

// Lease is the value of a lease object, which records the owner of a shard in a
// region.
type Lease struct {
	Holder      HostID      `json:"holder"`
	Incarnation Incarnation `json:"incarnation"`
	// Nonce identifies the write, so that the writer recognizes its own write after
	// a lost answer.
	Nonce string `json:"nonce"`
	// Term increases with each acquisition.
	Term uint64   `json:"term"`
	Cell CellName `json:"cell"`
	// Roster is the version of the cell's roster that the holder uses.
	Roster uint64 `json:"roster"`
	// Members are the members of that roster. They are stored here so that a host
	// that takes over the lease can query them even if the roster has changed.
	Members []HostID `json:"members"`
	// Released reports that the holder released the lease before its expiry.
	Released bool `json:"released,omitempty"`
}

// DecodeLease decodes and validates a lease.
func DecodeLease(data []byte) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(data, &l); err != nil {
		return Lease{}, fault.Wrap(fault.KindInvalid, err, "the lease does not decode", "delete the lease object if its holder has ended")
	}
	return l, l.Check()
}

// Check validates the lease and returns an error for the first invalid field.
func (l Lease) Check() error {
	switch {
	case l.Holder == "" || l.Incarnation == "":
		return fault.Invalid("holder", "is incomplete", "name the host and the run of its daemon")
	case l.Nonce == "":
		return fault.Invalid("nonce", "is empty", "give each write its own nonce")
	case len(l.Members) > MaxRosterHosts:
		return fault.Invalid("members", fmt.Sprintf("has %d entries", len(l.Members)), fmt.Sprintf("split the cell; at most %d are allowed", MaxRosterHosts))
	}
	return nil
}
