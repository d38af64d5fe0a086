package quota

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
)

const (
	// ownerTick is the period of ownership checks and of the work on share moves.
	ownerTick = 200 * time.Millisecond
	// maxOwnershipGap is the longest time between two successful ownership checks
	// after which the buckets are kept. It applies to an OwnerTable without Term.
	// Another daemon cannot issue grants in between: it would wait for OwnerLifetime
	// before its first grant, and this daemon would wait for OwnerLifetime again
	// after it acquired the shard back, which together is longer than this time.
	maxOwnershipGap = 2 * GrantLifetime
)

// Customers looks up a customer in the current configuration. The result is
// false if the customer is not configured.
type Customers func(model.CustomerID) (*model.Customer, bool)

// Owner issues tokens from the buckets of the shards that this daemon owns. Its
// methods may be called concurrently.
type Owner struct {
	region    model.Region
	regions   []model.Region
	shards    int
	table     OwnerTable
	customers Customers
	platform  store.Store
	peers     share.Requester
	clock     model.Clock

	mu          sync.Mutex
	owned       map[model.Shard]*shard
	nextGrantID uint64 // starts at a random number
	sends       sync.WaitGroup
}

// shard is the state of one owned shard.
type shard struct {
	id                            model.Shard
	term                          uint64
	nonce                         string    // identifies this acquisition in share.Record.Holders
	refillStart, ownershipChecked time.Time // start of the refill; last successful ownership check
	ready                         bool      // fenced: earlier holders can no longer write the record
	stepping                      bool      // step is running for this shard
	buckets                       map[model.CustomerID]*bucket
	record                        *share.Record
	version                       store.Version
	outdated                      bool // a newer record may exist
	announce                      bool // send the record's version: it is new, or a peer has an older one
	move                          *pendingMove
	lastMoveWrite                 time.Time // time of the last attempt to write a move
	lastRecordCheck               time.Time // time of the last reload scheduled by needs
	shareRequests                 map[model.Region]receivedRequest
	lastShareRequest              time.Time
}

// OwnerOption sets an option of an Owner.
type OwnerOption func(*Owner)

// WithOwnerClock replaces time.Now.
func WithOwnerClock(c model.Clock) OwnerOption { return func(o *Owner) { o.clock = c } }

// WithOwnerShards sets the number of shards. The default is DefaultShards. All
// daemons must use the same number.
func WithOwnerShards(n int) OwnerOption { return func(o *Owner) { o.shards = n } }

// DefaultShards is the number of shards per region.
const DefaultShards = 16

// NewOwner returns an Owner for a region. regions lists all regions and must be
// the same on every daemon.
func NewOwner(region model.Region, regions []model.Region, table OwnerTable, customers Customers,
	platform store.Store, peers share.Requester, options ...OwnerOption,
) *Owner {
	o := &Owner{
		region: region, regions: regions, shards: DefaultShards, table: table, customers: customers,
		platform: platform, peers: peers, clock: time.Now, owned: map[model.Shard]*shard{},
	}
	// Ids start at a random number, so that a report on a grant of one holder
	// does not match a grant of another.
	id := uuid.New()
	for _, b := range id[:7] {
		o.nextGrantID = o.nextGrantID<<8 | uint64(b)
	}
	for _, f := range options {
		f(o)
	}
	return o
}

// Grant processes the reports of a token request and grants tokens. If the last
// request is repeated, it gets the same grant again. Its errors are Refusals of
// kind NotOwner, fault.KindLimited if no token is available, fault.KindMissing for
// an unknown customer, or fault.KindConflict for a request that arrives after a
// later one of the same daemon or that repeats one for which no token was available.
func (o *Owner) Grant(_ context.Context, t TokenRequest) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	id := model.ShardOf(t.Customer, o.shards)
	s := o.ownedShard(id, now)
	if s == nil || !s.ready {
		return Grant{}, o.refuseNotOwner(id)
	}
	b := o.bucket(s, t.Customer, now)
	if b == nil {
		return Grant{}, refusal(fault.KindMissing, "customer "+string(t.Customer)+" is not configured", "check the customer's id")
	}
	if t.From.Region == o.region {
		b.demand.Add(now, t.Requests)
	}
	g, err := o.grant(b, t, now)
	// Check again immediately before the answer, because the lease may have
	// expired while this process was paused.
	if !o.table.Holds(id) {
		return Grant{}, o.refuseNotOwner(id)
	}
	return g, err
}

// grant applies the reports of a token request and issues tokens.
func (o *Owner) grant(b *bucket, t TokenRequest, now time.Time) (Grant, error) {
	cs := b.clientState(t.From)
	for _, r := range t.Reports {
		b.applyReport(cs, r)
	}
	if t.Tokens <= 0 {
		return Grant{}, nil
	}
	if t.Seq == cs.seq && cs.lastGrant.N > 0 {
		return cs.lastGrant, nil
	}
	if t.Seq <= cs.seq {
		return Grant{}, refusal(fault.KindConflict, "the ask arrived after a later one", "ask again")
	}
	cs.seq = t.Seq
	cs.lastGrant = b.issue(now, cs, o.nextGrantID, t.Tokens)
	if cs.lastGrant.N == 0 {
		return Grant{}, Limited(b.timeToNextToken())
	}
	o.nextGrantID++
	return cs.lastGrant, nil
}

// refuseNotOwner returns the refusal for a shard of another daemon, with the owner if
// the table has one.
func (o *Owner) refuseNotOwner(id model.Shard) error {
	host, _ := o.table.Owner(id)
	return errNotOwner(host)
}

// ownedShard returns the state of a shard that this daemon owns, or nil if it
// does not own the shard. A new acquisition starts with empty buckets. The caller
// holds o.mu.
func (o *Owner) ownedShard(id model.Shard, now time.Time) *shard {
	if !o.table.Holds(id) {
		delete(o.owned, id)
		return nil
	}
	var term uint64
	hasTerm := false
	if t, ok := o.table.(interface{ Term(model.Shard) uint64 }); ok {
		term, hasTerm = t.Term(id), true
	}
	s := o.owned[id]
	if s == nil || s.term != term || (!hasTerm && now.Sub(s.ownershipChecked) > maxOwnershipGap) {
		s = &shard{
			id: id, term: term, nonce: uuid.NewString(), record: new(share.Record),
			buckets: map[model.CustomerID]*bucket{}, shareRequests: map[model.Region]receivedRequest{},
		}
		o.owned[id] = s
	}
	s.ownershipChecked = now
	return s
}

// bucket returns a customer's bucket, refilled and with the current limits, or
// nil if the customer is unknown. A new bucket is refilled from the time at
// which the shard became ready. The caller holds o.mu.
func (o *Owner) bucket(s *shard, id model.CustomerID, now time.Time) *bucket {
	c, ok := o.customers(id)
	if !ok {
		return nil
	}
	p := o.shareInForce(s, c)
	rate, burst := float64(c.Rate)*float64(p.Rate), float64(c.Burst)*float64(p.Burst)
	b := s.buckets[id]
	if b == nil {
		b = &bucket{refilled: s.refillStart, rate: rate, burst: burst, clients: map[Origin]*clientState{}}
		s.buckets[id] = b
	}
	b.setLimits(now, rate, burst)
	return b
}

// shareInForce returns this region's share of a customer: the lowered one (the
// giver's, the first of the pair) while a move is pending, otherwise the one in
// the record.
func (o *Owner) shareInForce(s *shard, c *model.Customer) share.RegionShare {
	if s.move != nil {
		if shares, ok := s.move.Shares[c.ID]; ok {
			return shares[0]
		}
	}
	return s.record.RegionShare(c, o.region, o.regions)
}

// Run fences acquired shards and moves shares between regions until ctx ends. It
// always returns nil.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	var g sync.WaitGroup
	defer o.sends.Wait()
	defer g.Wait()
	for {
		for _, s := range o.beginSteps() {
			g.Go(func() { o.step(ctx, s) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// beginSteps returns the owned shards for which no step is running and marks
// them as stepping.
func (o *Owner) beginSteps() []*shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	var list []*shard
	for id := range model.Shard(o.shards) {
		if s := o.ownedShard(id, now); s != nil && !s.stepping {
			s.stepping = true
			list = append(list, s)
		}
	}
	return list
}
