package model

import (
	"encoding/json"
	"fmt"

	"rhubarbdrift.example/fault"
)

// MaxMembers is the largest number of hosts in the roster of a cell.
const MaxMembers = 24

// Lease is the value of a lease object: who owns a shard in a region.
type Lease struct {
	Holder      HostID      `json:"holder"`
	Incarnation Incarnation `json:"incarnation"`
	// Nonce identifies the write, so that its writer recognizes it after a lost answer.
	Nonce string `json:"nonce"`
	// Term increases with each acquisition.
	Term uint64   `json:"term"`
	Cell CellName `json:"cell"`
	// Roster is the version of the cell's roster that the holder uses.
	Roster uint64 `json:"roster"`
	// Members are the members of that roster, kept here so that a taker can ask
	// them after the roster changed.
	Members []HostID `json:"members"`
	// Released says that the holder gave the lease up.
	Released bool `json:"released,omitempty"`
}

// DecodeLease decodes and checks a lease.
func DecodeLease(data []byte) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(data, &l); err != nil {
		return Lease{}, fault.Wrap(fault.KindInvalid, err, "the lease does not decode", "delete the lease object if its holder has ended")
	}
	return l, l.Check()
}

// Check reports a field that is not allowed.
func (l Lease) Check() error {
	switch {
	case l.Holder == "" || l.Incarnation == "":
		return fault.Invalid("holder", "is incomplete", "name the host and the run of its daemon")
	case l.Nonce == "":
		return fault.Invalid("nonce", "is empty", "give each write its own nonce")
	case len(l.Members) > MaxMembers:
		return fault.Invalid("members", fmt.Sprintf("has %d entries", len(l.Members)), fmt.Sprintf("split the cell; at most %d are allowed", MaxMembers))
	}
	return nil
}
