package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/store"
)

// longStore refuses to list all claims at once, as a client does whose memory they exceed.
type longStore struct {
	*store.Mem
}

func (longStore) List(context.Context, store.Kind) ([]store.Object, store.Version, error) {
	return nil, 0, store.ErrUnavailable("the list is too large")
}

// TestSweepLongList guards against claims that are never deleted because all of them together
// are too large to be listed.
func TestSweepLongList(t *testing.T) {
	const count = 100
	p := longStore{store.NewMem(store.WithPageBytes(1 << 10))}
	now := time.Now()
	k := New(p, WithBudget(1e6), WithClock(func() time.Time { return now }))
	for i := range count {
		if i == count/2 {
			now = now.Add(Retention)
		}
		claimed, err := k.Begin(t.Context(), "wanjiru", fmt.Sprint(i), "f")
		must.NoError(t, err)
		must.NoError(t, k.Finish(t.Context(), claimed, Result{State: StateDone}))
	}
	now = now.Add(Retention / 2)
	for range count {
		_, err := k.Sweep(t.Context())
		must.NoError(t, err)
	}
	left, _, err := p.Mem.List(t.Context(), store.KindClaim)
	must.NoError(t, err)
	must.Len(t, count/2, left)
	for _, o := range left {
		r, err := Decode(o.Value)
		must.NoError(t, err)
		must.EqOp(t, now.Add(-Retention/2).Unix(), r.Created)
	}
}
