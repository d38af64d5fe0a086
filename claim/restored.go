package claim

import (
	"context"
	"slices"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

const (
	// memoryTime is how long a claim is remembered at least while the platform answers: longer
	// than the age of any copy from which its store comes back.
	memoryTime = 30 * time.Second
	// restoreHold is how long no claim is begun after the store came back from an older copy: two
	// calls of Follow, with the time limits of their calls, on each daemon.
	restoreHold = 5 * time.Second
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
	k.restores.made[claimed.objectName] = &madeClaim{value: value, nonce: claimed.record.Nonce, era: era, writtenAt: k.clock()}
}

// forget ends remember. It does nothing for another claim.
func (k *Keeper) forget(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.restores.made, name)
}

// Follow notices that the platform's store came back from an older copy, and writes the claims
// again that this daemon made and the copy may lack. Each daemon should call it about once a
// second. It makes no call while no claim was made in the last 30 s. Errors are those of the
// store; the next call continues.
func (k *Keeper) Follow(ctx context.Context) error {
	name, ok := k.newestMade()
	if !ok {
		return nil
	}
	_, version, err := k.get(ctx, name)
	switch {
	case err == nil:
		k.noteEra(version.Era())
	case fault.Is(err, fault.KindMissing):
		if err := k.writeAgain(ctx, name); err != nil { // its write tells the era
			return err
		}
	case !fault.Is(err, fault.KindInvalid):
		return err
	}
	if err := k.writeOutdated(ctx); err != nil {
		return err
	}
	k.forgetOld()
	return nil
}

// newestMade returns the name of the claim that was made last.
func (k *Keeper) newestMade() (newest string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, c := range k.restores.made {
		if !ok || c.writtenAt.After(k.restores.made[newest].writtenAt) {
			newest, ok = name, true
		}
	}
	return newest, ok
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

// forgetOld forgets the claims that were written more than memoryTime ago. The platform has just
// answered in their era, so a copy that comes back later contains them.
func (k *Keeper) forgetOld() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, c := range k.restores.made {
		current := c.era == k.restores.era || k.clock().Sub(k.restores.restoredAt) >= memoryTime
		if current && k.clock().Sub(c.writtenAt) >= memoryTime {
			delete(k.restores.made, name)
		}
	}
}
