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
// lists the claims again only after it has deleted all that the last list
// contained. Deletes count towards the write budget; Sweep stops early without
// an error when the budget is used up.
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
// It lists the platform's claims if k.expired is empty.
func (k *Keeper) nextBatch(ctx context.Context) ([]store.Object, error) {
	k.mu.Lock()
	claims := k.expired
	k.mu.Unlock()
	if len(claims) == 0 {
		objects, _, err := k.platform.List(ctx, store.KindClaim)
		if err != nil {
			return nil, err
		}
		claims = expiredBefore(objects, k.clock().Add(-Retention))
	}
	n := min(len(claims), sweepBatch)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expired = claims[n:]
	return claims[:n:n], nil
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
