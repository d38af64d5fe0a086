package claim

import (
	"context"
	"slices"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

const (
	// memoryTime is how long a claim is remembered at least: longer than the age of any copy from
	// which the platform's store comes back.
	memoryTime = 30 * time.Second
	// restoreHold is how long no claim is begun after the store came back from an older copy. A
	// daemon hears of it within 3 s, by the roster of its cell, calls Follow within 1 s, and writes
	// its claims again within some calls.
	restoreHold = 8 * time.Second
)

// restores is what a Keeper needs when the platform's store comes back from an older copy, which
// lacks the claims made since. Guarded by Keeper.mu.
type restores struct {
	known      bool      // a claim has been read or written
	era        store.Era // the latest of the claims that were read or written
	restoredAt time.Time // when a later era was noticed; zero: never
	made       map[string]*madeClaim
}

// madeClaim is a claim that this daemon made and has not released.
type madeClaim struct {
	value     []byte
	nonce     string
	era       store.Era // in which it was last written
	writtenAt time.Time
}

// noteEra records the era of a claim's version. It reports whether the store came back from an
// older copy since the last one.
func (k *Keeper) noteEra(era store.Era) (restored bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	restored = k.restores.known && era > k.restores.era
	if restored {
		k.restores.restoredAt = k.clock()
	}
	k.restores.known, k.restores.era = true, max(k.restores.era, era)
	return restored
}

// held reports whether other daemons may not have written their claims again yet.
func (k *Keeper) held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.restores.restoredAt
	return !at.IsZero() && k.clock().Sub(at) < restoreHold
}

// remember keeps a claim with its value, so that it can be written again.
func (k *Keeper) remember(claimed Claim, value []byte, era store.Era) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	for name, c := range k.restores.made {
		// The platform has just answered, so a copy that comes back later contains them.
		if now.Sub(c.writtenAt) >= memoryTime {
			delete(k.restores.made, name)
		}
	}
	k.restores.made[claimed.objectName] = &madeClaim{value: value, nonce: claimed.record.Nonce, era: era, writtenAt: now}
}

// forget ends remember. It does nothing for another claim.
func (k *Keeper) forget(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.restores.made, name)
}

// Follow writes the claims again that this daemon made and that the platform's store may have lost,
// if it came back from an older copy. Each daemon calls it about once a second, with the latest
// era of which it has heard. Without a new era it makes no call. Errors are those of the store;
// the next call continues.
func (k *Keeper) Follow(ctx context.Context, era store.Era) error {
	k.noteEra(era)
	return k.writeOutdated(ctx)
}

// writeOutdated writes the claims of earlier eras again, the newest first.
func (k *Keeper) writeOutdated(ctx context.Context) error {
	k.mu.Lock()
	var names []string
	for name, c := range k.restores.made {
		if c.era < k.restores.era {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return k.restores.made[b].writtenAt.Compare(k.restores.made[a].writtenAt)
	})
	k.mu.Unlock()
	for _, name := range names {
		if err := k.writeAgain(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// writeAgain creates a remembered claim unless it exists. A claim of another daemon in its place
// is about to be deleted, since that daemon has noticed the new era with it; the next call of
// Follow tries again. The write does not count towards the budget, since no claim is begun
// meanwhile.
func (k *Keeper) writeAgain(ctx context.Context, name string) error {
	k.mu.Lock()
	c := k.restores.made[name]
	k.mu.Unlock()
	if c == nil {
		return nil
	}
	version, err := k.put(ctx, name, c.value, 0)
	if fault.Is(err, fault.KindConflict) {
		var found Record
		if found, version, err = k.get(ctx, name); err == nil && found.Nonce != c.nonce {
			k.noteEra(version.Era())
			return nil
		}
	}
	if err != nil {
		return err
	}
	k.noteEra(version.Era())
	k.mu.Lock()
	defer k.mu.Unlock()
	c.era, c.writtenAt = max(c.era, version.Era()), k.clock()
	return nil
}
