// Package admit connects a daemon's wallet and owner with those of the other
// daemons: it finds the owner of a shard, in this region or another, passes asks
// and wishes on, and answers those of others.
//
// # Usage
//
//	l := admit.New(admit.Parts{Host: host, Region: region, ...})
//	l.Register(server)
//	go l.Run(ctx)
//	token, err := l.Admit(ctx, customer)
//	...
//	err = l.Stop(ctx) // returns unused tokens
package admit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wallet"
	"rhubarbdrift.example/wire"
)

const (
	methodTake  = "quota.take"
	methodWish  = "quota.wish"
	methodHolds = "quota.holds"
	// maxHops bounds how often a call follows the hint of a daemon that does not
	// own the shard.
	maxHops = 3
	// searchTimeout bounds the search for an owner that no daemon names.
	searchTimeout = 40 * time.Millisecond
)

// Limits admits requests with the tokens of a wallet and answers for the
// shards that this daemon owns.
type Limits struct {
	self   model.HostID
	region model.Region
	wallet *wallet.Wallet
	owner  *quota.Owner
	keeper *lease.Keeper
	find   *peers.Directory
	cell   *peers.Cell
	pool   *wire.Pool

	mu     sync.Mutex
	remote map[place]model.HostID // last known owners in other regions
}

// place is a shard in a region.
type place struct {
	region model.Region
	shard  model.Shard
}

// Parts are what Limits works with.
type Parts struct {
	Origin    quota.Origin // this run of the daemon
	Regions   []model.Region
	Shards    int
	Platform  store.Store
	Keeper    *lease.Keeper
	Customers quota.Customers
	Directory *peers.Directory
	Cell      *peers.Cell
	Pool      *wire.Pool
}

// New returns limits that do not run yet.
func New(p Parts) *Limits {
	l := &Limits{
		self: p.Origin.Host, region: p.Origin.Region, keeper: p.Keeper, pool: p.Pool,
		find: p.Directory, cell: p.Cell, remote: make(map[place]model.HostID),
	}
	l.owner = quota.NewOwner(l.region, p.Regions, p.Keeper, p.Customers, p.Platform, l, quota.WithOwnerShards(p.Shards))
	l.wallet = wallet.New(p.Origin, p.Regions, l, wallet.WithShards(p.Shards))
	return l
}

// Register makes the server answer asks and wishes of other daemons.
func (l *Limits) Register(s *wire.Server) {
	wire.Handle(s, methodTake, l.take)
	wire.Handle(s, methodWish, l.wish)
	wire.Handle(s, methodHolds, l.holdsShard)
}

// Admit takes a token for one request of the customer.
func (l *Limits) Admit(ctx context.Context, c *model.Customer) (gate.Token, error) {
	a, err := l.wallet.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// Run runs the wallet and the owner.
func (l *Limits) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.wallet.Run(ctx) })
	g.Go(func() error { return l.owner.Run(ctx) })
	return g.Wait()
}

// Stop returns unused tokens.
func (l *Limits) Stop(ctx context.Context) error { return l.wallet.Return(ctx) }

// Ask passes an ask to the owner of the shard in the region.
func (l *Limits) Ask(ctx context.Context, r model.Region, s model.Shard, t quota.Take) (quota.Grant, error) {
	var grant quota.Grant
	err := l.follow(ctx, place{r, s}, func(host model.HostID, address string) error {
		if host == l.self {
			var err error
			grant, err = l.owner.Take(ctx, t)
			return err
		}
		a, err := wire.Call[quota.Take, quota.Answer](ctx, l.pool.Client(address), methodTake, &t)
		if err != nil {
			return quota.Unreached(err)
		}
		grant, err = a.Result()
		return err
	})
	return grant, err
}

// Wish passes a wish to the owner of its shard in another region.
func (l *Limits) Wish(ctx context.Context, to model.Region, w share.Wish) error {
	return l.follow(ctx, place{to, w.Shard}, func(_ model.HostID, address string) error {
		a, err := wire.Call[share.Wish, quota.Answer](ctx, l.pool.Client(address), methodWish, &w)
		if err != nil {
			return err
		}
		_, err = a.Result()
		return err
	})
}

// follow calls the owner of a shard, and again the host that a daemon names
// which is not the owner. If no daemon names the owner, those of the cell are
// asked, since the one that should know may have been restarted in an outage.
func (l *Limits) follow(ctx context.Context, p place, call func(model.HostID, string) error) error {
	host, err := l.chase(p, call)
	if !fault.Is(err, quota.NotOwner) || p.region != l.region {
		return err
	}
	found, ok := l.search(ctx, p.shard)
	if !ok || found == host {
		return err
	}
	l.learn(p, found)
	address, ok := l.address(found)
	if !ok {
		return err
	}
	return call(found, address)
}

// chase follows the hints and returns the last host that it called.
func (l *Limits) chase(p place, call func(model.HostID, string) error) (model.HostID, error) {
	host, ok := l.ownerOf(p)
	if !ok {
		return "", quota.Unreached(fault.New(fault.Missing, "no host of region "+string(p.region)+" is known", "check the platform's host list"))
	}
	var err error
	for range maxHops {
		address, known := l.address(host)
		if !known {
			return host, quota.Unreached(fault.New(fault.Missing, "the address of host "+string(host)+" is not known", "check the platform's host list"))
		}
		err = call(host, address)
		hint := quota.OwnerOf(err)
		if !fault.Is(err, quota.NotOwner) || hint == "" || hint == host {
			break
		}
		l.learn(p, hint)
		host = hint
	}
	if err != nil && !fault.Is(err, fault.Limited) {
		l.forget(p)
	}
	return host, err
}

// holds is the question whether a daemon owns a shard.
type holds struct {
	Shard model.Shard `cbor:"1,keyasint"`
}

// held is the answer.
type held struct {
	Yes bool `cbor:"1,keyasint"`
}

// search asks the live members of the cell which of them owns the shard.
func (l *Limits) search(ctx context.Context, s model.Shard) (model.HostID, bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	found := make(chan model.HostID, 1)
	var g errgroup.Group
	for _, id := range l.cell.Live() {
		address, ok := l.cell.Address(id)
		if id == l.self || !ok {
			continue
		}
		g.Go(func() error {
			a, err := wire.Call[holds, held](ctx, l.pool.Client(address), methodHolds, &holds{s})
			if err == nil && a.Yes {
				select {
				case found <- id:
				default:
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	select {
	case id := <-found:
		return id, true
	default:
		return "", false
	}
}

// holdsShard answers another daemon's question whether this one owns a shard.
func (l *Limits) holdsShard(_ context.Context, q *holds) (*held, error) {
	return &held{Yes: l.keeper.Holds(q.Shard)}, nil
}

func (l *Limits) address(host model.HostID) (string, bool) {
	if host == l.self {
		return "", true
	}
	if a, ok := l.cell.Address(host); ok {
		return a, true
	}
	return l.find.Address(host)
}

func (l *Limits) ownerOf(p place) (model.HostID, bool) {
	if p.region == l.region {
		return l.keeper.Owner(p.shard)
	}
	l.mu.Lock()
	host, ok := l.remote[p]
	l.mu.Unlock()
	if ok {
		return host, true
	}
	return l.find.Best(p.region, p.shard.String())
}

func (l *Limits) learn(p place, host model.HostID) {
	if p.region == l.region {
		l.keeper.Learn(p.shard, host)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote[p] = host
}

func (l *Limits) forget(p place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.remote, p)
}

// take answers another daemon's ask.
func (l *Limits) take(ctx context.Context, t *quota.Take) (*quota.Answer, error) {
	a := quota.AnswerOf(l.owner.Take(ctx, *t))
	return &a, nil
}

// wish answers another region's wish.
func (l *Limits) wish(_ context.Context, w *share.Wish) (*quota.Answer, error) {
	if l.keeper.Holds(w.Shard) {
		l.owner.Handle(*w)
		return new(quota.Answer), nil
	}
	a := quota.Answer{Kind: quota.NotOwner}
	a.Owner, _ = l.keeper.Owner(w.Shard)
	return &a, nil
}
