// Package lease gives each shard of customers one owner per region.
//
// An owner holds the lease object lease/<region>/<shard> in the platform and
// renews it every two seconds. It may use the shard only while Holds returns
// true. Holds compares the lease with the clock at every call, so a daemon that
// was paused for longer than its lease does not act on an expired one.
//
// # Usage
//
//	k := lease.New(
//		lease.WithStore(client), lease.WithSelf(host, incarnation),
//		lease.WithRegion("north", 16), lease.WithCell("north-1", member),
//		lease.WithMembers(member.Live))
//	go k.Run(ctx)
//	if k.Holds(shard) { ... } // again immediately before each use
//	host, ok := k.Owner(shard)   // where to send calls
//	k.SetOwnerHint(shard, named) // another daemon returned this owner
//	err := k.Release(ctx)        // planned stop
//
// # Safety
//
// A lease is valid for TTL from the time at which the holder sent its last
// successful renewal. Another daemon may take it over only after it has seen
// the same version of the lease for TTL, one percent for clock drift, and the
// lifetime of a grant. Each daemon measures these times on its own monotonic
// clock.
//
// While the platform is unavailable, a holder extends its ownership beyond TTL
// as long as, in each period without a gap, an outage quorum (two thirds) of
// the roster recorded in its lease reports that it cannot reach the platform.
// A takeover needs a takeover quorum of the recorded roster and one of the
// current roster. Each of these members must reach the platform, have sent no
// report to the contrary for two periods and promise to send none for another
// two. Both quorums are counted over the same list of hosts, so they have a
// member in common. The two periods of that member cover the last report that
// the holder can have counted. The holder's ownership has therefore ended
// before the write of the takeover is sent, and a write that arrives late does
// no harm. Two daemons that compete for a takeover need no common member: the
// conditional write succeeds for one of them only, and the new lease then rests
// on that write and not on votes.
//
// A lease that was lost or has expired is acquired again with a higher term.
// Holds of a new holder returns true only after the previous holder's grants
// have expired.
//
// If the platform's store comes back from an older copy, a lease in it may name an earlier holder
// or none. A holder whose term is later than that of the copy renews its lease there and goes on.
// The others acquire no lease before TTL, the allowance for drift and the lifetime of a grant have
// passed since they first read one in the new era.
//
// # Limits
//
// A daemon that starts right after the store came back from an older copy does not know that, and
// may acquire a lease that the copy shows as released, or does not contain, up to RenewalInterval
// before its holder renews it there.
//
// If fewer members than a takeover quorum (7 of 19) of the roster recorded in a
// lease are running, no takeover can be endorsed. The lease stays vacant until
// enough members are back or an operator deletes the object, having made sure
// that the holder has stopped. If more than a third of a roster fails during a
// platform outage, the holders lose their leases.
//
// # Cost
//
// Only the two best ranked live members of the region observe a shard, with one
// read per renewal interval, so the number of reads does not grow with the
// number of daemons. The other daemons learn the owner from the answers of
// other daemons; until then they ask the best ranked member.
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

// Timing of the lease protocol. All daemons of a fleet must use the same values.
const (
	// TTL is how long a lease is valid after its last successful renewal was sent.
	TTL = 6 * time.Second
	// RenewalInterval is the interval between renewals of a lease by its holder, and
	// between reads of a lease by its observers.
	RenewalInterval = 2 * time.Second
	// VotePeriod is the length of a voting period during a platform outage.
	VotePeriod = 2 * time.Second
	// GrantLifetime is how long a grant that a shard's owner issued is valid. It
	// is the same time as quota.GrantLifetime.
	GrantLifetime = 500 * time.Millisecond
	// HandbackDelay is how long a better ranked member must be live before a holder
	// hands a shard back to it, so that a restart does not move shards twice.
	HandbackDelay = 30 * time.Second
)

const (
	driftDivisor = 100 // allows a drift of one part in 100 between two clocks

	// takeoverWait is how long an observer must have seen the same version of a
	// lease before the lease counts as vacant.
	takeoverWait = TTL + TTL/driftDivisor + GrantLifetime
	// grantExpiryWait is the time from the write of an acquisition to the start of
	// the ownership.
	grantExpiryWait = GrantLifetime + GrantLifetime/driftDivisor

	tickInterval  = 200 * time.Millisecond // between checks for steps that are due
	voteInterval  = 500 * time.Millisecond // between checks for leases that votes must extend
	retryInterval = 800 * time.Millisecond // between a failed step of a shard and the next
	callTimeout   = time.Second            // of a call to the platform or the cell
	// rankDelay is how much longer the second ranked member waits than the first
	// before it acquires a vacant lease. They do not compete for it, and the
	// second still acquires a lease that the first cannot.
	rankDelay             = 4 * time.Second
	hintMaxAge            = 30 * time.Second // time for which Owner uses an owner hint
	maxHandbackDelay      = time.Hour        // bound of the doubled HandbackDelay
	observerCount         = 2                // members that read a shard's lease to detect a vacancy
	maxConcurrentRenewals = 8                // also limits releases
	maxConcurrentReads    = 4                // reads of leases held by others or vacant
)

// Voter collects the votes of a cell's members during a platform outage.
type Voter interface {
	// Roster returns the newest roster of the cell that this member knows.
	Roster() (version uint64, members []model.HostID)
	// CountDisconnected returns how many of the given members reported within the last
	// VotePeriod that they cannot reach the platform. This member counts if it is
	// among them. Hosts that are not listed must not count: the list may be
	// that of an older roster.
	CountDisconnected(ctx context.Context, members []model.HostID) int
	// CountEndorsements asks the members whether the shard may be taken over and returns
	// how many agree. A member agrees if it reaches the platform, has not
	// reported otherwise for two periods and will not do so for another two.
	CountEndorsements(ctx context.Context, members []model.HostID, shard model.Shard) int
}

// Keeper acquires, renews and releases the leases of one daemon. Its methods
// are safe for concurrent use.
type Keeper struct {
	store       store.Store
	self        model.HostID
	incarnation model.Incarnation
	region      model.Region
	cell        model.CellName
	shardCount  int
	listLive    func() []model.HostID
	voter       Voter
	clock       model.Clock
	log         zerolog.Logger
	nonces      atomic.Uint64

	mu            sync.Mutex
	shards        []*shard
	live          []model.HostID
	liveSince     map[model.HostID]time.Time // since when each live member has been live
	random        *rand.Rand
	eraKnown      bool      // a lease has been read
	era           store.Era // the latest in which a lease was read
	restoredAt    time.Time // when the first lease of a later era was read; zero: never
	stopping      bool
	releaseErrors []error // leases that could not be released
}

// Option sets an option of New.
type Option func(*Keeper)

// WithStore sets the platform client. It is required.
func WithStore(s store.Store) Option { return func(k *Keeper) { k.store = s } }

// WithSelf sets the host and the incarnation of this daemon. It is required.
// Each run of a daemon must have an incarnation of its own.
func WithSelf(host model.HostID, incarnation model.Incarnation) Option {
	return func(k *Keeper) { k.self, k.incarnation = host, incarnation }
}

// WithRegion sets the region whose leases are kept and the number of its
// shards, which must be the same in the whole fleet. It is required.
func WithRegion(r model.Region, shards int) Option {
	return func(k *Keeper) { k.region, k.shardCount = r, shards }
}

// WithCell sets this daemon's cell and the voter that asks its members during a
// platform outage. It is required.
func WithCell(c model.CellName, v Voter) Option { return func(k *Keeper) { k.cell, k.voter = c, v } }

// WithMembers sets the function that returns the live members of the region,
// in any order and without those that are leaving. It is required.
func WithMembers(live func() []model.HostID) Option { return func(k *Keeper) { k.listLive = live } }

// WithClock sets the clock. The default is time.Now.
func WithClock(c model.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLogger sets the logger for changes of ownership. By default nothing is
// logged.
func WithLogger(l zerolog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper, which holds no lease until Run is called.
func New(options ...Option) *Keeper {
	k := &Keeper{clock: time.Now, log: zerolog.Nop(), liveSince: make(map[model.HostID]time.Time)}
	for _, o := range options {
		o(k)
	}
	seed := xxhash.Sum64String(string(k.self) + "/" + string(k.incarnation))
	k.random = rand.New(rand.NewPCG(seed, 0))
	for id := range model.Shard(k.shardCount) {
		k.shards = append(k.shards, &shard{id: id, name: string(k.region) + "/" + id.String(), handbackDelay: HandbackDelay})
	}
	return k
}

// Holds reports whether this daemon owns the shard now. The result must not be
// kept: call Holds immediately before each use of the shard.
func (k *Keeper) Holds(id model.Shard) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.find(id)
	return ok && s.holds(k.clock())
}

// Held returns the shards that this daemon owns now, in ascending order.
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

// Term returns the term in which this daemon last owned the shard, or 0 if it
// never did. The term changes with each acquisition, and state kept for one
// term is invalid in any other.
func (k *Keeper) Term(id model.Shard) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.find(id)
	if !ok {
		return 0
	}
	return s.term
}

// Owner returns the daemon to which calls for a shard should be sent: the last
// known holder or else the best ranked live member of the region, which
// observes the lease. It returns false if neither is known.
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
	if s.holder != "" && s.holder != k.self && (s.observed || now.Sub(s.hintedAt) < hintMaxAge) {
		return s.holder, true
	}
	if len(s.ranked) == 0 {
		return "", false
	}
	return s.ranked[0], true
}

// SetOwnerHint records the holder that another daemon returned. Owner uses it for up
// to 30 s, unless this daemon observes the lease itself.
func (k *Keeper) SetOwnerHint(id model.Shard, holder model.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.find(id); ok && !s.observed {
		s.holder, s.hintedAt = holder, k.clock()
	}
}

func (k *Keeper) find(id model.Shard) (*shard, bool) {
	if id < 0 || int(id) >= len(k.shards) {
		return nil, false
	}
	return k.shards[id], true
}

// checkOptions returns an error for the first required option that is missing.
func (k *Keeper) checkOptions() error {
	for _, o := range []struct {
		name string
		set  bool
	}{
		{"WithStore", k.store != nil},
		{"WithSelf", k.self != "" && k.incarnation != ""},
		{"WithRegion", k.region != "" && k.shardCount > 0},
		{"WithCell", k.voter != nil},
		{"WithMembers", k.listLive != nil},
	} {
		if !o.set {
			return fault.Invalid(o.name, "is not set", "pass "+o.name+" to lease.New")
		}
	}
	return nil
}

// updateLive stores the list of live members and, if it changed, ranks them for
// each shard. It sorts live in place. The caller holds the lock.
func (k *Keeper) updateLive(live []model.HostID, now time.Time) {
	if slices.Sort(live); slices.Equal(live, k.live) {
		return
	}
	k.live = live
	liveSince := make(map[model.HostID]time.Time, len(live))
	for _, h := range live {
		liveSince[h] = now
		if t, ok := k.liveSince[h]; ok {
			liveSince[h] = t
		}
	}
	k.liveSince = liveSince
	for _, s := range k.shards {
		s.rank(live)
	}
}

// jitter returns a random duration between 90% and 100% of d. The caller holds
// the lock.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	return d - time.Duration(k.random.Int64N(int64(d/10)))
}
