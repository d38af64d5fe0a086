package lease

import (
	"context"
	"errors"
	"time"

	"rhubarbdrift.example/fault"
)

const (
	releaseTries = 4
	idleInterval = 20 * time.Millisecond
)

// Release gives up all leases for a planned stop, while Run still runs, and
// takes none afterwards. Leases that could not be released are named in the
// error and lapse.
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
			return fault.Wrap(fault.Late, ctx.Err(), "not all leases were released in time", "nothing: they lapse by themselves")
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return errors.Join(k.failed...)
}

// idle reports whether no lease is held and no step runs that may take one.
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

// shouldRelease reports whether a lease is to be given up: for a planned stop,
// or because a better ranked member has been live for long enough. While the
// platform is unavailable nothing is given up to others. The caller holds the
// lock.
func (k *Keeper) shouldRelease(s *shard, now time.Time) bool {
	if k.stopping {
		return true
	}
	if s.pending != nil || s.continuing || len(s.ranked) == 0 || s.ranked[0] == k.self {
		return false
	}
	return now.Sub(k.since[s.ranked[0]]) >= s.patience
}

// release ends the ownership of a shard, then says so in the lease. If a
// better ranked member does not take the lease and this one has to, it waits
// twice as long the next time.
func (k *Keeper) release(ctx context.Context, s *shard) {
	k.mu.Lock()
	r, match := s.record, s.version
	r.Nonce, r.Released = k.nonce(), true
	s.yielded = true
	s.drop(k.clock())
	k.mu.Unlock()
	var err error
	for range releaseTries {
		if _, err = k.write(ctx, s, r, match); err == nil {
			k.log.Info().Str("shard", s.name).Msg("released the lease")
			return
		}
		// An earlier renewal may have taken effect meanwhile.
		version, found, readErr := k.get(ctx, s)
		if fault.Is(readErr, fault.Unavailable) {
			continue
		}
		if match = version; !k.mine(found) {
			return // another daemon holds it, or it was deleted
		}
	}
	err = fault.Wrap(fault.Unavailable, err, "lease "+s.name+" was not released", "nothing: it lapses by itself")
	k.log.Warn().Err(err).Msg("could not release a lease")
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = append(k.failed, err)
}
