package mesh

import (
	"rhubarbdrift.example/model"
)

// Tally counts what exchanges with one target showed.
type Tally struct {
	Good uint32 `cbor:"1,keyasint,omitempty"` // complete answers in time
	Slow uint32 `cbor:"2,keyasint,omitempty"` // unanswered for longer than most requests take
	Lost uint32 `cbor:"3,keyasint,omitempty"` // the target was unreachable or did not answer
	Bad  uint32 `cbor:"4,keyasint,omitempty"` // failures that the target answered or caused
	// Load is the target's last reported number of running and queued requests,
	// plus one; 0 means unknown.
	Load  uint32 `cbor:"5,keyasint,omitempty"`
	Sent  uint32 `cbor:"6,keyasint,omitempty"` // requests sent to the target
	Ended uint32 `cbor:"7,keyasint,omitempty"` // requests that ended at the target
}

// Use counts requests of a customer or to a pool.
type Use struct {
	Asked uint32 `cbor:"1,keyasint,omitempty"` // requests, whether admitted or not
	Taken uint32 `cbor:"2,keyasint,omitempty"` // admitted requests of a customer, or retries to a pool
}

// Sum is the aggregated report of a part of the fleet since the previous message.
// The zero value is an empty report.
type Sum struct {
	// Hosts is the number of hosts that the sum covers, including those known to
	// be stopped.
	Hosts int `cbor:"1,keyasint,omitempty"`
	// Fresh is the number of those hosts that started within model.Settling.
	Fresh     int                      `cbor:"5,keyasint,omitempty"`
	Targets   map[model.TargetID]Tally `cbor:"2,keyasint,omitempty"`
	Customers map[model.CustomerID]Use `cbor:"3,keyasint,omitempty"`
	Pools     map[model.PoolID]Use     `cbor:"4,keyasint,omitempty"`
}

// Target adds a tally of a target. A known load replaces the previous one.
func (s *Sum) Target(id model.TargetID, t Tally) {
	if s.Targets == nil {
		s.Targets = make(map[model.TargetID]Tally)
	}
	old := s.Targets[id]
	old.Good += t.Good
	old.Slow += t.Slow
	old.Lost += t.Lost
	old.Bad += t.Bad
	old.Sent += t.Sent
	old.Ended += t.Ended
	if t.Load > 0 {
		old.Load = t.Load
	}
	s.Targets[id] = old
}

// Customer adds the requests of a customer.
func (s *Sum) Customer(id model.CustomerID, u Use) { s.Customers = addUse(s.Customers, id, u) }

// Pool adds the requests to a pool.
func (s *Sum) Pool(id model.PoolID, u Use) { s.Pools = addUse(s.Pools, id, u) }

// addUse adds u to the entry of id in m, which may be nil, and returns the map.
func addUse[K comparable](m map[K]Use, id K, u Use) map[K]Use {
	if m == nil {
		m = make(map[K]Use)
	}
	old := m[id]
	m[id] = Use{Asked: old.Asked + u.Asked, Taken: old.Taken + u.Taken}
	return m
}

// Add adds all counts of another sum except Hosts and Fresh.
func (s *Sum) Add(o *Sum) {
	for id, t := range o.Targets {
		s.Target(id, t)
	}
	for id, u := range o.Customers {
		s.Customer(id, u)
	}
	for id, u := range o.Pools {
		s.Pool(id, u)
	}
}
