package lease

import (
	"context"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// renew renews a held lease.
func (k *Keeper) renew(ctx context.Context, s *shard) {
	a := k.prepareRenewal(s, k.newRecord(s.record.Term))
	if a == nil {
		return
	}
	version, err := k.write(ctx, s, a.record, s.version)
	if fault.Is(err, fault.KindConflict) {
		if restored, ok := k.restoredVersion(ctx, s); ok {
			version, err = k.write(ctx, s, a.record, restored)
		}
	}
	k.recordRenewal(s, a, version, err)
}

// restoredVersion reads the lease after a conflict. It returns its version if the platform's store
// came back from an older copy and the lease in it is from before the term of this holder, or its
// own. No other daemon acquires it meanwhile: see vacantAt.
func (k *Keeper) restoredVersion(ctx context.Context, s *shard) (store.Version, bool) {
	version, r, err := k.get(ctx, s)
	return version, err == nil && version.Era() > s.version.Era() && (r.Term < s.record.Term || k.writtenBySelf(r) && r.Term == s.record.Term)
}

// prepareRenewal returns the renewal to send, or nil if the lease has expired.
// A previous renewal whose outcome is unknown is sent again instead of r.
func (k *Keeper) prepareRenewal(s *shard, r model.Lease) *renewalAttempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if !now.Before(s.validUntil) {
		k.expire(s, now)
		return nil
	}
	if s.pending == nil {
		s.pending = &renewalAttempt{record: r, sentAt: now}
	}
	return s.pending
}

// recordRenewal records the outcome of a renewal. The lease is valid from the
// time at which the renewal was first sent.
func (k *Keeper) recordRenewal(s *shard, a *renewalAttempt, version store.Version, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	s.due = now.Add(k.jitter(retryInterval))
	switch {
	case err == nil:
		s.version, s.record, s.pending = version, a.record, nil
		if !s.extend(now, a.sentAt.Add(TTL)) {
			k.expire(s, now)
			return
		}
		s.extendedByVote = s.extendedByVote && now.Sub(a.sentAt) >= TTL
		s.due = a.sentAt.Add(k.jitter(RenewalInterval))
	case fault.Is(err, fault.KindConflict):
		s.endOwnership(now)
		k.log.Warn().Str("shard", s.name).Msg("lease lost: another daemon acquired it or it was deleted; this daemon no longer grants the shard's limits")
	case fault.Is(err, fault.KindUnknown):
		a.mayHaveTakenEffect = true
	case !a.mayHaveTakenEffect:
		s.pending = nil
	}
}

// expire ends an ownership that is no longer valid. The caller holds the lock.
func (k *Keeper) expire(s *shard, now time.Time) {
	s.endOwnership(now)
	k.log.Warn().Str("shard", s.name).Msg("lease expired and will be acquired again; check the platform and the load of this host")
}

// scheduleRetry schedules the next step of a shard after retryInterval.
func (k *Keeper) scheduleRetry(s *shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.due = k.clock().Add(k.jitter(retryInterval))
}
