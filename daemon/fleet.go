package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/roster"
	"rhubarbdrift.example/wire"
)

const (
	// methodState is the wire method that returns the state of a member's cell.
	methodState = "cell.state"
	// stateTimeout bounds the state request to one member.
	stateTimeout = 500 * time.Millisecond
	// stateAttempts is the largest number of members of a cell that are queried.
	stateAttempts = 3
)

// cellState is a member's response to methodState: the state of its cell.
type cellState struct {
	Version  model.ConfigVersion `cbor:"1,keyasint"`
	Accepted model.ConfigVersion `cbor:"2,keyasint"`
	Live     int                 `cbor:"3,keyasint"`
}

// cellState is the handler of methodState. It returns the state of this daemon's cell.
func (d *Daemon) cellState(context.Context, *roster.Empty) (*cellState, error) {
	s := d.state.cell.Member().Status()
	return &cellState{Version: s.Version, Accepted: s.Accepted, Live: len(d.state.cell.Live())}, nil
}

// cells queries a member of each cell for the state of the cell. A cell without a
// response is listed as not reached. The bool reports whether the list of cells
// could be read from the platform; if not, only this daemon's cell is listed.
func (d *Daemon) cells(ctx context.Context) ([]admin.CellStatus, bool) {
	rosters, err := roster.Load(ctx, d.state.store)
	if err != nil {
		d.log.Warn().Err(err).Msg("cannot read the list of cells; the status contains only this daemon's cell")
		rosters = map[model.CellName]cell.Roster{d.settings.Cell: d.state.cell.Member().Roster()}
	}
	list := make([]admin.CellStatus, 0, len(rosters))
	for name, r := range rosters {
		list = append(list, admin.CellStatus{Cell: name, Hosts: len(r.Hosts)})
	}
	slices.SortFunc(list, func(a, b admin.CellStatus) int { return strings.Compare(string(a.Cell), string(b.Cell)) })
	var g errgroup.Group
	for i := range list {
		g.Go(func() error {
			d.queryCell(ctx, &list[i], rosters[list[i].Cell].Hosts)
			return nil
		})
	}
	_ = g.Wait()
	return list, err == nil
}

func (d *Daemon) queryCell(ctx context.Context, status *admin.CellStatus, hosts []cell.Host) {
	for _, h := range hosts[:min(len(hosts), stateAttempts)] {
		s, err := d.queryMember(ctx, h)
		if err != nil {
			continue
		}
		status.Reached, status.Live = true, s.Live
		status.Version, status.Accepted = s.Version, s.Accepted
		return
	}
}

func (d *Daemon) queryMember(ctx context.Context, h cell.Host) (*cellState, error) {
	if h.ID == d.settings.Host {
		return d.cellState(ctx, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return wire.Call[roster.Empty, cellState](ctx, d.state.peers.Client(h.Address), methodState, new(roster.Empty))
}
