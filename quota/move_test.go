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

// holding is a store that can hold a write back, so that its answer is lost
// and it takes effect when the test lets it.
type holding struct {
	*store.Mem
	hold bool
	held func() error
}

func (h *holding) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	if !h.hold {
		return h.Mem.Put(ctx, kind, name, value, match)
	}
	h.held = func() error {
		_, err := h.Mem.Put(context.Background(), kind, name, value, match)
		return err
	}
	return 0, store.ErrUnknown("held back")
}

// TestLateWrite guards against a giver that takes its share back while the
// write of a move may still take effect, and against such a write after another
// holder has taken over, which would give the share away twice.
func TestLateWrite(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, c := t.Context(), &model.Customer{ID: "sugarleaf", Rate: 100, Burst: 40}
			find := func(model.CustomerID) (*model.Customer, bool) { return c, true }
			platform := &holding{Mem: store.NewMem()}
			owner := func() *Owner {
				o := NewOwner("north", []model.Region{"north", "south"}, &lease{[]bool{true}}, find, platform, nil, WithOwnerShards(1))
				o.fence(ctx, o.idle()[0])
				return o
			}
			o := owner()
			s := o.held[0]
			before := o.part(s, c)
			o.Handle(share.Wish{From: "south", Needs: []share.Need{{Customer: c.ID, Demand: share.Rates{Fast: 90, Slow: 90}}}})
			platform.hold = true
			o.plan(s)
			o.write(ctx, s)
			platform.hold = false
			must.Less(t, before.Rate, o.part(s, c).Rate)
			o.read(ctx, s) // the old record is still there
			must.Less(t, before.Rate, o.part(s, c).Rate)
			if takeover {
				next := owner()
				must.EqOp(t, before, next.part(next.held[0], c))
				must.True(t, fault.Is(platform.held(), fault.Conflict))
				o.read(ctx, s)
				must.Nil(t, o.held[0]) // the earlier holder notices
				return
			}
			must.NoError(t, platform.held())
			time.Sleep(writeGap)
			o.write(ctx, s) // the repeated write conflicts
			o.read(ctx, s)
			must.Nil(t, s.move)
			must.Less(t, before.Rate, o.part(s, c).Rate)
		})
	}
}
