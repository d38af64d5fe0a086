package peers

import (
	"context"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/roster"
)

// Cell gives other services of the daemon access to the members of its cell and
// to their votes. It implements lease.Voter.
type Cell struct {
	member    *cell.Member
	votes     *roster.Service
	directory *Directory
}

// NewCell returns the cell of a running member. The service collects the votes
// of the members; the directory lists the hosts that are leaving.
func NewCell(m *cell.Member, s *roster.Service, d *Directory) *Cell {
	return &Cell{member: m, votes: s, directory: d}
}

// Member returns this daemon's own member of the cell.
func (v *Cell) Member() *cell.Member { return v.member }

// Address returns the peer address of a member from the roster that this daemon
// holds, and false if the roster does not contain the member.
func (v *Cell) Address(id model.HostID) (string, bool) {
	r := v.member.Roster()
	for _, h := range r.Hosts {
		if h.ID == id {
			return h.Address, true
		}
	}
	return "", false
}

// Live returns the live members of the cell, including this one, without those
// that are leaving.
func (v *Cell) Live() []model.HostID {
	list := []model.HostID{v.member.Self().ID}
	for _, p := range v.member.Peers() {
		if p.Live && !v.directory.Leaving(p.ID) {
			list = append(list, p.ID)
		}
	}
	return list
}

// Roster returns the version and the members of the roster that votes on leases.
func (v *Cell) Roster() (uint64, []model.HostID) { return v.votes.Roster() }

// CountDisconnected returns how many of the members currently report that they cannot reach
// the platform.
func (v *Cell) CountDisconnected(ctx context.Context, members []model.HostID) int {
	return v.votes.CountNoContact(ctx, members)
}

// CountEndorsements asks the members whether the lease of a shard may be taken over and
// returns how many agree.
func (v *Cell) CountEndorsements(ctx context.Context, members []model.HostID, shard model.Shard) int {
	return v.votes.CountEndorsements(ctx, members, shard)
}
