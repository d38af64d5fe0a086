package gate

import (
	"sync"
	"sync/atomic"

	"rhubarbdrift.example/model"
)

// Usage is the number of requests of one customer on this daemon since its start.
type Usage struct {
	Admitted uint64 // within the limits
	Refused  uint64 // above the limits
}

type usageCounter struct {
	admitted atomic.Uint64
	refused  atomic.Uint64
}

// usageCounters counts requests by customer. Entries are never deleted, because
// customers are few compared with requests.
type usageCounters struct{ customers sync.Map }

// counterOf returns the customer's counter and creates it if necessary.
func (u *usageCounters) counterOf(id model.CustomerID) *usageCounter {
	if v, ok := u.customers.Load(id); ok {
		return v.(*usageCounter)
	}
	v, _ := u.customers.LoadOrStore(id, new(usageCounter))
	return v.(*usageCounter)
}

// Usage returns the counts of a customer, which are zero for an unknown one.
func (g *Gate) Usage(id model.CustomerID) Usage {
	u := g.usageCounters.counterOf(id)
	return Usage{Admitted: u.admitted.Load(), Refused: u.refused.Load()}
}
