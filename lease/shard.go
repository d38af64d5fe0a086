package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// shard is this daemon's state of one shard and its lease.
type shard struct {
	id     model.Shard
	name   string         // name of the lease object
	ranked []model.HostID // the best ranked live members, which observe the lease
	busy   bool           // a step is running; only steps change the record, and they read it without the lock
	due    time.Time      // time of the next step

	// The record as last read or, while the lease is held, as last written.
	observed  bool
	version   store.Version // 0: the object does not exist
	record    model.Lease
	firstSeen time.Time // time of the first read that returned this version
	existed   bool      // a read has found the object

	// Ownership.
	held           bool
	term           uint64
	validFrom      time.Time
	validUntil     time.Time
	pending        *renewalAttempt // a renewal that has taken effect or still may
	extendedByVote bool            // valid beyond the last renewal by votes of the cell

	handedBack    bool // released, usually to a better ranked member
	handbackDelay time.Duration

	holder   model.HostID // last known holder, to which calls are sent
	hintedAt time.Time    // time of the last SetOwnerHint
}

// renewalAttempt is a renewal whose outcome is unknown. It is sent again
// unchanged until the outcome is known, so that at most one roster besides the
// recorded one can be in the lease.
type renewalAttempt struct {
	record             model.Lease
	sentAt             time.Time // time of the first attempt
	mayHaveTakenEffect bool      // an answer was lost
}

// holds reports whether the ownership is valid at a time.
func (s *shard) holds(now time.Time) bool {
	return s.held && !now.Before(s.validFrom) && now.Before(s.validUntil)
}

// rank stores the live members that observe the shard, best ranked first.
func (s *shard) rank(live []model.HostID) {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b model.HostID) int {
		return cmp.Compare(model.RendezvousHash(a, s.name), model.RendezvousHash(b, s.name))
	})
	s.ranked = ranked[:min(len(ranked), observerCount)]
}

// possibleRosters returns the member lists that another daemon may find in the lease.
func (s *shard) possibleRosters() [][]model.HostID {
	rosters := [][]model.HostID{s.record.Members}
	if s.pending != nil {
		rosters = append(rosters, s.pending.record.Members)
	}
	return rosters
}

// extend extends the ownership and reports whether it is still valid. An
// ownership that has ended is not revived.
func (s *shard) extend(now, validUntil time.Time) bool {
	if !s.held || !now.Before(s.validUntil) {
		return false
	}
	if validUntil.After(s.validUntil) {
		s.validUntil = validUntil
	}
	return true
}

// endOwnership ends the ownership and marks the record as not observed: it must
// be read again before the lease can be acquired.
func (s *shard) endOwnership(now time.Time) {
	s.held, s.extendedByVote, s.pending = false, false, nil
	s.observed, s.holder = false, ""
	s.due = now
}

// newRecord returns a record with this daemon as the holder. The caller must
// not hold the lock: the voter may be slow, and Holds must not wait for it.
func (k *Keeper) newRecord(term uint64) model.Lease {
	version, members := k.voter.Roster()
	return model.Lease{
		Holder: k.self, Incarnation: k.incarnation, Nonce: k.nonce(), Term: term,
		Cell: k.cell, Roster: version, Members: slices.Clone(members),
	}
}

// nonce returns a value that is unique among all writes of leases.
func (k *Keeper) nonce() string {
	return string(k.incarnation) + "-" + strconv.FormatUint(k.nonces.Add(1), 10)
}

// writtenBySelf reports whether this run of the daemon wrote the record and has
// not released the lease in it.
func (k *Keeper) writtenBySelf(r model.Lease) bool {
	return r.Holder == k.self && r.Incarnation == k.incarnation && !r.Released
}

// logUnusable logs a record that an operator has to repair. It returns err.
func (k *Keeper) logUnusable(s *shard, err error) error {
	if err != nil {
		k.log.Error().Err(err).Str("shard", s.name).Msg("lease object is not usable")
	}
	return err
}

func (k *Keeper) get(ctx context.Context, s *shard) (store.Version, model.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, store.KindLease, s.name)
	if err != nil {
		return 0, model.Lease{}, err
	}
	k.noteEra(o.Version.Era())
	r, err := model.DecodeLease(o.Value)
	return o.Version, r, k.logUnusable(s, err)
}

// noteEra records when this daemon first read a lease in a new era.
func (k *Keeper) noteEra(era store.Era) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !k.eraKnown:
		k.eraKnown, k.era = true, era
	case era > k.era:
		k.era, k.restoredAt = era, k.clock()
		k.log.Warn().Uint32("era", uint32(era)).Dur("wait", takeoverWait).Msg("the platform's store came back from an older copy; leases are acquired after a wait")
	}
}

func (k *Keeper) put(ctx context.Context, s *shard, r model.Lease, match store.Version) (store.Version, error) {
	if err := k.logUnusable(s, r.Check()); err != nil {
		return 0, err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.store.Put(ctx, store.KindLease, s.name, value, match)
}

// write writes a lease. If this write or an earlier attempt with the same
// record may have taken effect, it reads the lease and compares the nonce. The
// error has the kind fault.KindUnknown if the write may still take effect.
func (k *Keeper) write(ctx context.Context, s *shard, r model.Lease, match store.Version) (store.Version, error) {
	version, err := k.put(ctx, s, r, match)
	if !fault.Is(err, fault.KindUnknown) && !fault.Is(err, fault.KindConflict) {
		return version, err
	}
	version, found, readErr := k.get(ctx, s)
	switch {
	case readErr == nil && found.Nonce == r.Nonce:
		return version, nil
	case fault.Is(readErr, fault.KindUnavailable), readErr == nil && version == match:
		return 0, store.ErrUnknown("the write is not visible in the lease yet")
	default:
		return 0, store.ErrConflict(store.KindLease, s.name)
	}
}
