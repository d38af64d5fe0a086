package hedge

import (
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

const (
	// DefaultQuantile is the quantile of the latencies that a request waits for before it
	// is hedged.
	DefaultQuantile = 0.95
	// addedShare is the part of the share that each request adds to the account. The rest
	// covers sends of other hosts whose reports have not arrived yet.
	addedShare = 0.9
	// lateReserve is the part of the account that is left to requests that have waited for
	// as long as the bound of the delay: they are the slowest.
	lateReserve = 3
	// minSaved is the number of hedged requests that an account can always save up.
	minSaved = 10
	// spreadTime is the time in which the account is spent if more hedged requests are
	// wanted than the share allows: twice the 0.6 s that reports take to all hosts. Faster,
	// all hosts would spend it before they receive each other's reports.
	spreadTime = 1.2
	// wantedTime is the time constant in seconds of the rate of wanted hedged requests.
	wantedTime = 2.0
	// maxUse is the use of the slots of a pool's usable targets above which no request is
	// hedged, and resumeUse that below which hedging begins again. The distance keeps a
	// pool from changing with each report.
	maxUse    = 0.7
	resumeUse = 0.65
)

// Policy holds the operators' settings.
type Policy struct {
	Share    float64 // hedged requests for each request to a pool, of all hosts together; 0: none
	Quantile float64 // of the latencies, after which a request is hedged
}

// Check returns an error of kind invalid if a value is out of range.
func (p Policy) Check() error {
	switch {
	case !(p.Share >= 0 && p.Share <= 1):
		return fault.Invalid("share of hedged requests", fmt.Sprintf("%v is not from 0 to 1", p.Share), "set it to a share such as 0.05, or to 0 for none")
	case !(p.Quantile > 0 && p.Quantile < 1):
		return fault.Invalid("quantile of hedged requests", fmt.Sprintf("%v is not between 0 and 1", p.Quantile), "set it to a quantile such as 0.95")
	default:
		return nil
	}
}

// Refusal is the reason for which a request is not hedged.
type Refusal uint8

// The values of Refusal.
const (
	Allowed    Refusal = iota
	NoAttempt          // the route allows no further send
	NoTime             // too little time is left before the deadline
	Pressure           // too many slots of the pool are in use
	NoTarget           // no other target has a free slot and looks healthy
	OverShare          // all hosts together used up the share
	OverBudget         // the pool's retry budget is needed for other repeats
	KeyRefused         // the key was withdrawn meanwhile
	RefusalCount
)

// String returns the name used in metrics.
func (r Refusal) String() string {
	return [RefusalCount]string{"allowed", "attempts", "time", "pressure", "target", "share", "budget", "key"}[r]
}

// Facts describe a request that has waited for its delay.
type Facts struct {
	AttemptsLeft bool    // the route allows another send
	TimeLeft     bool    // another send can end before the deadline
	Use          float64 // load of the pool's usable targets, as a share of their slots
	Late         bool    // it has waited for the bound of the delay
	Target       bool    // another target is usable, has a free slot and is not suspected
}

// Decision is the result of Decide.
type Decision struct {
	Refusal Refusal
	Changed bool // hedging of the pool turned off or on
	Active  bool // hedging of the pool is on
}

// Set holds the state of all pools and routes. It is safe for concurrent use.
type Set struct {
	policy Policy
	report func(id model.PoolID, sent bool)

	mu        sync.Mutex
	pools     map[model.PoolID]*pool
	latencies map[Key]*latencies
}

// pool is the state of one pool.
type pool struct {
	// account holds the hedged requests that are left to all hosts together, as far as
	// their reports have arrived. It may be negative: what several hosts sent at the same
	// time is paid back first.
	account float64
	// wanted is the rate per second at which all hosts want to hedge requests.
	wanted  float64
	updated time.Time // when wanted was computed
	off     bool      // too many slots were in use
}

// want counts wanted hedged requests.
func (p *pool) want(now time.Time, n float64) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.wanted *= math.Exp(-elapsed.Seconds() / wantedTime)
		p.updated = now
	}
	p.wanted += n / wantedTime
}

// NewSet returns a set without latencies, with empty accounts. The function report reports
// a wanted hedged request to the other hosts, and whether it was sent.
func NewSet(p Policy, report func(id model.PoolID, sent bool)) *Set {
	return &Set{policy: p, report: report, pools: make(map[model.PoolID]*pool), latencies: make(map[Key]*latencies)}
}

// Enabled reports whether requests are hedged at all.
func (s *Set) Enabled() bool { return s.policy.Share > 0 }

// pool returns the state of a pool. The caller holds the lock.
func (s *Set) pool(id model.PoolID) *pool {
	p := s.pools[id]
	if p == nil {
		p = new(pool)
		s.pools[id] = p
	}
	return p
}

// CountRequests counts first sends of requests to a pool by this host.
func (s *Set) CountRequests(id model.PoolID, n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(id).earn(addedShare * s.policy.Share * n)
}

// earn adds hedged requests to the account.
func (p *pool) earn(n float64) {
	p.account = min(p.account+n, max(minSaved, 2*spreadTime*p.wanted))
}

// Usage is what other hosts report about a pool.
type Usage struct {
	Requests float64 // first sends of requests
	Hedged   float64 // hedged requests
	Wanted   float64 // hedged requests that were wanted, whether sent or not
}

// AddRemote adds the usage of a pool by other hosts.
func (s *Set) AddRemote(now time.Time, id model.PoolID, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(id)
	p.want(now, u.Wanted)
	p.earn(addedShare * s.policy.Share * u.Requests)
	p.account -= u.Hedged
}

// Decide decides on a request to a pool, and counts and reports it if it is hedged. Chance
// is a random number in [0, 1). The function retry takes a send from the pool's retry
// budget; it is called last.
func (s *Set) Decide(now time.Time, id model.PoolID, f Facts, chance float64, retry func() bool) Decision {
	d := s.decide(now, id, f, chance)
	if d.Refusal == Allowed && !retry() {
		d.Refusal = OverBudget
		s.mu.Lock()
		s.pool(id).account++
		s.mu.Unlock()
	}
	switch d.Refusal {
	case Allowed, OverShare, OverBudget:
		s.report(id, d.Refusal == Allowed)
	}
	return d
}

// decide decides without the retry budget, and takes an allowed request from the account.
func (s *Set) decide(now time.Time, id model.PoolID, f Facts, chance float64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(id)
	d := Decision{Refusal: p.refusal(f)}
	// Otherwise the use of the pool is not known, or no target is usable, as after a
	// restart of all of them.
	if f.AttemptsLeft && f.TimeLeft && (f.Target || f.Use > 0) {
		off := f.Use > maxUse || p.off && f.Use > resumeUse
		d.Changed, p.off = off != p.off, off
	}
	d.Active = !p.off
	if d.Refusal != Allowed {
		return d
	}
	p.want(now, 1)
	left := p.account
	if !f.Late {
		left -= lateReserve
	}
	if left < 1 || chance*p.wanted*spreadTime >= left {
		d.Refusal = OverShare
		return d
	}
	p.account--
	return d
}

// refusal returns the reason against a hedged request, apart from the share and the retry
// budget.
func (p *pool) refusal(f Facts) Refusal {
	switch {
	case !f.AttemptsLeft:
		return NoAttempt
	case !f.TimeLeft:
		return NoTime
	case f.Use > maxUse, p.off && f.Use > resumeUse:
		return Pressure
	case !f.Target:
		return NoTarget
	default:
		return Allowed
	}
}

// Delay returns the time after which a request is hedged: the quantile of the recent
// latencies, at most the bound, which is also used while few latencies are known.
func (s *Set) Delay(now time.Time, k Key, bound time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencies[k]
	if l == nil {
		return bound
	}
	if quantile, ok := l.quantile(now, s.policy.Quantile); ok {
		return min(quantile, bound)
	}
	return bound
}

// Record records the latency of one send. For a send that was given up it is the time
// until then: leaving these out would lower the quantile with each hedged request.
func (s *Set) Record(now time.Time, k Key, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencies[k]
	if l == nil {
		// Routes and pools may have disappeared.
		maps.DeleteFunc(s.latencies, func(_ Key, l *latencies) bool { return now.Sub(l.began) >= 2*period })
		l = newLatencies(now)
		s.latencies[k] = l
	}
	l.add(now, latency)
}
