package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kern"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wallet"
)

// limits admits requests with the tokens of a wallet.
type limits struct {
	wallet *wallet.Wallet
	owner  *quota.Owner
}

// Admit takes a token for one request of the customer.
func (l *limits) Admit(ctx context.Context, c *model.Customer) (gate.Token, error) {
	a, err := l.wallet.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// Run runs the wallet and the owner.
func (l *limits) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.wallet.Run(ctx) })
	g.Go(func() error { return l.owner.Run(ctx) })
	return g.Wait()
}

// Stop returns unused tokens.
func (l *limits) Stop(ctx context.Context) error { return l.wallet.Return(ctx) }

// Ask passes an ask to the local owner.
func (l *limits) Ask(ctx context.Context, _ model.Region, _ model.Shard, t quota.Take) (quota.Grant, error) {
	return l.owner.Take(ctx, t)
}

// Wish does nothing while there is one owner.
func (l *limits) Wish(context.Context, model.Region, share.Wish) error { return nil }

// allShards is the table of a daemon that owns all shards.
type allShards struct{ host model.HostID }

// Holds reports true.
func (allShards) Holds(model.Shard) bool { return true }

// Owner returns this daemon.
func (a allShards) Owner(model.Shard) (model.HostID, bool) { return a.host, true }

func (d *Daemon) buildLimits() error {
	platform, err := kern.Find[store.Store](d.kernel, nameStore)
	if err != nil {
		return err
	}
	s := d.settings
	l := new(limits)
	l.owner = quota.NewOwner(s.Region, s.Regions, allShards{s.Host}, d.customer, platform, l, quota.WithOwnerShards(s.Shards))
	origin := quota.Origin{Host: s.Host, Incarnation: d.incarnation, Region: s.Region}
	l.wallet = wallet.New(origin, s.Regions, l, wallet.WithShards(s.Shards))
	return kern.Provide(d.kernel, nameLimits, l)
}

func (d *Daemon) customer(id model.CustomerID) (*model.Customer, bool) {
	snapshot := d.snapshot()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Customer(id)
}

// noClaims refuses all requests that may not be repeated.
type noClaims struct{}

// Begin refuses.
func (noClaims) Begin(context.Context, model.CustomerID, string, model.Digest) (gate.Claim, error) {
	return nil, fault.New(fault.Unknown, "claims are not connected", "connect them")
}
