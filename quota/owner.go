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
	// ownerTick is the period of an owner's checks and of share moves.
	ownerTick = 200 * time.Millisecond
	// heldGap is the longest time without a check of ownership after which the
	// buckets are still used. A shard cannot be lost and acquired again within
	// it, since each new holder waits for Longest before it grants.
	heldGap = 2 * Lifetime
)

// Customers looks up a customer in the current configuration.
type Customers func(model.CustomerID) (*model.Customer, bool)

// Owner holds the token buckets of the shards that its daemon owns.
type Owner struct {
	region    model.Region
	regions   []model.Region
	shards    int
	table     Table
	customers Customers
	platform  store.Store
	peers     share.Peers
	clock     model.Clock

	mu     sync.Mutex
	held   map[model.Shard]*shard
	next   uint64 // id of the next grant
	wishes sync.WaitGroup
}

// shard is the state of one owned shard.
type shard struct {
	id            model.Shard
	term          uint64
	nonce         string    // identifies this acquisition in share.Record
	filling, seen time.Time // start of refill and last check of ownership
	ready         bool      // earlier holders can no longer write the record
	busy          bool      // a step with platform calls is under way
	buckets       map[model.CustomerID]*bucket
	record        *share.Record
	version       store.Version
	behind        bool // a newer record exists
	tell          bool // a peer has an older record
	move          *moving
	written       time.Time // when a move was last written
	checked       time.Time // when a newer record was last looked for without a hint
	wishes        map[model.Region]wished
	wishedAt      time.Time
}

// OwnerOption changes a setting of an Owner.
type OwnerOption func(*Owner)

// WithOwnerClock replaces time.Now.
func WithOwnerClock(c model.Clock) OwnerOption { return func(o *Owner) { o.clock = c } }

// WithOwnerShards sets the number of shards. The default is DefaultShards. All
// daemons must use the same number.
func WithOwnerShards(n int) OwnerOption { return func(o *Owner) { o.shards = n } }

// DefaultShards is the number of shards per region.
const DefaultShards = 16

// NewOwner returns an owner in a region. regions lists all regions, the same
// on every daemon.
func NewOwner(region model.Region, regions []model.Region, table Table, customers Customers,
	platform store.Store, peers share.Peers, options ...OwnerOption,
) *Owner {
	o := &Owner{
		region: region, regions: regions, shards: DefaultShards, table: table, customers: customers,
		platform: platform, peers: peers, clock: time.Now, held: map[model.Shard]*shard{},
	}
	// A random start keeps the grants of different holders apart.
	id := uuid.New()
	for _, b := range id[:7] {
		o.next = o.next<<8 | uint64(b)
	}
	for _, f := range options {
		f(o)
	}
	return o
}

// Take processes a report and hands out tokens. It returns a Refusal of kind
// NotOwner, fault.Limited, fault.Missing for an unknown customer, or
// fault.Conflict for an ask that arrives after a later one.
func (o *Owner) Take(_ context.Context, t Take) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	id := model.ShardOf(t.Customer, o.shards)
	s := o.current(id, now)
	if s == nil || !s.ready {
		return Grant{}, o.notOwner(id)
	}
	b := o.bucket(s, t.Customer, now)
	if b == nil {
		return Grant{}, refusal(fault.Missing, "customer "+string(t.Customer)+" is not configured", "check the customer's id")
	}
	if t.From.Region == o.region {
		b.demand.Add(now, t.Seen)
	}
	g, err := o.grant(b, t, now)
	// Checked again immediately before the answer: the lease may have lapsed
	// while this daemon was paused.
	if !o.table.Holds(id) {
		return Grant{}, o.notOwner(id)
	}
	return g, err
}

func (o *Owner) grant(b *bucket, t Take, now time.Time) (Grant, error) {
	a := b.asker(t.From)
	for _, r := range t.Reports {
		b.settle(a, r)
	}
	if t.Want <= 0 {
		return Grant{}, nil
	}
	if t.Seq == a.seq && a.last.N > 0 {
		return a.last, nil
	}
	if t.Seq <= a.seq {
		return Grant{}, refusal(fault.Conflict, "the ask arrived after a later one", "ask again")
	}
	a.seq = t.Seq
	a.last = b.take(now, a, o.next, t.Want)
	if a.last.N == 0 {
		return Grant{}, Limited(b.wait())
	}
	o.next++
	return a.last, nil
}

func (o *Owner) notOwner(id model.Shard) error {
	host, _ := o.table.Owner(id)
	return errNotOwner(host)
}

// current returns the state of a shard that this daemon owns, or nil. A new
// acquisition starts with empty buckets.
func (o *Owner) current(id model.Shard, now time.Time) *shard {
	if !o.table.Holds(id) {
		delete(o.held, id)
		return nil
	}
	var term uint64
	known := false
	if t, ok := o.table.(interface{ Term(model.Shard) uint64 }); ok {
		term, known = t.Term(id), true
	}
	s := o.held[id]
	if s == nil || s.term != term || (!known && now.Sub(s.seen) > heldGap) {
		s = &shard{
			id: id, term: term, nonce: uuid.NewString(), record: new(share.Record),
			buckets: map[model.CustomerID]*bucket{}, wishes: map[model.Region]wished{},
		}
		o.held[id] = s
	}
	s.seen = now
	return s
}

// bucket returns a customer's bucket with the limits of now, or nil if the
// customer is unknown. A bucket that is created late has been filling since
// the shard became ready.
func (o *Owner) bucket(s *shard, id model.CustomerID, now time.Time) *bucket {
	c, ok := o.customers(id)
	if !ok {
		return nil
	}
	p := o.part(s, c)
	rate, burst := float64(c.Rate)*float64(p.Rate), float64(c.Burst)*float64(p.Burst)
	b := s.buckets[id]
	if b == nil {
		b = &bucket{last: s.filling, rate: rate, burst: burst, askers: map[Origin]*asker{}}
		s.buckets[id] = b
	}
	b.set(now, rate, burst)
	return b
}

// part returns the share in force: the lowered one while a move is under way.
func (o *Owner) part(s *shard, c *model.Customer) share.Part {
	if s.move != nil {
		if p, ok := s.move.Parts[c.ID]; ok {
			return p[0]
		}
	}
	return s.record.Part(c, o.region, o.regions)
}

// Run takes part in share moves until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	var g sync.WaitGroup
	defer o.wishes.Wait()
	defer g.Wait()
	for {
		for _, s := range o.idle() {
			g.Go(func() { o.step(ctx, s) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// idle marks and returns the owned shards without a step under way.
func (o *Owner) idle() []*shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	var list []*shard
	for id := range model.Shard(o.shards) {
		if s := o.current(id, now); s != nil && !s.busy {
			s.busy = true
			list = append(list, s)
		}
	}
	return list
}
