package wallet

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

// rich is an owner that grants more tokens than a benchmark uses.
type rich struct{ asks atomic.Uint64 }

func (r *rich) Ask(context.Context, model.Region, model.Shard, quota.Take) (quota.Grant, error) {
	return quota.Grant{ID: r.asks.Add(1), N: 1 << 30, Valid: model.Millis(quota.Lifetime.Milliseconds())}, nil
}

// BenchmarkAdmit measures an admission with a token at hand among 26,000
// customers. It must not allocate.
func BenchmarkAdmit(b *testing.B) {
	w := New(quota.Origin{Host: "h", Region: "north"}, []model.Region{"north"}, new(rich))
	list := make([]model.Customer, 26000)
	for i := range list {
		list[i] = model.Customer{ID: model.CustomerID("c" + model.Shard(i).String()), Rate: 1000, Burst: 1000}
		w.account(list[i].ID)
	}
	b.ReportAllocs()
	for b.Loop() {
		a, err := w.Admit(b.Context(), &list[7])
		must.NoError(b, err)
		a.Valid() // false if the grant expires between the two calls
	}
}
