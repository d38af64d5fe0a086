package mesh

import (
	"rhubarbdrift.example/model"
)

// Tally is what a number of exchanges with one target showed.
type Tally struct {
	Good uint32 `cbor:"1,keyasint,omitempty"` // whole answers in time
	Slow uint32 `cbor:"2,keyasint,omitempty"` // no answer for longer than most need
	Lost uint32 `cbor:"3,keyasint,omitempty"` // not reached, or silent
	Bad  uint32 `cbor:"4,keyasint,omitempty"` // failures of the target
	// Load is the newest number of requests that the target ran or queued, plus
	// one; 0 is unknown.
	Load  uint32 `cbor:"5,keyasint,omitempty"`
	Sent  uint32 `cbor:"6,keyasint,omitempty"` // requests sent to the target
	Ended uint32 `cbor:"7,keyasint,omitempty"` // requests that ended there
}

// Use counts requests.
type Use struct {
	Asked uint32 `cbor:"1,keyasint,omitempty"` // requests, whether admitted or not
	Taken uint32 `cbor:"2,keyasint,omitempty"` // admissions of a customer, or repeated sends to a pool
}

// Sum is what happened at a part of the fleet since the last message.
type Sum struct {
	// Hosts is the number of hosts whose reports it holds, and of those that
	// are known to have ended.
	Hosts int `cbor:"1,keyasint,omitempty"`
	// Fresh is the number of hosts among them that began a moment ago.
	Fresh     int                      `cbor:"5,keyasint,omitempty"`
	Targets   map[model.TargetID]Tally `cbor:"2,keyasint,omitempty"`
	Customers map[model.CustomerID]Use `cbor:"3,keyasint,omitempty"`
	Pools     map[model.PoolID]Use     `cbor:"4,keyasint,omitempty"`
}

// Target adds what exchanges with a target showed.
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

// Customer adds requests of a customer.
func (s *Sum) Customer(id model.CustomerID, u Use) { s.Customers = use(s.Customers, id, u) }

// Pool adds requests to a pool.
func (s *Sum) Pool(id model.PoolID, u Use) { s.Pools = use(s.Pools, id, u) }

func use[K comparable](m map[K]Use, id K, u Use) map[K]Use {
	if m == nil {
		m = make(map[K]Use)
	}
	old := m[id]
	m[id] = Use{Asked: old.Asked + u.Asked, Taken: old.Taken + u.Taken}
	return m
}

// Add adds another sum except its number of hosts.
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
