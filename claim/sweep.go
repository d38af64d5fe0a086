package claim

import (
	"context"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// sweepBatch is the maximum number of claims that one Sweep deletes.
const sweepBatch = 20

// Sweep deletes a batch of claims older than Retention and returns how many it
// deleted. Only the owner of shard 0 should call it, about once a second. It
// reads the next page of claims only after it has deleted all that the last one
// contained, since all claims together may not fit into memory. Deletes count towards
// the write budget; Sweep stops early without an error when the budget is used up.
func (k *Keeper) Sweep(ctx context.Context) (int, error) {
	nextBatch, err := k.nextBatch(ctx)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for i, o := range nextBatch {
		if k.reserveWrites(ctx, 1) != nil {
			k.requeue(nextBatch[i:])
			return deleted, nil
		}
		err := k.platform.Delete(ctx, store.KindClaim, o.Name, o.Version)
		switch {
		case err == nil:
			deleted++
		case fault.Is(err, fault.KindMissing), fault.Is(err, fault.KindConflict):
			// Another daemon deleted or changed the claim.
		default:
			k.requeue(nextBatch[i:])
			return deleted, err
		}
	}
	return deleted, nil
}

// nextBatch removes the next claims to delete from k.expired and returns them.
// It reads the next page of the platform's claims if k.expired is empty.
func (k *Keeper) nextBatch(ctx context.Context) ([]store.Object, error) {
	k.mu.Lock()
	claims, after := k.expired, k.sweptUpTo
	k.mu.Unlock()
	if len(claims) == 0 {
		page, err := k.platform.ListPage(ctx, store.KindClaim, after)
		if err != nil {
			return nil, err
		}
		claims = expiredBefore(page.Objects, k.clock().Add(-Retention))
		if after, err = continueAfter(page, after); err != nil {
			return nil, err
		}
	}
	n := min(len(claims), sweepBatch)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expired, k.sweptUpTo = claims[n:], after
	return claims[:n:n], nil
}

// continueAfter returns the name after which the page that follows one begins, or an empty
// name if there are no further pages.
func continueAfter(page store.Listing, previous string) (string, error) {
	if !page.More {
		return "", nil
	}
	return page.Next(previous)
}

// requeue puts claims that were not deleted back in front of k.expired.
func (k *Keeper) requeue(claims []store.Object) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expired = append(claims, k.expired...)
}

// expiredBefore returns the claims written before a time, without their values.
// It leaves out claims that cannot be decoded: to keep their keys blocked is
// safe.
func expiredBefore(objects []store.Object, before time.Time) []store.Object {
	var expired []store.Object
	for _, o := range objects {
		r, err := Decode(o.Value)
		if err == nil && time.Unix(r.Created, 0).Before(before) {
			o.Value = nil
			expired = append(expired, o)
		}
	}
	return expired
}
