package inproc

import (
	"context"
	"net"
	"sync"

	"github.com/google/uuid"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/feed"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/roster"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

// Node is one daemon without its part for callers and targets.
type Node struct {
	platform store.Store
	self     cell.Host
	cell     model.CellName
	shards   int
	Counters *wire.Counters
	service  *roster.Service
	holder   *conf.Holder
	// Stop ends the node at once, without a planned stop.
	Stop func()
}

// NoRegion is the way from an owner to other regions, none of which is reachable.
type NoRegion struct{}

// Wish fails.
func (NoRegion) Wish(context.Context, model.Region, share.Wish) error {
	return fault.New(fault.Unavailable, "no other region runs here", "none is needed")
}

// voter gives a keeper what it needs of the cell, as package daemon does.
type voter struct{ *roster.Service }

// CutOff implements lease.Voter.
func (v voter) CutOff(ctx context.Context, members []model.HostID) int {
	return v.Contact(ctx, members)
}

func (n *Node) live() []model.HostID {
	list := []model.HostID{n.self.ID}
	for _, p := range n.service.Member().Peers() {
		if p.Live {
			list = append(list, p.ID)
		}
	}
	return list
}

// Start runs the node on a listener, or on its earlier address if it is nil.
func (n *Node) Start(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	if ln == nil {
		var err error
		if ln, err = new(net.ListenConfig).Listen(ctx, "tcp", n.self.Address); err != nil {
			cancel()
			return err
		}
	}
	run := model.Incarnation(uuid.NewString())
	pool := wire.NewPool(wire.WithCounters(n.Counters))
	server := wire.NewServer(wire.WithCounters(n.Counters))
	link := roster.NewLink(pool)
	member := cell.NewMember(n.self, n.cell, run)
	n.holder = conf.NewHolder()
	f := feed.New(n.holder, member, n.platform, feed.NewLink(pool))
	feed.Register(server, f)
	n.service = roster.NewService(member, n.platform, link, roster.WithReader(f.Read))
	roster.Register(server, n.service)
	services := []func(context.Context) error{
		f.Run, n.service.Run, func(ctx context.Context) error { return server.Serve(ctx, ln) },
	}
	if n.shards > 0 {
		k := lease.New(lease.WithStore(n.platform), lease.WithSelf(n.self.ID, run), lease.WithRegion("region-0", n.shards),
			lease.WithCell(n.cell, voter{n.service}), lease.WithMembers(n.live))
		o := quota.NewOwner("region-0", []model.Region{"region-0", "region-1", "region-2"}, k, n.customer, n.platform, NoRegion{}, quota.WithOwnerShards(n.shards))
		services = append(services, k.Run, o.Run)
	}
	var running sync.WaitGroup
	for _, s := range services {
		running.Go(func() { _ = s(ctx) })
	}
	n.Stop = func() {
		cancel()
		link.Close()
		pool.Close()
		running.Wait()
	}
	return nil
}

func (n *Node) customer(id model.CustomerID) (*model.Customer, bool) {
	if c := n.holder.Current(); c != nil {
		return c.Customer(id)
	}
	return nil, false
}

func (n *Node) version() model.ConfigVersion {
	if c := n.holder.Current(); c != nil {
		return c.Version()
	}
	return 0
}
