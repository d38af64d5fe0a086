package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
)

// delayedStore is a store that can delay a write: the caller gets an error for
// an unknown outcome, and the write takes effect when the test calls delayedWrite.
type delayedStore struct {
	*store.Mem
	delayWrites  bool
	delayedWrite func() error
}

func (d *delayedStore) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	if !d.delayWrites {
		return d.Mem.Put(ctx, kind, name, value, match)
	}
	d.delayedWrite = func() error {
		_, err := d.Mem.Put(context.Background(), kind, name, value, match)
		return err
	}
	return 0, store.ErrUnknown("held back")
}

// TestLateWrite guards against a giver that raises its share again while the
// write of a move may still take effect, and against a write that takes effect
// after another holder has taken over. Both would give the share away twice.
func TestLateWrite(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, c := t.Context(), &model.Customer{ID: "sugarleaf", Rate: 100, Burst: 40}
			customers := func(model.CustomerID) (*model.Customer, bool) { return c, true }
			platform := &delayedStore{Mem: store.NewMem()}
			owner := func() *Owner {
				o := NewOwner("north", []model.Region{"north", "south"}, &stubTable{[]bool{true}}, customers, platform, nil, WithOwnerShards(1))
				o.fence(ctx, o.beginSteps()[0])
				return o
			}
			o := owner()
			s := o.owned[0]
			initial := o.shareInForce(s, c)
			o.HandleShareRequest(share.Request{From: "south", Needs: []share.Need{{Customer: c.ID, Demand: share.DemandRates{Fast: 90, Slow: 90}}}})
			platform.delayWrites = true
			o.planMove(s)
			o.writeMove(ctx, s)
			platform.delayWrites = false
			must.Less(t, initial.Rate, o.shareInForce(s, c).Rate)
			o.reload(ctx, s) // the write is still delayed: the old record is read
			must.Less(t, initial.Rate, o.shareInForce(s, c).Rate)
			if takeover {
				successor := owner()
				must.EqOp(t, initial, successor.shareInForce(successor.owned[0], c))
				must.True(t, fault.Is(platform.delayedWrite(), fault.KindConflict))
				o.reload(ctx, s)
				must.Nil(t, o.owned[0]) // the earlier holder discards its state
				return
			}
			must.NoError(t, platform.delayedWrite())
			time.Sleep(minMoveInterval)
			o.writeMove(ctx, s) // the second write conflicts with the first
			o.reload(ctx, s)
			must.Nil(t, s.move)
			must.Less(t, initial.Rate, o.shareInForce(s, c).Rate)
		})
	}
}

// TestRestoredTransfer guards against tokens of a move that are added twice after a restore.
func TestRestoredTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, c := t.Context(), &model.Customer{ID: "sugarleaf", Rate: 100, Burst: 40}
		customers := func(model.CustomerID) (*model.Customer, bool) { return c, true }
		platform := store.NewMem()
		owner := func(region model.Region) (*Owner, *shard) {
			o := NewOwner(region, []model.Region{"north", "south"}, &stubTable{[]bool{true}}, customers, platform, nil, WithOwnerShards(1))
			o.fence(ctx, o.beginSteps()[0])
			return o, o.owned[0]
		}
		north, giver := owner("north")
		south, taker := owner("south")
		north.reload(ctx, giver)
		north.HandleShareRequest(share.Request{From: "south", Needs: []share.Need{{Customer: c.ID, Demand: share.DemandRates{Fast: 90, Slow: 90}}}})
		north.planMove(giver)
		north.writeMove(ctx, giver)
		copied := platform.Copy()
		south.reload(ctx, taker)
		must.Less(t, south.shareInForce(taker, c).Rate, north.shareInForce(giver, c).Rate)
		must.NotNil(t, taker.record.Transfer)
		platform.Restore(copied)
		south.reload(ctx, taker)
		must.Nil(t, south.owned[0], must.Sprint("the holder starts again with empty buckets"))
		south.fence(ctx, south.beginSteps()[0])
		must.True(t, south.owned[0].ready)
	})
}
