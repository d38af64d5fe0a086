package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

// Set holds the rate limits of all customers and the retry budgets of all pools. It
// is safe for concurrent use.
type Set struct {
	allowance Allowance
	tolerance Tolerance
	reporter  Reporter

	mu        sync.Mutex
	past      Past      // up to reachedAt, for new buckets
	reachedAt time.Time // when fleet was set
	fleet     Reachable // last one set, for new buckets and budgets
	customers map[model.CustomerID]*Bucket
	pools     map[model.PoolID]*Budget
}

// Reporter sends this daemon's usage to the other daemons.
type Reporter interface {
	ReportCustomer(id model.CustomerID, received, admitted uint32)
	ReportPool(id model.PoolID, requests, retries uint32)
}

// NewSet returns a set with the retry allowance a for each pool and the tolerance t
// for the customers' limits, of a daemon that started at the given time.
func NewSet(started time.Time, a Allowance, t Tolerance, r Reporter) *Set {
	return &Set{allowance: a, tolerance: t, reporter: r, past: Past{Started: started}, reachedAt: started, fleet: Reachable{Share: 1}, customers: make(map[model.CustomerID]*Bucket), pools: make(map[model.PoolID]*Budget)}
}

// SetReachable sets the share of the fleet that is reachable from this daemon.
func (s *Set) SetReachable(now time.Time, r Reachable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReachable(now, r)
}

// Restart keeps this daemon to its share of the fleet after a pause, in which the others
// may have used all but that. Until the next SetReachable nothing else is added.
func (s *Set) Restart(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReachable(now, Reachable{Share: share})
	s.past = Past{Started: now}
}

// setReachable implements SetReachable. The caller holds the lock.
func (s *Set) setReachable(now time.Time, r Reachable) {
	s.past.Heard = s.heard(now)
	s.fleet, s.reachedAt = r, now
	for _, b := range s.customers {
		b.SetReachable(now, r)
	}
	for _, b := range s.pools {
		b.SetFleetShare(r.Share)
	}
}

// heard returns Past.Heard at a time. The caller holds the lock.
func (s *Set) heard(now time.Time) time.Duration {
	share := min(max(s.fleet.Share, 0), 1)
	return s.past.Heard + time.Duration(share*float64(max(now.Sub(s.reachedAt), 0)))
}

// Admit decides on a request of a customer, as Bucket.Admit does, and reports it.
// Without a rate, the customer has no limit.
func (s *Set) Admit(now time.Time, c *model.Customer) (retryDelay time.Duration, ok bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	s.mu.Lock()
	retryDelay, ok = s.bucket(now, c).Admit(now, rand.Float64())
	s.mu.Unlock()
	admitted := uint32(0)
	if ok {
		admitted = 1
	}
	s.reporter.ReportCustomer(c.ID, 1, admitted)
	return retryDelay, ok
}

// Cancel puts back the token of an admitted request that was not sent. The other
// daemons still count the request as admitted.
func (s *Set) Cancel(c *model.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.customers[c.ID]; b != nil {
		b.Cancel()
	}
}

// bucket returns the customer's bucket, resized to its current limit. The caller
// holds the lock.
func (s *Set) bucket(now time.Time, c *model.Customer) *Bucket {
	limit := Limit{Rate: float64(c.Rate), Burst: float64(c.Burst)}
	b := s.customers[c.ID]
	if b == nil {
		b = New(now, Past{Started: s.past.Started, Heard: s.heard(now)}, limit, s.tolerance, s.fleet)
		s.customers[c.ID] = b
	}
	if b.limit != limit {
		b.Resize(now, limit)
	}
	return b
}

// Usage is the usage of one customer or pool that other daemons report.
type Usage struct {
	Requests float64 // requests
	Granted  float64 // admissions of a customer, or retries of a pool
}

// AddRemoteCustomer adds the usage of a customer that other daemons reported.
func (s *Set) AddRemoteCustomer(now time.Time, c *model.Customer, u Usage) {
	if c.Rate <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now, c).AddRemote(now, u.Granted, u.Requests)
}

// budget returns the pool's budget. The caller holds the lock.
func (s *Set) budget(id model.PoolID) *Budget {
	b := s.pools[id]
	if b == nil {
		b = NewBudget(s.allowance)
		b.SetFleetShare(s.fleet.Share)
		s.pools[id] = b
	}
	return b
}

// AddRemotePool adds the usage of a pool that other daemons reported.
func (s *Set) AddRemotePool(id model.PoolID, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(id)
	b.AddRequests(u.Requests)
	b.AddRemoteRetries(u.Granted)
}

// CountRequest counts and reports the first send of a request to a pool.
func (s *Set) CountRequest(id model.PoolID) {
	s.mu.Lock()
	s.budget(id).AddRequests(1)
	s.mu.Unlock()
	s.reporter.ReportPool(id, 1, 0)
}

// Retry reports whether a pool's budget allows a retry, as Budget.Retry does.
func (s *Set) Retry(id model.PoolID, keepShare float64) bool {
	s.mu.Lock()
	ok := s.budget(id).Retry(keepShare)
	s.mu.Unlock()
	if ok {
		s.reporter.ReportPool(id, 0, 1)
	}
	return ok
}
