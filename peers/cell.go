package peers

import (
	"context"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/roster"
)

// Cell is what other services need to know of this daemon's cell.
type Cell struct {
	member    *cell.Member
	service   *roster.Service
	directory *Directory
}

// NewCell returns the view of a running member.
func NewCell(m *cell.Member, s *roster.Service, d *Directory) *Cell {
	return &Cell{member: m, service: s, directory: d}
}

// Member returns the member that this daemon is.
func (v *Cell) Member() *cell.Member { return v.member }

// Address returns the peer address of a member.
func (v *Cell) Address(id model.HostID) (string, bool) {
	r := v.member.Held()
	for _, h := range r.Hosts {
		if h.ID == id {
			return h.Address, true
		}
	}
	return "", false
}

// Live returns the live members of the cell, this one included, without those
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

// Roster returns the roster for the votes on leases.
func (v *Cell) Roster() (uint64, []model.HostID) { return v.service.Roster() }

// CutOff returns how many of the members have no contact to the platform.
func (v *Cell) CutOff(ctx context.Context, members []model.HostID) int {
	return v.service.Contact(ctx, members)
}

// Endorse returns how many of the members agree to a takeover.
func (v *Cell) Endorse(ctx context.Context, members []model.HostID, shard model.Shard) int {
	return v.service.Endorse(ctx, members, shard)
}
