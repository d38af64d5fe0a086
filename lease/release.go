package lease

import (
	"context"
	"errors"
	"time"

	"rhubarbdrift.example/fault"
)

const (
	releaseTries = 4                     // writes of a release before it is given up
	idleInterval = 20 * time.Millisecond // between checks of Release
)

// Release releases all leases for a planned stop and prevents the keeper from
// acquiring any afterwards. Run must still be running. The error names the
// leases that could not be released, which expire after TTL. If ctx ends first,
// the error has the kind fault.KindTimeout.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.stopping = true
	for _, s := range k.shards {
		s.due = time.Time{}
	}
	k.mu.Unlock()
	for !k.idle() {
		select {
		case <-time.After(idleInterval):
		case <-ctx.Done():
			return fault.Wrap(fault.KindTimeout, ctx.Err(), "not all leases were released in time", "nothing: they lapse by themselves")
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return errors.Join(k.releaseErrors...)
}

// idle reports whether no lease is held and no running step may acquire one.
func (k *Keeper) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.shards {
		if s.held || s.busy {
			return false
		}
	}
	return true
}

// shouldRelease reports whether a lease is to be released: for a planned stop,
// or because a better ranked member has been live for the handback delay. While
// the platform is unavailable, nothing is handed back. The caller holds the
// lock.
func (k *Keeper) shouldRelease(s *shard, now time.Time) bool {
	if k.stopping {
		return true
	}
	if s.pending != nil || s.extendedByVote || len(s.ranked) == 0 || s.ranked[0] == k.self {
		return false
	}
	return now.Sub(k.liveSince[s.ranked[0]]) >= s.handbackDelay
}

// release ends the ownership of a shard, then marks the lease as released. If
// the better ranked member does not acquire the lease and this daemon has to
// acquire it again, the next handback delay is twice as long.
func (k *Keeper) release(ctx context.Context, s *shard) {
	k.mu.Lock()
	r, match := s.record, s.version
	r.Nonce, r.Released = k.nonce(), true
	s.handedBack = true
	s.endOwnership(k.clock())
	k.mu.Unlock()
	var err error
	for range releaseTries {
		if _, err = k.write(ctx, s, r, match); err == nil {
			k.log.Info().Str("shard", s.name).Msg("lease released")
			return
		}
		// An earlier renewal may have taken effect and changed the version.
		version, found, readErr := k.get(ctx, s)
		if fault.Is(readErr, fault.KindUnavailable) {
			continue
		}
		if match = version; !k.writtenBySelf(found) {
			return // an earlier attempt released it, another daemon holds it, or it was deleted
		}
	}
	err = fault.Wrap(fault.KindUnavailable, err, "lease "+s.name+" was not released", "nothing: it lapses by itself")
	k.log.Warn().Err(err).Msg("lease not released")
	k.mu.Lock()
	defer k.mu.Unlock()
	k.releaseErrors = append(k.releaseErrors, err)
}
