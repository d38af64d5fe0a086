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
func (c *Cell) Member() *cell.Member { return c.member }

// Address returns the peer address of a member from the roster that this daemon
// holds, and false if the roster does not contain the member.
func (c *Cell) Address(id model.HostID) (string, bool) {
	r := c.member.Roster()
	for _, h := range r.Hosts {
		if h.ID == id {
			return h.Address, true
		}
	}
	return "", false
}

// Live returns this daemon's host and the other live members of the cell that are not
// leaving.
func (c *Cell) Live() []model.HostID {
	list := []model.HostID{c.member.Self().ID}
	for _, p := range c.member.Peers() {
		if p.Live && !c.directory.Leaving(p.ID) {
			list = append(list, p.ID)
		}
	}
	return list
}

// Roster returns the version and the members of the roster that votes on leases.
func (c *Cell) Roster() (uint64, []model.HostID) { return c.votes.Roster() }

// CountDisconnected returns how many of the members currently state that they have no
// contact to the platform.
func (c *Cell) CountDisconnected(ctx context.Context, members []model.HostID) int {
	return c.votes.CountNoContact(ctx, members)
}

// CountEndorsements asks the members whether the lease of a shard may be taken over
// and returns how many agree.
func (c *Cell) CountEndorsements(ctx context.Context, members []model.HostID, shard model.Shard) int {
	return c.votes.CountEndorsements(ctx, members, shard)
}
