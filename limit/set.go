package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/model"
)

// account decides on the requests of one customer. It is not safe for concurrent use.
type account interface {
	// Admit decides on one request, with a random number in [0, 1). If it is refused,
	// retryDelay is the delay after which a retry may succeed.
	Admit(now time.Time, chance float64) (retryDelay time.Duration, ok bool)
	// AddRemote counts requests that other daemons received and admitted.
	AddRemote(now time.Time, admitted, requests float64)
	// SetReachable sets the share of the fleet that is reachable.
	SetReachable(now time.Time, r Reachable)
	// Restart keeps this daemon to its share after a pause.
	Restart(now time.Time, share float64)
	// Resize changes the rate and burst.
	Resize(now time.Time, limit Limit)
	// Cancel takes back an admitted request that was not sent.
	Cancel()
	// explain returns the state and changes nothing.
	explain(now time.Time) State
}

// customer is the account of a customer with the limit that it was resized to.
type customer struct {
	account
	limit   Limit
	metrics *customerMetrics // nil: none
}

// Set holds the rate limits of all customers and the retry budgets of all pools. It
// is safe for concurrent use.
type Set struct {
	allowance Allowance
	tolerance Tolerance
	reporter  Reporter
	windows   bool        // customers' limits are decided by Window instead of Bucket
	scope     tally.Scope // of the metrics of customers; nil: none

	mu        sync.Mutex
	past      Past      // up to reachedAt, for new buckets
	reachedAt time.Time // when fleet was set
	fleet     Reachable // last one set, for new buckets and budgets
	customers map[model.CustomerID]*customer
	measured  time.Time // when the gauges of customers were last set
	pools     map[model.PoolID]*Budget
}

// Reporter sends this daemon's usage to the other daemons.
type Reporter interface {
	ReportCustomer(id model.CustomerID, received, admitted uint32)
	ReportPool(id model.PoolID, requests, retries uint32)
}

// Option sets an optional property of a Set.
type Option func(*Set)

// WithWindows sets that customers may use their rate times Tolerance.Window plus their
// burst in any such window, as Window describes, instead of a token bucket.
func WithWindows() Option { return func(s *Set) { s.windows = true } }

// WithMeter sets the scope in which the use and the refusals of each customer are measured.
func WithMeter(scope tally.Scope) Option { return func(s *Set) { s.scope = scope } }

// NewSet returns a set with the retry allowance a for each pool and the tolerance t
// for the customers' limits, of a daemon that started at the given time.
func NewSet(started time.Time, a Allowance, t Tolerance, r Reporter, options ...Option) *Set {
	s := &Set{allowance: a, tolerance: t, reporter: r, past: Past{Started: started}, reachedAt: started, fleet: Reachable{Share: 1}, customers: make(map[model.CustomerID]*customer), pools: make(map[model.PoolID]*Budget)}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetReachable sets the share of the fleet that is reachable from this daemon.
func (s *Set) SetReachable(now time.Time, r Reachable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFleet(now, r)
	for _, c := range s.customers {
		c.SetReachable(now, r)
	}
	s.measure(now)
}

// Restart keeps this daemon to its share of the fleet after a pause, in which the others
// may have used all but that. Until the next SetReachable nothing else is added.
func (s *Set) Restart(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFleet(now, Reachable{Share: share})
	for _, c := range s.customers {
		c.Restart(now, share)
	}
	s.past = Past{Started: now}
}

// setFleet sets the share of the fleet for new accounts and for budgets. The caller holds
// the lock.
func (s *Set) setFleet(now time.Time, r Reachable) {
	s.past.Heard = s.heard(now)
	if before := min(max(s.fleet.Share, 0), 1); s.windows && r.Share > before {
		// Those that return were not heard, and may have used their part of the window.
		s.past.Heard = time.Duration(before / r.Share * float64(min(s.past.Heard, s.tolerance.Window)))
	}
	s.fleet, s.reachedAt = r, now
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
	account := s.customer(now, c)
	retryDelay, ok = account.Admit(now, rand.Float64())
	s.mu.Unlock()
	account.metrics.count(ok)
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

// customer returns the customer's account, resized to its current limit. The caller
// holds the lock.
func (s *Set) customer(now time.Time, c *model.Customer) *customer {
	limit := Limit{Rate: float64(c.Rate), Burst: float64(c.Burst)}
	known := s.customers[c.ID]
	if known == nil {
		known = &customer{account: s.newAccount(now, limit), limit: limit, metrics: newCustomerMetrics(s.scope, c.ID)}
		s.customers[c.ID] = known
	}
	if known.limit != limit {
		known.limit = limit
		known.Resize(now, limit)
	}
	return known
}

func (s *Set) newAccount(now time.Time, limit Limit) account {
	past := Past{Started: s.past.Started, Heard: s.heard(now)}
	if s.windows {
		return NewWindow(now, past, limit, s.tolerance, s.fleet)
	}
	return New(now, past, limit, s.tolerance, s.fleet)
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
	s.customer(now, c).AddRemote(now, u.Granted, u.Requests)
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
