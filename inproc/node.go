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

// Node is one daemon without the request path to callers and targets.
type Node struct {
	platform store.Store
	self     cell.Host
	cell     model.CellName
	shards   int            // of the region; 0 disables leases
	Counters *wire.Counters // of the messages between daemons
	service  *roster.Service
	holder   *conf.Holder
	// Stop terminates the node without a planned stop and waits for its goroutines.
	// Start sets it.
	Stop func()
}

// UnreachablePeers implements share.Requester for an owner that cannot reach other regions.
type UnreachablePeers struct{}

// SendShareRequest returns an error of the kind fault.KindUnavailable.
func (UnreachablePeers) SendShareRequest(context.Context, model.Region, share.Request) error {
	return fault.New(fault.KindUnavailable, "no other region runs here", "none is needed")
}

// voter adapts roster.Service to lease.Voter, as package peers does.
type voter struct{ *roster.Service }

// CountDisconnected implements lease.Voter. A member without contact to the platform
// counts as disconnected.
func (v voter) CountDisconnected(ctx context.Context, members []model.HostID) int {
	return v.CountNoContact(ctx, members)
}

// live returns the members of the cell that are live as this node sees it, itself
// included.
func (n *Node) live() []model.HostID {
	hosts := []model.HostID{n.self.ID}
	for _, p := range n.service.Member().Peers() {
		if p.Live {
			hosts = append(hosts, p.ID)
		}
	}
	return hosts
}

// Start runs the node on the listener. If ln is nil, it listens on the address of
// the node, which restarts a stopped node. The node gets a new incarnation and runs
// until Stop is called or ctx ends.
func (n *Node) Start(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	if ln == nil {
		var err error
		if ln, err = new(net.ListenConfig).Listen(ctx, "tcp", n.self.Address); err != nil {
			cancel()
			return err
		}
	}
	incarnation := model.Incarnation(uuid.NewString())
	pool := wire.NewPool(wire.WithCounters(n.Counters))
	server := wire.NewServer(wire.WithCounters(n.Counters))
	link := roster.NewLink(pool)
	member := cell.NewMember(n.self, n.cell, incarnation)
	n.holder = conf.NewHolder()
	f := feed.New(n.holder, member, n.platform, feed.NewLink(pool))
	feed.Register(server, f)
	n.service = roster.NewService(member, n.platform, link, roster.WithReader(f.ReadVersion))
	roster.Register(server, n.service)
	services := []func(context.Context) error{
		f.Run, n.service.Run, func(ctx context.Context) error { return server.Serve(ctx, ln) },
	}
	if n.shards > 0 {
		keeper := lease.New(lease.WithStore(n.platform), lease.WithSelf(n.self.ID, incarnation), lease.WithRegion("region-0", n.shards),
			lease.WithCell(n.cell, voter{n.service}), lease.WithMembers(n.live))
		owner := quota.NewOwner("region-0", []model.Region{"region-0", "region-1", "region-2"}, keeper, n.customer, n.platform, UnreachablePeers{}, quota.WithOwnerShards(n.shards))
		services = append(services, keeper.Run, owner.Run)
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

// customer looks up a customer in the current configuration.
func (n *Node) customer(id model.CustomerID) (*model.Customer, bool) {
	if c := n.holder.Current(); c != nil {
		return c.Customer(id)
	}
	return nil, false
}

// version returns the version of the current configuration, or 0 without one.
func (n *Node) version() model.ConfigVersion {
	if c := n.holder.Current(); c != nil {
		return c.Version()
	}
	return 0
}
