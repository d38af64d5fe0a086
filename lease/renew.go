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
	a := k.prepare(s, k.newRecord(s.record.Term))
	if a == nil {
		return
	}
	version, err := k.write(ctx, s, a.record, s.version)
	k.settle(s, a, version, err)
}

// prepare returns the renewal to send, which is the one before if its outcome
// is not known, or nil if the lease has lapsed.
func (k *Keeper) prepare(s *shard, r model.Lease) *attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if !now.Before(s.until) {
		k.lapse(s, now)
		return nil
	}
	if s.pending == nil {
		s.pending = &attempt{record: r, sent: now}
	}
	return s.pending
}

// settle records the outcome of a renewal. The validity counts from the first
// time that it was sent.
func (k *Keeper) settle(s *shard, a *attempt, version store.Version, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	s.due = now.Add(k.jitter(retryInterval))
	switch {
	case err == nil:
		s.version, s.record, s.pending = version, a.record, nil
		if !s.extend(now, a.sent.Add(TTL)) {
			k.lapse(s, now)
			return
		}
		s.continuing = s.continuing && now.Sub(a.sent) >= TTL
		s.due = a.sent.Add(k.jitter(Renewal))
	case fault.Is(err, fault.Conflict):
		s.drop(now)
		k.log.Warn().Str("shard", s.name).Msg("another daemon took the lease or it was deleted; the limits are granted elsewhere")
	case fault.Is(err, fault.Unknown):
		a.uncertain = true
	case !a.uncertain:
		s.pending = nil
	}
}

// lapse ends an ownership whose time has passed. The caller holds the lock.
func (k *Keeper) lapse(s *shard, now time.Time) {
	s.drop(now)
	k.log.Warn().Str("shard", s.name).Msg("the lease lapsed and will be acquired anew; check the platform and the load of this host")
}

// retry runs the next step of a shard after a delay.
func (k *Keeper) retry(s *shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.due = k.clock().Add(k.jitter(retryInterval))
}
