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
	keeper    *lease.Keeper
	directory *peers.Directory
	cell      *peers.Cell
	pool      *wire.ClientPool

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
	Leases    *lease.Keeper
	Customers quota.Customers
	Directory *peers.Directory
	Cell      *peers.Cell
	Pool      *wire.ClientPool
	Clock     model.Clock // that of Leases
}

// New returns a Limits. Call Register and Run before Admit.
func New(d Dependencies) *Limits {
	l := &Limits{
		self: d.Origin.Host, region: d.Origin.Region, keeper: d.Leases, pool: d.Pool,
		directory: d.Directory, cell: d.Cell, remoteOwners: make(map[regionShard]model.HostID),
	}
	l.owner = quota.NewOwner(l.region, d.Regions, d.Leases, d.Customers, d.Platform, l, quota.WithOwnerShards(d.Shards), quota.WithOwnerClock(d.Clock))
	l.cache = tokens.New(d.Origin, d.Regions, l, tokens.WithShards(d.Shards), tokens.WithClock(d.Clock))
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
		answer, err := wire.Call[quota.TokenRequest, quota.Answer](ctx, l.pool.Client(address), methodTokenRequest, &t)
		if err != nil {
			return quota.Unreachable(err)
		}
		grant, err = answer.Result()
		return err
	})
	return grant, err
}

// SendShareRequest sends a share request to the owner of its shard in another region. It
// implements share.Requester.
func (l *Limits) SendShareRequest(ctx context.Context, to model.Region, request share.Request) error {
	return l.callOwner(ctx, regionShard{to, request.Shard}, func(_ model.HostID, address string) error {
		answer, err := wire.Call[share.Request, quota.Answer](ctx, l.pool.Client(address), methodShareRequest, &request)
		if err != nil {
			return err
		}
		_, err = answer.Result()
		return err
	})
}

// callOwner calls the owner of a shard. It follows the hints of daemons that are
// not the owner. If that does not find the owner and the shard belongs to this
// region, it queries the members of the cell, because the best ranked member,
// which should have the owner on record, may have restarted in an outage.
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

// followHints calls the last known owner and then each host that the called daemon
// names as the owner, with at most maxOwnerCalls calls in all. It returns the last
// host that it called.
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

// findOwnerInCell queries all other live members of the cell whether they own the shard.
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
			reply, err := wire.Call[holdsRequest, holdsReply](ctx, l.pool.Client(address), methodHolds, &holdsRequest{s})
			if err == nil && reply.Yes {
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
func (l *Limits) handleHolds(_ context.Context, request *holdsRequest) (*holdsReply, error) {
	return &holdsReply{Yes: l.keeper.Holds(request.Shard)}, nil
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

// ownerOf returns the last known owner of a shard, or the best ranked host of the
// region, which is most likely to have it on record.
func (l *Limits) ownerOf(id regionShard) (model.HostID, bool) {
	if id.region == l.region {
		return l.keeper.Owner(id.shard)
	}
	l.mu.Lock()
	host, ok := l.remoteOwners[id]
	l.mu.Unlock()
	if ok {
		return host, true
	}
	return l.directory.BestRanked(id.region, id.shard.String())
}

// rememberOwner records the owner of a shard that another daemon named.
func (l *Limits) rememberOwner(id regionShard, host model.HostID) {
	if id.region == l.region {
		l.keeper.SetOwnerHint(id.shard, host)
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
	answer := quota.AnswerOf(l.owner.Grant(ctx, *t))
	return &answer, nil
}

// handleShareRequest processes the share request of another region's owner. If this daemon
// does not own the shard, it answers with the owner.
func (l *Limits) handleShareRequest(_ context.Context, request *share.Request) (*quota.Answer, error) {
	if l.keeper.Holds(request.Shard) {
		l.owner.HandleShareRequest(*request)
		return new(quota.Answer), nil
	}
	answer := quota.Answer{Kind: quota.NotOwner}
	answer.Owner, _ = l.keeper.Owner(request.Shard)
	return &answer, nil
}
