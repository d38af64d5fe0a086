package tokens

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/share"
)

// account is a cache's state for one customer.
type account struct {
	id            model.CustomerID
	shard         model.Shard
	hasGrants     atomic.Bool  // whether grants is not empty
	lastUsedNanos atomic.Int64 // lastRequest in Unix nanoseconds, readable without mu

	mu            sync.Mutex
	grants        []*heldGrant
	lastRequest   time.Time
	demand        share.Demand
	unreported    int            // requests not yet reported to the local owner
	waiters       int            // requests waiting for tokens
	lastGrantSize int            // tokens
	sources       [2]tokenSource // the local owner; the other regions' owners
	completed     chan struct{}  // closed when requestFrom ends; nil if no request waits
}

// tokenSource is one owner or a list of owners to request tokens from, with at
// most one call of requestFrom in flight.
type tokenSource struct {
	requesting bool
	notBefore  time.Time // no token request before
	backoff    time.Duration
	err        error // nil after a grant
}

// finish records the result of requestFrom: err is nil after a grant, and wait is
// the time until the next token as the owner estimates it. index is the source's
// index in account.sources.
func (s *tokenSource) finish(now time.Time, err error, wait time.Duration, index int) {
	s.requesting, s.err = false, err
	if err == nil {
		// The backoff only halves after a grant. If it were reset, a customer
		// above its rate would cause a token request for every few tokens.
		s.backoff /= 2
		s.notBefore = now.Add(s.backoff)
		return
	}
	factor := time.Duration(1)
	if index > 0 {
		factor = remoteBackoffFactor
	}
	s.backoff = min(max(minBackoff*factor, 2*s.backoff), maxBackoff*factor)
	s.notBefore = now.Add(max(min(wait, maxOwnerWait), s.backoff))
}

// completion returns a channel that is closed when the next call of requestFrom
// ends, for either source.
func (a *account) completion() <-chan struct{} {
	if a.completed == nil {
		a.completed = make(chan struct{})
	}
	return a.completed
}

// notifyWaiters wakes all requests that wait on completion.
func (a *account) notifyWaiters() {
	if a.completed != nil {
		close(a.completed)
		a.completed = nil
	}
}

// nextRequest returns the earliest time of the next token request.
func (a *account) nextRequest() time.Time {
	if s := a.sources; s[1].notBefore.Before(s[0].notBefore) {
		return s[1].notBefore
	}
	return a.sources[0].notBefore
}

// heldGrant is a grant at the daemon that received it. free + spent + returned
// <= n; the difference is the tokens of admissions that are neither committed
// nor canceled.
type heldGrant struct {
	id                       uint64
	region                   model.Region
	expires                  time.Time
	prompt                   bool
	n, free, spent, returned int
	acknowledged             quota.Report // last report that the owner has received
}

// countRequest adds a request to the demand and to the count for the local owner,
// and updates the time of the last request.
func (a *account) countRequest(now time.Time) {
	a.lastRequest = now
	a.lastUsedNanos.Store(now.UnixNano())
	a.unreported++
	a.demand.Add(now, 1)
}

// takeToken takes a token from the grant that expires first. It returns nil if no
// token is free.
func (a *account) takeToken(now time.Time) *heldGrant {
	for _, g := range a.grants {
		if g.free > 0 && now.Before(g.expires) {
			g.free--
			return g
		}
	}
	return nil
}

// runsLow reports whether to request more tokens ahead of need: less than half of
// the last grant is free. It is false for a customer whose grants are single
// tokens.
func (a *account) runsLow() bool {
	if a.lastGrantSize < 2 {
		return false
	}
	free := 0
	for _, g := range a.grants {
		free += g.free
	}
	return free < a.lastGrantSize/2
}

// tokensToRequest returns the expected need of the next prefetchDuration, or the
// number of waiting requests if that is higher, and at least 1.
func (a *account) tokensToRequest(now time.Time) int {
	expected := int(math.Ceil(a.demand.Rate(now) * prefetchDuration.Seconds()))
	return max(1, a.waiters, expected)
}

// addGrant adds a grant and returns true. It discards a grant without tokens and
// one whose validity, counted from sent, has ended by now.
func (a *account) addGrant(g quota.Grant, r model.Region, sent, now time.Time) bool {
	expires := sent.Add(min(g.Valid.Duration(), quota.GrantLifetime))
	if g.N < 1 || !now.Before(expires) {
		return false
	}
	a.grants = append(a.grants, &heldGrant{id: g.ID, region: r, expires: expires, prompt: g.Prompt, n: g.N, free: g.N, acknowledged: quota.Report{Grant: g.ID}})
	slices.SortFunc(a.grants, func(x, y *heldGrant) int { return x.expires.Compare(y.expires) })
	a.hasGrants.Store(true)
	a.lastGrantSize = g.N
	return true
}

// refusal returns the error for a request that can get no token before until: Limited
// if a source granted tokens or refused for the limit, otherwise quota.Unreachable.
func (a *account) refusal(now, until time.Time) error {
	for _, s := range a.sources {
		if s.err == nil || fault.Is(s.err, fault.KindLimited) {
			return quota.Limited(max(until.Sub(now), minBackoff))
		}
	}
	return quota.Unreachable(a.sources[0].err)
}

// pendingReports returns the reports that the region's owner has not received.
func (a *account) pendingReports(r model.Region) []quota.Report {
	var list []quota.Report
	for _, g := range a.grants {
		if current := g.report(); g.region == r && current != g.acknowledged {
			list = append(list, current)
		}
	}
	return list
}

func (g *heldGrant) report() quota.Report {
	return quota.Report{Grant: g.id, Spent: g.spent, Returned: g.returned}
}

// acknowledge records that the owner has received the reports.
func (a *account) acknowledge(reports []quota.Report) {
	for _, r := range reports {
		for _, g := range a.grants {
			if g.id == r.Grant {
				g.acknowledged.Spent = max(g.acknowledged.Spent, r.Spent)
				g.acknowledged.Returned = max(g.acknowledged.Returned, r.Returned)
			}
		}
	}
}

// dueRegions prepares reports and returns the regions whose owners should get one
// now; a region may occur more than once. It first drops expired and fully
// reported grants, and marks unused tokens as returned if the customer is idle, if
// the grant expires soon or with returnAll.
func (a *account) dueRegions(now time.Time, returnAll bool) []model.Region {
	a.grants = slices.DeleteFunc(a.grants, func(g *heldGrant) bool {
		return !now.Before(g.expires) || g.acknowledged.Spent+g.acknowledged.Returned == g.n
	})
	a.hasGrants.Store(len(a.grants) > 0)
	idle := returnAll || now.Sub(a.lastRequest) > returnIdleAfter
	var dueRegions []model.Region
	for _, g := range a.grants {
		if idle || g.expires.Sub(now) < returnBeforeExpiry {
			g.returned += g.free
			g.free = 0
		}
		if g.returned > g.acknowledged.Returned || ((g.prompt || returnAll) && g.spent > g.acknowledged.Spent) {
			dueRegions = append(dueRegions, g.region)
		}
	}
	return dueRegions
}

// Admission allows one request to run. It must not be copied after
// the first call of a method.
type Admission struct {
	cache   *Cache
	account *account
	grant   *heldGrant
	state   admissionState
}

type admissionState int

const (
	admitted admissionState = iota
	committed
	ended // canceled, or expired before Commit
)

// Commit reports whether the request may still run. Call it immediately before
// the write to the target, because it commits the token as spent. Once it has
// returned true it always does, since a retry needs no new admission.
func (a *Admission) Commit() bool {
	if a.state != admitted || a.grant == nil {
		return a.state == committed
	}
	a.account.mu.Lock()
	defer a.account.mu.Unlock()
	if !a.cache.clock().Before(a.grant.expires) {
		a.state = ended
		return false
	}
	a.grant.spent++
	a.state = committed
	return true
}

// Cancel makes the token free for another request. It has no effect after
// a call of Commit.
func (a *Admission) Cancel() {
	if a.state != admitted || a.grant == nil {
		return
	}
	a.state = ended
	a.account.mu.Lock()
	defer a.account.mu.Unlock()
	a.grant.free++
}
