package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

// Set holds the limits of all customers and pools. It is safe for concurrent use.
type Set struct {
	allowance Allowance
	tolerance Tolerance
	report    Report

	mu        sync.Mutex
	begun     time.Time
	heard     Heard
	customers map[model.CustomerID]*Bucket
	pools     map[model.PoolID]*Budget
}

// Report tells the other daemons what this one used.
type Report interface {
	Customer(id model.CustomerID, asked, admitted uint32)
	Pool(id model.PoolID, requests, retries uint32)
}

// NewSet returns a set that allows each pool the repeated sends of a, and that
// exceeds the customers' limits by t at most. The daemon began at a time.
func NewSet(begun time.Time, a Allowance, t Tolerance, r Report) *Set {
	return &Set{allowance: a, tolerance: t, report: r, begun: begun, heard: Heard{Part: 1}, customers: make(map[model.CustomerID]*Bucket), pools: make(map[model.PoolID]*Budget)}
}

// Part sets the part of the fleet that this daemon hears of.
func (s *Set) Part(now time.Time, h Heard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = h
	for _, b := range s.customers {
		b.Part(now, h)
	}
	for _, b := range s.pools {
		b.Part(h.Part)
	}
}

// Admit decides on a request of a customer. A rate of 0 is no limit.
func (s *Set) Admit(now time.Time, c *model.Customer) (wait time.Duration, ok bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	s.mu.Lock()
	wait, ok = s.bucket(now, c).Admit(now, rand.Float64())
	s.mu.Unlock()
	admitted := uint32(0)
	if ok {
		admitted = 1
	}
	s.report.Customer(c.ID, 1, admitted)
	return wait, ok
}

// Cancel gives back the token of a request that was not sent.
func (s *Set) Cancel(c *model.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.customers[c.ID]; b != nil {
		b.Cancel()
	}
}

// bucket returns the customer's bucket with its present limit.
func (s *Set) bucket(now time.Time, c *model.Customer) *Bucket {
	size := Size{Rate: float64(c.Rate), Burst: float64(c.Burst)}
	b := s.customers[c.ID]
	if b == nil {
		b = New(now, s.begun, size, s.tolerance, s.heard)
		s.customers[c.ID] = b
	}
	if b.size != size {
		b.Resize(now, size)
	}
	return b
}

// Use is what the other daemons report of one customer or pool.
type Use struct {
	Asked float64 // requests
	Taken float64 // admissions, or repeated sends
}

// Customer takes a report of the other daemons on a customer.
func (s *Set) Customer(now time.Time, c *model.Customer, u Use) {
	if c.Rate <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now, c).Others(now, u.Taken, u.Asked)
}

func (s *Set) budget(id model.PoolID) *Budget {
	b := s.pools[id]
	if b == nil {
		b = NewBudget(s.allowance)
		b.Part(s.heard.Part)
		s.pools[id] = b
	}
	return b
}

// Pool takes a report of the other daemons on a pool.
func (s *Set) Pool(id model.PoolID, u Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(id)
	b.Requests(u.Asked)
	b.Others(u.Taken)
}

// Request counts the first send of a request to a pool.
func (s *Set) Request(id model.PoolID) {
	s.mu.Lock()
	s.budget(id).Requests(1)
	s.mu.Unlock()
	s.report.Pool(id, 1, 0)
}

// Retry takes one repeated send, and keeps a share of the reserve.
func (s *Set) Retry(id model.PoolID, keep float64) bool {
	s.mu.Lock()
	ok := s.budget(id).Retry(keep)
	s.mu.Unlock()
	if ok {
		s.report.Pool(id, 0, 1)
	}
	return ok
}
