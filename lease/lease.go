// Package lease gives each shard of customers one owner per region.
//
// An owner holds the lease object lease/<region>/<shard> of the platform and
// renews it every two seconds. It may use the shard only while Holds says so,
// which is checked against the clock at every call, so a daemon that was
// paused for longer than its lease finds that it has ended.
//
// # Usage
//
//	k := lease.New(
//		lease.WithStore(client), lease.WithSelf(host, incarnation),
//		lease.WithRegion("north", 16), lease.WithCell("north-1", member),
//		lease.WithMembers(member.Live))
//	go k.Run(ctx)
//	if k.Holds(shard) { ... } // again immediately before each use
//	host, ok := k.Owner(shard) // where to send calls
//	k.Learn(shard, named)      // a daemon that was asked named another owner
//	err := k.Release(ctx)      // planned stop
//
// # Safety
//
// The holder counts its validity from the time at which it sent its last
// successful renewal. A taker must have seen the same version of the lease for
// that time, one percent for clock drift and the lifetime of a grant. Both
// count on their own monotonic clock.
//
// While the platform is unavailable a holder continues past its lease as long
// as, in each period without a gap, more than half of the roster that its
// lease names say that they have no platform contact. A taker needs the
// statement of more than half of the same roster, and of the current one, that
// they have contact, did not say otherwise for two periods and will not for
// two periods. The two majorities share a member. That member's two periods
// cover the last report that the holder can have counted, so the holder has
// ended when the taker's write is sent, and a write that arrives late is
// harmless.
//
// A lease that was lost or has lapsed is acquired anew with a higher term. A new
// holder reports from Holds only after the grants of the one before expired.
//
// # Limits
//
// If more than half of the roster that a lease names is gone for good, nobody
// can endorse a takeover. The lease stays vacant until these members are back
// or an operator, who knows that the holder has ended, deletes the object.
//
// # Cost
//
// Only the two best ranked live members of the region observe a shard, with one
// read per renewal interval, so reads do not grow with the daemons. The others
// learn owners from answers and otherwise ask the best ranked member.
package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// The times of the protocol. All daemons of a fleet must use the same.
const (
	// TTL is how long a lease is valid after its last renewal was sent.
	TTL = 6 * time.Second
	// Renewal is the interval of renewals and of observations.
	Renewal = 2 * time.Second
	// Period is the length of a voting period in an outage.
	Period = 2 * time.Second
	// GrantLifetime is how long a grant of an owner is valid.
	GrantLifetime = 500 * time.Millisecond
	// Patience is how long a better ranked member must be live before a holder
	// gives a shard up to it, so that a restart does not move shards twice.
	Patience = 30 * time.Second
)

const (
	drift = 100 // one part in 100 for the difference between two clocks

	takeoverWait = TTL + TTL/drift + GrantLifetime
	settleWait   = GrantLifetime + GrantLifetime/drift

	tickInterval  = 200 * time.Millisecond
	voteInterval  = 500 * time.Millisecond
	retryInterval = 800 * time.Millisecond
	callTimeout   = time.Second
	// handicap keeps the second in rank from racing the first for a vacant
	// lease, and lets it take a lease that the first cannot take.
	handicap    = 4 * time.Second
	learnedAge  = 30 * time.Second
	maxPatience = time.Hour
	observers   = 2 // members that watch a shard for a vacancy
	renewers    = 8 // concurrent renewals
	readers     = 4 // concurrent observations
)

// Voter is the part of a cell's member that lease needs in an outage.
type Voter interface {
	// Roster returns the newest roster of the cell that this member knows.
	Roster() (version uint64, members []model.HostID)
	// CutOff returns how many of the members, this one included if it is named,
	// said within the last Period that they have no platform contact. Others
	// must not count: the members may be those of an older roster.
	CutOff(ctx context.Context, members []model.HostID) int
	// Endorse asks the members whether the shard may be taken over and returns
	// how many agree: those that have contact, did not say otherwise for two
	// periods and will not say otherwise for two periods.
	Endorse(ctx context.Context, members []model.HostID, shard model.Shard) int
}

// Keeper acquires, renews and gives up the leases of one daemon.
type Keeper struct {
	store       store.Store
	self        model.HostID
	incarnation model.Incarnation
	region      model.Region
	cell        model.CellName
	count       int
	members     func() []model.HostID
	voter       Voter
	clock       model.Clock
	log         zerolog.Logger
	nonces      atomic.Uint64

	mu       sync.Mutex
	shards   []*shard
	live     []model.HostID
	since    map[model.HostID]time.Time // when a live member was first seen live
	random   *rand.Rand
	stopping bool
	failed   []error // releases
}

// Option sets an option of New.
type Option func(*Keeper)

// WithStore sets the platform. It is required.
func WithStore(s store.Store) Option { return func(k *Keeper) { k.store = s } }

// WithSelf sets the host and the incarnation of this daemon. It is required,
// and two runs of a daemon must differ in their incarnation.
func WithSelf(host model.HostID, incarnation model.Incarnation) Option {
	return func(k *Keeper) { k.self, k.incarnation = host, incarnation }
}

// WithRegion sets the region whose leases are kept and the number of shards,
// which is the same in the whole fleet. It is required.
func WithRegion(r model.Region, shards int) Option {
	return func(k *Keeper) { k.region, k.count = r, shards }
}

// WithCell sets the cell and its part in an outage. It is required.
func WithCell(c model.CellName, v Voter) Option { return func(k *Keeper) { k.cell, k.voter = c, v } }

// WithMembers sets the function that returns the live members of the region in
// any order, without those that are leaving. It is required.
func WithMembers(live func() []model.HostID) Option { return func(k *Keeper) { k.members = live } }

// WithClock sets the clock. The default is time.Now.
func WithClock(c model.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLogger sets where changes of ownership are logged. The default is nowhere.
func WithLogger(l zerolog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper that holds nothing until Run.
func New(options ...Option) *Keeper {
	k := &Keeper{clock: time.Now, log: zerolog.Nop(), since: make(map[model.HostID]time.Time)}
	for _, o := range options {
		o(k)
	}
	seed := xxhash.Sum64String(string(k.self) + "/" + string(k.incarnation))
	k.random = rand.New(rand.NewPCG(seed, 0))
	for id := range model.Shard(k.count) {
		k.shards = append(k.shards, &shard{id: id, name: string(k.region) + "/" + id.String(), patience: Patience})
	}
	return k
}

// Holds reports whether this daemon owns the shard now. It must be called
// again immediately before each use.
func (k *Keeper) Holds(id model.Shard) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.find(id)
	return ok && s.holds(k.clock())
}

// Held returns the shards that this daemon owns now, in order.
func (k *Keeper) Held() []model.Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	var held []model.Shard
	now := k.clock()
	for _, s := range k.shards {
		if s.holds(now) {
			held = append(held, s.id)
		}
	}
	return held
}

// Term returns the term of the last ownership of the shard by this daemon, or
// 0. It changes with each acquisition: state kept for a term is void in another.
func (k *Keeper) Term(id model.Shard) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.find(id)
	if !ok {
		return 0
	}
	return s.term
}

// Owner returns the daemon to ask about a shard: the last known holder, or the
// best ranked live member of the region, which knows the holder.
func (k *Keeper) Owner(id model.Shard) (model.HostID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.find(id)
	if !ok {
		return "", false
	}
	now := k.clock()
	if s.holds(now) {
		return k.self, true
	}
	if s.holder != "" && s.holder != k.self && (s.known || now.Sub(s.learned) < learnedAge) {
		return s.holder, true
	}
	if len(s.ranked) == 0 {
		return "", false
	}
	return s.ranked[0], true
}

// Learn records the holder that another daemon named. It is used for 30 s,
// unless this daemon observes the lease itself.
func (k *Keeper) Learn(id model.Shard, holder model.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.find(id); ok && !s.known {
		s.holder, s.learned = holder, k.clock()
	}
}

func (k *Keeper) find(id model.Shard) (*shard, bool) {
	if id < 0 || int(id) >= len(k.shards) {
		return nil, false
	}
	return k.shards[id], true
}

// check reports a required option that is missing.
func (k *Keeper) check() error {
	for _, o := range []struct {
		name string
		set  bool
	}{
		{"WithStore", k.store != nil},
		{"WithSelf", k.self != "" && k.incarnation != ""},
		{"WithRegion", k.region != "" && k.count > 0},
		{"WithCell", k.voter != nil},
		{"WithMembers", k.members != nil},
	} {
		if !o.set {
			return fault.Invalid(o.name, "is not set", "pass "+o.name+" to lease.New")
		}
	}
	return nil
}

// refresh takes over the list of live members and ranks them for each shard if
// it changed. The caller holds the lock.
func (k *Keeper) refresh(live []model.HostID, now time.Time) {
	if slices.Sort(live); slices.Equal(live, k.live) {
		return
	}
	k.live = live
	since := make(map[model.HostID]time.Time, len(live))
	for _, h := range live {
		since[h] = now
		if t, ok := k.since[h]; ok {
			since[h] = t
		}
	}
	k.since = since
	for _, s := range k.shards {
		s.rank(live)
	}
}

// jitter returns a time between 90% and 100% of d. The caller holds the lock.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	return d - time.Duration(k.random.Int64N(int64(d/10)))
}
