package mesh

import (
	"math"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TargetCounts counts what exchanges with one target showed.
type TargetCounts struct {
	Good        uint32 `cbor:"1,keyasint,omitempty"` // complete responses in time
	Slow        uint32 `cbor:"2,keyasint,omitempty"` // unanswered for longer than most requests take
	Unreachable uint32 `cbor:"3,keyasint,omitempty"` // the target could not be reached or sent nothing
	Failed      uint32 `cbor:"4,keyasint,omitempty"` // error responses and other failures caused by the target
	// Load is the target's last reported number of running and queued requests,
	// plus one; 0 means unknown.
	Load  uint32 `cbor:"5,keyasint,omitempty"`
	Sent  uint32 `cbor:"6,keyasint,omitempty"` // requests sent to the target
	Ended uint32 `cbor:"7,keyasint,omitempty"` // requests that ended at the target
	// Leaving is the start time, in Unix milliseconds plus one, of the target's
	// incarnation that said that it leaves; 0 means that none did.
	Leaving int64 `cbor:"8,keyasint,omitempty"`
	// Limit is the latest limit that the target named, in thousandths of a request per
	// second plus limitOffset; noLimit means that it names none any more, 0 that nothing
	// is reported.
	Limit uint32 `cbor:"9,keyasint,omitempty"`
	// WantedUrgent and WantedOther count the requests that would have used the target
	// while it has a limit, whether admitted or not: the most urgent ones and the others.
	WantedUrgent uint32 `cbor:"10,keyasint,omitempty"`
	WantedOther  uint32 `cbor:"11,keyasint,omitempty"`
}

// Values of TargetCounts.Limit.
const (
	noLimit     = 1
	limitOffset = 2
	maxLimit    = 1 << 20 // requests per second; a higher limit does not limit anything
)

// EncodeLimit returns the value of TargetCounts.Limit for a limit, or for none if limited
// is false.
func EncodeLimit(limited bool, rate model.Rate) uint32 {
	if !limited {
		return noLimit
	}
	return limitOffset + uint32(math.Round(1000*min(float64(rate), maxLimit)))
}

// NamedLimit returns the reported limit. Known is false if there is no report, and
// limited if the target names no limit any more.
func (t *TargetCounts) NamedLimit() (rate model.Rate, limited, known bool) {
	if t.Limit < limitOffset {
		return 0, false, t.Limit == noLimit
	}
	return model.Rate(float64(t.Limit-limitOffset) / 1000), true, true
}

// Usage counts requests of a customer or to a pool.
type Usage struct {
	Requests uint32 `cbor:"1,keyasint,omitempty"` // requests, whether admitted or not
	Granted  uint32 `cbor:"2,keyasint,omitempty"` // admitted requests of a customer, or retries to a pool
	// Hedged counts those retries that were sent while another send was in flight, and
	// Wanted those that were wanted, whether sent or not. Both are of pools with a share
	// of hedged requests.
	Hedged uint32 `cbor:"3,keyasint,omitempty"`
	Wanted uint32 `cbor:"4,keyasint,omitempty"`
}

// Sum is the aggregated report of a part of the fleet since the previous message.
// The zero value is an empty report.
type Sum struct {
	// Reach names the hosts that the sum covers. Hosts and New are their number, and that of
	// those which started within model.WarmUpPeriod, for earlier releases.
	Reach     *Reach                          `cbor:"6,keyasint,omitempty"`
	Hosts     int                             `cbor:"1,keyasint,omitempty"`
	New       int                             `cbor:"5,keyasint,omitempty"`
	Targets   map[model.TargetID]TargetCounts `cbor:"2,keyasint,omitempty"`
	Customers map[model.CustomerID]Usage      `cbor:"3,keyasint,omitempty"`
	Pools     map[model.PoolID]Usage          `cbor:"4,keyasint,omitempty"`
}

// maxStartedAt is above every start time of a target, in Unix milliseconds.
const maxStartedAt = 1 << 53

// dropOdd removes the counts of targets, customers and pools whose name or start time no
// object can have.
func (s *Sum) dropOdd() {
	for id, t := range s.Targets {
		if !isName(string(id)) || t.Leaving < 0 || t.Leaving > maxStartedAt {
			delete(s.Targets, id)
		}
	}
	for id := range s.Customers {
		if !isName(string(id)) {
			delete(s.Customers, id)
		}
	}
	for id := range s.Pools {
		if !isName(string(id)) {
			delete(s.Pools, id)
		}
	}
}

func isName(text string) bool { return text != "" && len(text) <= store.MaxName }

// AddTarget adds counts of a target. A known load or limit replaces the previous one.
func (s *Sum) AddTarget(id model.TargetID, t TargetCounts) {
	if s.Targets == nil {
		s.Targets = make(map[model.TargetID]TargetCounts)
	}
	old := s.Targets[id]
	old.Good += t.Good
	old.Slow += t.Slow
	old.Unreachable += t.Unreachable
	old.Failed += t.Failed
	old.Sent += t.Sent
	old.Ended += t.Ended
	if t.Load > 0 {
		old.Load = t.Load
	}
	old.Leaving = max(old.Leaving, t.Leaving)
	old.WantedUrgent += t.WantedUrgent
	old.WantedOther += t.WantedOther
	if t.Limit > 0 {
		old.Limit = t.Limit
	}
	s.Targets[id] = old
}

// AddCustomer adds the requests of a customer.
func (s *Sum) AddCustomer(id model.CustomerID, u Usage) { s.Customers = addUsage(s.Customers, id, u) }

// AddPool adds the requests to a pool.
func (s *Sum) AddPool(id model.PoolID, u Usage) { s.Pools = addUsage(s.Pools, id, u) }

// addUsage adds u to the entry of id in m, which may be nil, and returns the map.
func addUsage[K comparable](m map[K]Usage, id K, u Usage) map[K]Usage {
	if m == nil {
		m = make(map[K]Usage)
	}
	old := m[id]
	m[id] = Usage{Requests: old.Requests + u.Requests, Granted: old.Granted + u.Granted, Hedged: old.Hedged + u.Hedged, Wanted: old.Wanted + u.Wanted}
	return m
}

// Add adds all counts of another sum except those of hosts.
func (s *Sum) Add(o *Sum) {
	for id, t := range o.Targets {
		s.AddTarget(id, t)
	}
	for id, u := range o.Customers {
		s.AddCustomer(id, u)
	}
	for id, u := range o.Pools {
		s.AddPool(id, u)
	}
}
