package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/feed"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/roster"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

// releaseTimeout bounds the release of the leases in a planned stop. Leases that
// are not released in time expire.
const releaseTimeout = 5 * time.Second

func (d *Daemon) buildCell() error {
	platform, err := kernel.Find[store.Store](d.services, nameStore)
	if err != nil {
		return err
	}
	server, err := kernel.Find[*wire.Server](d.services, nameWire)
	if err != nil {
		return err
	}
	s := d.settings
	m := cell.NewMember(cell.Host{ID: s.Host, Address: s.Listen.Peers}, s.Cell, d.incarnation, cell.WithClock(d.clock))
	link := roster.NewLink(d.state.peers)
	f := feed.New(d.state.holder, m, platform, feed.NewLink(d.state.peers), feed.WithLogger(d.log))
	feed.Register(server, f)
	service := roster.NewService(m, platform, link, roster.WithSeeds(s.Peers),
		roster.WithClock(d.clock), roster.WithReader(f.ReadVersion), roster.WithLogger(d.log))
	roster.Register(server, service)
	d.state.cell = peers.NewCell(m, service, d.state.directory)
	wire.Handle(server, methodState, d.cellState)
	if err := kernel.Provide(d.services, nameFeed, f); err != nil {
		return err
	}
	return kernel.Provide(d.services, nameCell, service)
}

func (d *Daemon) buildLease() error {
	platform, err := kernel.Find[store.Store](d.services, nameStore)
	if err != nil {
		return err
	}
	s := d.settings
	k := lease.New(
		lease.WithStore(platform),
		lease.WithClock(d.clock),
		lease.WithSelf(s.Host, d.incarnation),
		lease.WithRegion(s.Region, s.Shards),
		lease.WithCell(s.Cell, d.state.cell),
		lease.WithMembers(d.state.cell.Live),
		lease.WithLogger(d.log))
	if err := kernel.Provide(d.services, nameLease, k); err != nil {
		return err
	}
	return kernel.Provide(d.services, nameHandover, handover{keeper: k, log: d.log})
}

// handover releases all leases in a planned stop, so that other daemons can
// acquire them without waiting for their expiry.
type handover struct {
	keeper *lease.Keeper
	log    zerolog.Logger
}

// Stop releases the leases. It always returns nil: leases that cannot be released
// expire, so a planned stop succeeds even while the platform is unavailable.
func (h handover) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if h.keeper.Release(ctx) != nil { // the lease keeper logs each failure
		h.log.Warn().Msg("some leases were not released; they expire by themselves")
	}
	return nil
}
