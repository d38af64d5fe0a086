package lease

import (
	"context"
	"slices"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// observe reads a lease and takes it if it is vacant. Place is this daemon's
// place among the observers.
func (k *Keeper) observe(ctx context.Context, s *shard, place int) {
	version, r, err := k.get(ctx, s)
	if err != nil && !fault.Is(err, fault.Missing) {
		k.retry(s)
		return
	}
	if k.vacant(s, version, r, place) {
		k.take(ctx, s)
	}
}

// vacant records an observation and reports whether the lease may be taken now.
func (k *Keeper) vacant(s *shard, version store.Version, r model.Lease, place int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if !s.known || s.version != version {
		s.known, s.version, s.record, s.seen = true, version, r, now
		s.existed = s.existed || version != 0
		if s.holder = r.Holder; r.Released {
			s.holder = ""
		}
		if s.holder != "" && s.holder != k.self {
			s.yielded, s.patience = false, Patience
		}
	}
	ready := k.ready(s, place)
	if !now.Before(ready) {
		return !k.stopping
	}
	s.due = now.Add(k.jitter(Renewal))
	if ready.Before(s.due) {
		s.due = ready
	}
	return false
}

// ready returns when the lease may be taken if it does not change. The caller
// holds the lock.
func (k *Keeper) ready(s *shard, place int) time.Time {
	turn := s.seen.Add(time.Duration(place) * handicap)
	switch {
	case k.mine(s.record):
		return s.seen // nobody else held it since
	case s.record.Released, s.version == 0 && !s.existed:
		return turn
	default:
		// A lease that was deleted is treated as one that lapses: its holder
		// notices the removal only at its next renewal.
		return turn.Add(takeoverWait)
	}
}

// take writes a vacant lease, with the votes of the cell if its holder may be
// continuing without the platform.
func (k *Keeper) take(ctx context.Context, s *shard) {
	asked := k.clock()
	if !k.endorsed(ctx, s) {
		k.retry(s)
		return
	}
	r := k.newRecord(max(s.record.Term, s.term) + 1)
	sent := k.clock()
	if sent.Sub(asked) >= Period {
		k.retry(s) // the statements may be void by the time of the write
		return
	}
	ctx, cancel := context.WithTimeout(ctx, Period-sent.Sub(asked))
	defer cancel()
	version, err := k.write(ctx, s, r, s.version)
	if err != nil {
		k.retry(s)
		return
	}
	k.own(s, r, version, sent)
}

// own records an acquisition. The ownership starts when the grants of the
// holder before have expired.
func (k *Keeper) own(s *shard, r model.Lease, version store.Version, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.version, s.record = version, r
	s.held, s.term, s.pending, s.continuing = true, r.Term, nil, false
	s.start, s.until = sent.Add(settleWait), sent.Add(TTL)
	s.due = sent.Add(k.jitter(Renewal))
	if s.yielded {
		s.yielded, s.patience = false, min(2*s.patience, maxPatience)
	}
	k.log.Info().Str("shard", s.name).Uint64("term", r.Term).Msg("took the lease")
}

// endorsed reports whether the cell agrees to a takeover, where it must: a
// holder that released its lease, never existed or is this daemon cannot be
// continuing.
func (k *Keeper) endorsed(ctx context.Context, s *shard) bool {
	if s.version == 0 || s.record.Released || k.mine(s.record) {
		return true
	}
	_, current := k.voter.Roster()
	lists := [][]model.HostID{current}
	if recorded := s.record.Members; len(recorded) > 0 && !slices.Equal(recorded, current) {
		lists = append(lists, recorded)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, members := range lists {
		if !majority(k.voter.Endorse(ctx, members, s.id), members) {
			k.log.Debug().Str("shard", s.name).Msg("the cell does not endorse the takeover")
			return false
		}
	}
	return true
}
