package lease

import (
	"context"
	"slices"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// observe reads a lease and acquires it if it is vacant. Position is the index
// of this daemon among the observers, 0 for the best ranked one.
func (k *Keeper) observe(ctx context.Context, s *shard, position int) {
	version, r, err := k.get(ctx, s)
	if err != nil && !fault.Is(err, fault.KindMissing) {
		k.scheduleRetry(s)
		return
	}
	if k.vacant(s, version, r, position) {
		k.acquire(ctx, s)
	}
}

// vacant records what was read and reports whether the lease may be acquired
// now. Otherwise it schedules the next read.
func (k *Keeper) vacant(s *shard, version store.Version, r model.Lease, position int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if !s.observed || s.version != version {
		s.observed, s.version, s.record, s.firstSeen = true, version, r, now
		s.existed = s.existed || version != 0
		if s.holder = r.Holder; r.Released {
			s.holder = ""
		}
		if s.holder != "" && s.holder != k.self {
			s.handedBack, s.handbackDelay = false, HandbackDelay
		}
	}
	vacantAt := k.vacantAt(s, position)
	if !now.Before(vacantAt) {
		return !k.stopping
	}
	s.due = now.Add(k.jitter(RenewalInterval))
	if vacantAt.Before(s.due) {
		s.due = vacantAt
	}
	return false
}

// vacantAt returns the time from which this daemon may acquire the lease if it
// does not change before. The caller holds the lock.
//
// If the store came back from an older copy, what it says of the holder may be outdated. The
// holder renews within the wait, or its ownership ends.
func (k *Keeper) vacantAt(s *shard, position int) time.Time {
	vacantAt := k.vacantInEra(s, position)
	if restored := k.restoredAt.Add(takeoverWait); !k.restoredAt.IsZero() && vacantAt.Before(restored) {
		return restored
	}
	return vacantAt
}

// vacantInEra is vacantAt as far as it follows from what was read in the present era.
func (k *Keeper) vacantInEra(s *shard, position int) time.Time {
	earliest := s.firstSeen.Add(time.Duration(position) * rankDelay)
	switch {
	case k.writtenBySelf(s.record):
		return s.firstSeen // no other daemon has held it since
	case s.record.Released, s.version == 0 && !s.existed:
		return earliest
	default:
		// A deleted lease is treated like one that is no longer renewed: its
		// holder notices the deletion only at its next renewal.
		return earliest.Add(takeoverWait)
	}
}

// acquire writes a vacant lease. It first asks the cell for its endorsement if
// the previous holder may have extended its ownership by votes.
func (k *Keeper) acquire(ctx context.Context, s *shard) {
	requestedAt := k.clock()
	if !k.endorsed(ctx, s) {
		k.scheduleRetry(s)
		return
	}
	r := k.newRecord(max(s.record.Term, s.term) + 1)
	sentAt := k.clock()
	if sentAt.Sub(requestedAt) >= VotePeriod {
		k.scheduleRetry(s) // the endorsements may have expired by the time of the write
		return
	}
	ctx, cancel := context.WithTimeout(ctx, VotePeriod-sentAt.Sub(requestedAt))
	defer cancel()
	version, err := k.write(ctx, s, r, s.version)
	if err != nil {
		k.scheduleRetry(s)
		return
	}
	k.recordAcquisition(s, r, version, sentAt)
}

// recordAcquisition records that this daemon acquired the lease with a write
// sent at sentAt. The ownership starts when the grants of the previous holder
// have expired.
func (k *Keeper) recordAcquisition(s *shard, r model.Lease, version store.Version, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.version, s.record = version, r
	s.held, s.term, s.pending, s.extendedByVote = true, r.Term, nil, false
	s.validFrom, s.validUntil = sentAt.Add(grantExpiryWait), sentAt.Add(TTL)
	s.due = sentAt.Add(k.jitter(RenewalInterval))
	if s.handedBack {
		s.handedBack, s.handbackDelay = false, min(2*s.handbackDelay, maxHandbackDelay)
	}
	k.log.Info().Str("shard", s.name).Uint64("term", r.Term).Msg("lease acquired")
}

// endorsed reports whether the cell agrees to a takeover. No agreement is
// needed if the lease object does not exist, the lease was released or this
// daemon wrote it: then no other daemon can have extended an ownership by votes.
func (k *Keeper) endorsed(ctx context.Context, s *shard) bool {
	if s.version == 0 || s.record.Released || k.writtenBySelf(s.record) {
		return true
	}
	_, current := k.voter.Roster()
	rosters := [][]model.HostID{current}
	if recorded := s.record.Members; len(recorded) > 0 && !slices.Equal(recorded, current) {
		rosters = append(rosters, recorded)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, members := range rosters {
		if k.voter.CountEndorsements(ctx, members, s.id) < model.TakeoverQuorum(len(members)) {
			k.log.Debug().Str("shard", s.name).Msg("takeover not endorsed by the cell")
			return false
		}
	}
	return true
}
