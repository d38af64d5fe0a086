package claim

import (
	"context"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// sweepBatch is the number of claims that one Sweep deletes at most.
const sweepBatch = 20

// Sweep deletes a batch of claims past their retention and returns their
// number. Only the owner of shard 0 should call it, about once a second. It
// lists the claims when it has deleted all that it found before. Deletes count
// as writes of the budget; Sweep stops early when the budget is used up.
func (k *Keeper) Sweep(ctx context.Context) (int, error) {
	batch, err := k.batch(ctx)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for i, o := range batch {
		if k.spend(ctx, 1) != nil {
			k.postpone(batch[i:])
			return deleted, nil
		}
		err := k.platform.Delete(ctx, store.KindClaim, o.Name, o.Version)
		switch {
		case err == nil:
			deleted++
		case fault.Is(err, fault.Missing), fault.Is(err, fault.Conflict):
			// Somebody else deleted or changed it.
		default:
			k.postpone(batch[i:])
			return deleted, err
		}
	}
	return deleted, nil
}

// batch takes the next claims to delete.
func (k *Keeper) batch(ctx context.Context) ([]store.Object, error) {
	k.mu.Lock()
	list := k.expired
	k.mu.Unlock()
	if len(list) == 0 {
		objects, _, err := k.platform.List(ctx, store.KindClaim)
		if err != nil {
			return nil, err
		}
		list = old(objects, k.clock().Add(-Retention))
	}
	n := min(len(list), sweepBatch)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expired = list[n:]
	return list[:n:n], nil
}

// postpone keeps claims for the next batch.
func (k *Keeper) postpone(list []store.Object) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expired = append(list, k.expired...)
}

// old returns the claims written before a time. One that cannot be decoded is
// kept: it blocks its key, which is the safe side.
func old(objects []store.Object, before time.Time) []store.Object {
	var list []store.Object
	for _, o := range objects {
		r, err := Decode(o.Value)
		if err == nil && time.Unix(r.Written, 0).Before(before) {
			o.Value = nil
			list = append(list, o)
		}
	}
	return list
}
