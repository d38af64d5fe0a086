// Package admit connects a daemon's token cache and shard owner (packages tokens and
// quota) with those of the other daemons. It finds the owner of a shard in this
// region or another, sends it token requests and share requests, and handles the
// requests of other daemons.
//
// # Usage
//
//	l := admit.New(admit.Dependencies{Origin: origin, Regions: regions, ...})
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
	"rhubarbdrift.example/tokens"
	"rhubarbdrift.example/wire"
)

const (
	methodTokenRequest = "quota.take"
	methodShareRequest = "quota.wish"
	methodHolds        = "quota.holds"
	// maxOwnerCalls bounds the number of daemons that a request is sent to, each
	// named as the owner by the one before.
	maxOwnerCalls = 3
	// searchTimeout bounds the search for the owner among the members of the cell.
	searchTimeout = 40 * time.Millisecond
)

// Limits admits requests with the tokens of a token cache and handles token requests
// for the shards that this daemon owns. It implements gate.Limiter, quota.TokenClient
// and share.Requester.
type Limits struct {
	self      model.HostID
	region    model.Region
	cache     *tokens.Cache
	owner     *quota.Owner
	leases    *lease.Keeper
	directory *peers.Directory
	cell      *peers.Cell
	pool      *wire.Pool

	mu           sync.Mutex
	remoteOwners map[regionShard]model.HostID // last known owners in other regions
}

// regionShard identifies a shard in a region, which has one owner.
type regionShard struct {
	region model.Region
	shard  model.Shard
}

// Dependencies are the dependencies of Limits. All are required.
type Dependencies struct {
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

// New returns a Limits. Call Register and Run before Admit.
func New(p Dependencies) *Limits {
	l := &Limits{
		self: p.Origin.Host, region: p.Origin.Region, leases: p.Keeper, pool: p.Pool,
		directory: p.Directory, cell: p.Cell, remoteOwners: make(map[regionShard]model.HostID),
	}
	l.owner = quota.NewOwner(l.region, p.Regions, p.Keeper, p.Customers, p.Platform, l, quota.WithOwnerShards(p.Shards))
	l.cache = tokens.New(p.Origin, p.Regions, l, tokens.WithShards(p.Shards))
	return l
}

// Register adds the handlers of token requests, share requests and ownership
// queries to the server.
func (l *Limits) Register(s *wire.Server) {
	wire.Handle(s, methodTokenRequest, l.handleTokenRequest)
	wire.Handle(s, methodShareRequest, l.handleShareRequest)
	wire.Handle(s, methodHolds, l.handleHolds)
}

// Admit takes a token for one request of the customer. Its errors are those of
// tokens.Cache.Admit.
func (l *Limits) Admit(ctx context.Context, c *model.Customer) (gate.Token, error) {
	a, err := l.cache.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// Run runs the token cache and the owner until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.cache.Run(ctx) })
	g.Go(func() error { return l.owner.Run(ctx) })
	return g.Wait()
}

// Stop returns unused tokens to their owners. It waits until they have answered
// or ctx ends.
func (l *Limits) Stop(ctx context.Context) error { return l.cache.ReturnAll(ctx) }

// RequestTokens sends a token request to the owner of the shard in the region. It
// implements quota.TokenClient.
func (l *Limits) RequestTokens(ctx context.Context, r model.Region, s model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	var grant quota.Grant
	err := l.callOwner(ctx, regionShard{r, s}, func(host model.HostID, address string) error {
		if host == l.self {
			var err error
			grant, err = l.owner.Grant(ctx, t)
			return err
		}
		a, err := wire.Call[quota.TokenRequest, quota.Answer](ctx, l.pool.Client(address), methodTokenRequest, &t)
		if err != nil {
			return quota.Unreachable(err)
		}
		grant, err = a.Result()
		return err
	})
	return grant, err
}

// SendShareRequest sends a share request to the owner of its shard in another region. It
// implements share.Requester.
func (l *Limits) SendShareRequest(ctx context.Context, to model.Region, w share.Request) error {
	return l.callOwner(ctx, regionShard{to, w.Shard}, func(_ model.HostID, address string) error {
		a, err := wire.Call[share.Request, quota.Answer](ctx, l.pool.Client(address), methodShareRequest, &w)
		if err != nil {
			return err
		}
		_, err = a.Result()
		return err
	})
}

// callOwner calls the owner of a shard. It follows the hints of daemons that are
// not the owner. If that does not find the owner and the shard belongs to this
// region, it queries the members of the cell, because the daemon that should
// have the owner on record may have restarted in an outage.
func (l *Limits) callOwner(ctx context.Context, id regionShard, call func(model.HostID, string) error) error {
	host, err := l.followHints(id, call)
	if !fault.Is(err, quota.NotOwner) || id.region != l.region {
		return err
	}
	found, ok := l.findOwnerInCell(ctx, id.shard)
	if !ok || found == host {
		return err
	}
	l.rememberOwner(id, found)
	address, ok := l.address(found)
	if !ok {
		return err
	}
	return call(found, address)
}

// followHints calls the last known owner and then, up to maxOwnerCalls, each host
// that a daemon names as the owner. It returns the last host that it called.
func (l *Limits) followHints(id regionShard, call func(model.HostID, string) error) (model.HostID, error) {
	host, ok := l.ownerOf(id)
	if !ok {
		return "", quota.Unreachable(fault.New(fault.KindMissing, "no host of region "+string(id.region)+" is known", "check the platform's host list"))
	}
	var err error
	for range maxOwnerCalls {
		address, known := l.address(host)
		if !known {
			return host, quota.Unreachable(fault.New(fault.KindMissing, "the address of host "+string(host)+" is not known", "check the platform's host list"))
		}
		err = call(host, address)
		hint := quota.OwnerOf(err)
		if !fault.Is(err, quota.NotOwner) || hint == "" || hint == host {
			break
		}
		l.rememberOwner(id, hint)
		host = hint
	}
	if err != nil && !fault.Is(err, fault.KindLimited) {
		l.forgetOwner(id)
	}
	return host, err
}

// holdsRequest queries whether a daemon owns a shard.
type holdsRequest struct {
	Shard model.Shard `cbor:"1,keyasint"`
}

// holdsReply is the answer to a holdsRequest.
type holdsReply struct {
	Yes bool `cbor:"1,keyasint"`
}

// findOwnerInCell queries all live members of the cell whether they own the shard.
func (l *Limits) findOwnerInCell(ctx context.Context, s model.Shard) (model.HostID, bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	owners := make(chan model.HostID, 1)
	var g errgroup.Group
	for _, id := range l.cell.Live() {
		address, ok := l.cell.Address(id)
		if id == l.self || !ok {
			continue
		}
		g.Go(func() error {
			a, err := wire.Call[holdsRequest, holdsReply](ctx, l.pool.Client(address), methodHolds, &holdsRequest{s})
			if err == nil && a.Yes {
				select {
				case owners <- id:
				default:
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	select {
	case id := <-owners:
		return id, true
	default:
		return "", false
	}
}

// handleHolds answers whether this daemon owns a shard.
func (l *Limits) handleHolds(_ context.Context, q *holdsRequest) (*holdsReply, error) {
	return &holdsReply{Yes: l.leases.Holds(q.Shard)}, nil
}

// address returns the peer address of a host, or "" for this one, which RequestTokens calls
// directly.
func (l *Limits) address(host model.HostID) (string, bool) {
	if host == l.self {
		return "", true
	}
	if a, ok := l.cell.Address(host); ok {
		return a, true
	}
	return l.directory.Address(host)
}

// ownerOf returns the last known owner of a shard, or the host that is most likely
// to have it on record.
func (l *Limits) ownerOf(id regionShard) (model.HostID, bool) {
	if id.region == l.region {
		return l.leases.Owner(id.shard)
	}
	l.mu.Lock()
	host, ok := l.remoteOwners[id]
	l.mu.Unlock()
	if ok {
		return host, true
	}
	return l.directory.LowestRanked(id.region, id.shard.String())
}

// rememberOwner records the owner of a shard that another daemon named.
func (l *Limits) rememberOwner(id regionShard, host model.HostID) {
	if id.region == l.region {
		l.leases.SetOwnerHint(id.shard, host)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remoteOwners[id] = host
}

// forgetOwner deletes the recorded owner of a shard in another region.
func (l *Limits) forgetOwner(id regionShard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.remoteOwners, id)
}

// handleTokenRequest answers another daemon's token request.
func (l *Limits) handleTokenRequest(ctx context.Context, t *quota.TokenRequest) (*quota.Answer, error) {
	a := quota.AnswerOf(l.owner.Grant(ctx, *t))
	return &a, nil
}

// handleShareRequest processes the share request of another region's owner. If this daemon
// does not own the shard, it answers with the owner.
func (l *Limits) handleShareRequest(_ context.Context, w *share.Request) (*quota.Answer, error) {
	if l.leases.Holds(w.Shard) {
		l.owner.HandleShareRequest(*w)
		return new(quota.Answer), nil
	}
	a := quota.Answer{Kind: quota.NotOwner}
	a.Owner, _ = l.leases.Owner(w.Shard)
	return &a, nil
}
