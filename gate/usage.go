package gate

import (
	"sync"
	"sync/atomic"

	"rhubarbdrift.example/model"
)

// Use counts the requests of one customer on this daemon since its start.
type Use struct {
	Admitted uint64 // within the limits
	Refused  uint64 // above the limits
}

type usage struct {
	admitted atomic.Uint64
	refused  atomic.Uint64
}

// usages counts by customer. Customers are few compared with requests, so
// entries are kept until the daemon ends.
type usages struct{ customers sync.Map }

func (u *usages) of(id model.CustomerID) *usage {
	if v, ok := u.customers.Load(id); ok {
		return v.(*usage)
	}
	v, _ := u.customers.LoadOrStore(id, new(usage))
	return v.(*usage)
}

// Use returns the counts of a customer.
func (g *Gate) Use(id model.CustomerID) Use {
	u := g.usages.of(id)
	return Use{Admitted: u.admitted.Load(), Refused: u.refused.Load()}
}
