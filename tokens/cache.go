// Package tokens admits requests within their customers' limits. It spends tokens
// that the owners of the customers' shards grant (package quota).
//
// For a customer with many requests, tokens are requested ahead of need, for the
// expected demand of 200 ms; otherwise they are requested one by one. Spent and
// returned tokens are reported with the next token request, or in a message of
// their own if the owner needs the report soon. While the local owner is
// unreachable or its share is used up, tokens are requested from the owners in
// the other regions.
//
// # Usage
//
//	cache := tokens.New(origin, regions, client)
//	... run cache.Run(ctx)
//	a, err := cache.Admit(ctx, customer)
//	if err != nil {
//		return err // fault.KindLimited or fault.KindUnavailable; quota.WaitOf(err) is the Retry-After
//	}
//	... queue, pick a target
//	if !a.Commit() {
//		return late // the grant expired while the request waited: not run
//	}
//	... write to the target
//
// Commit is the commit point: the token counts as spent from then on. If a request
// ends before that, call Cancel, so that another request can use the token. On a
// planned stop call ReturnAll after the last request has ended.
package tokens

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

const (
	// maxTokenWait bounds the time that a request waits for a token.
	maxTokenWait = 60 * time.Millisecond
	// localTimeout bounds a call to the local region's owner, which takes about 1 ms.
	localTimeout = 20 * time.Millisecond
	// remoteTimeout bounds a call to another region's owner, which takes about 12 ms.
	remoteTimeout = 40 * time.Millisecond
	// avoidDuration is the time for which the owner of a shard in a region gets
	// no further token requests after it was not reached.
	avoidDuration = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the time without token requests after a
	// refusal. It doubles with each refusal in a row, so that a customer far
	// above its rate causes few token requests. Traffic to other regions is
	// billed, so the backoff there is remoteBackoffFactor times as long.
	minBackoff          = 5 * time.Millisecond
	maxBackoff          = 40 * time.Millisecond
	remoteBackoffFactor = 5
	// maxOwnerWait bounds the wait in an owner's refusal. The owner measures the
	// demand by token requests, and a share move can make tokens available
	// earlier than the refusal estimated.
	maxOwnerWait = 100 * time.Millisecond
	// prefetchDuration is the time whose expected demand one token request covers.
	prefetchDuration = 200 * time.Millisecond
	// reportInterval is the period at which due reports are sent.
	reportInterval = 25 * time.Millisecond
	// returnIdleAfter is the time without requests of a customer after which its
	// unused tokens are returned.
	returnIdleAfter = 250 * time.Millisecond
	// returnBeforeExpiry is the time before a grant's expiry at which its unused
	// tokens are returned.
	returnBeforeExpiry = 75 * time.Millisecond
	// evictAfter is the time without requests after which a customer's account is
	// deleted, and the period at which this is checked.
	evictAfter = 10 * time.Second
)

// Cache admits requests with tokens from the owners of the customers' shards.
// Its methods may be called concurrently.
type Cache struct {
	origin  quota.Origin
	regions []model.Region // local region first
	client  quota.TokenClient
	shards  int
	clock   model.Clock
	seq     atomic.Uint64

	mu         sync.RWMutex
	accounts   map[model.CustomerID]*account
	granted    map[*account]struct{}     // accounts that may have grants
	avoidUntil map[regionShard]time.Time // owners that were not reached
}

// regionShard identifies a shard in a region, which has one owner.
type regionShard struct {
	region model.Region
	shard  model.Shard
}

// Option sets an option of a Cache.
type Option func(*Cache)

// WithClock replaces time.Now.
func WithClock(c model.Clock) Option { return func(tc *Cache) { tc.clock = c } }

// WithShards sets the number of shards, the same on all daemons. The default is
// quota.DefaultShards.
func WithShards(n int) Option { return func(tc *Cache) { tc.shards = n } }

// New returns the token cache of a daemon. Tokens are requested from the origin's
// region first and from the others in their order. Call Run to send reports.
func New(origin quota.Origin, regions []model.Region, client quota.TokenClient, options ...Option) *Cache {
	tc := &Cache{
		origin: origin, regions: []model.Region{origin.Region}, client: client, shards: quota.DefaultShards, clock: time.Now,
		accounts: map[model.CustomerID]*account{}, granted: map[*account]struct{}{}, avoidUntil: map[regionShard]time.Time{},
	}
	for _, r := range regions {
		if r != origin.Region {
			tc.regions = append(tc.regions, r)
		}
	}
	for _, f := range options {
		f(tc)
	}
	return tc
}

// Admit takes a token for one request of the customer. If none is free, it
// requests tokens from the owners and waits at most maxTokenWait (60 ms). Its
// errors have the kinds fault.KindLimited, fault.KindUnavailable if no owner was reached
// (both quota.Refusal), and fault.KindTimeout if ctx ended. After an error the request
// must not run.
func (tc *Cache) Admit(ctx context.Context, c *model.Customer) (Admission, error) {
	a := tc.account(c.ID)
	now := tc.clock()
	a.mu.Lock()
	a.countRequest(now)
	g := a.takeToken(now)
	if g == nil {
		a.mu.Unlock()
		return tc.wait(ctx, a, now.Add(maxTokenWait))
	}
	if a.runsLow() {
		tc.requestTokens(a, now)
	}
	a.mu.Unlock()
	return Admission{cache: tc, account: a, grant: g}, nil
}

// account returns the customer's account and creates it if necessary.
func (tc *Cache) account(id model.CustomerID) *account {
	tc.mu.RLock()
	a := tc.accounts[id]
	tc.mu.RUnlock()
	if a != nil {
		return a
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if a = tc.accounts[id]; a == nil {
		a = &account{id: id, shard: model.ShardOf(id, tc.shards)}
		tc.accounts[id] = a
	}
	return a
}

// wait requests tokens and waits for one until the deadline.
func (tc *Cache) wait(ctx context.Context, a *account, deadline time.Time) (Admission, error) {
	a.mu.Lock()
	a.waiters++
	defer func() {
		a.waiters--
		a.mu.Unlock()
	}()
	for {
		now := tc.clock()
		if g := a.takeToken(now); g != nil {
			return Admission{cache: tc, account: a, grant: g}, nil
		}
		until := deadline
		if !tc.requestTokens(a, now) {
			until = a.nextRequest()
		}
		if !now.Before(deadline) || until.After(deadline) {
			return Admission{}, a.refusal(now, until)
		}
		completed := a.completion()
		a.mu.Unlock()
		err := sleep(ctx, completed, until.Sub(now))
		a.mu.Lock()
		if err != nil {
			return Admission{}, fault.Wrap(fault.KindTimeout, err, "the request ended while it waited for its limit", "retry with a longer deadline")
		}
	}
}

// sleep waits until done is closed, d has passed or ctx ends. Only the last is an error.
func sleep(ctx context.Context, done <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return nil
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestTokens starts token requests and reports whether one is in flight. The
// caller must hold a.mu. The owners in the other regions are tried while the local
// owner refuses or while no token request may be sent to it yet (notBefore). A
// token request is not canceled with the request that caused it, since other
// requests wait for it too.
func (tc *Cache) requestTokens(a *account, now time.Time) bool {
	for i := range a.sources {
		s := &a.sources[i]
		if !s.requesting && !now.Before(s.notBefore) {
			s.requesting = true
			go tc.requestFrom(a, s, i) // ends after at most one timeout per region
		}
		if s.requesting && s.err == nil {
			break // the next source is not needed before this one refuses
		}
	}
	return a.sources[0].requesting || a.sources[1].requesting
}

// requestFrom requests tokens from the owners of the source a.sources[index], one
// after the other until one grants some, and then wakes the waiting requests. Index 0
// is the local owner, 1 the owners in the other regions.
func (tc *Cache) requestFrom(a *account, s *tokenSource, index int) {
	candidates, timeout := tc.regions[:1], localTimeout
	if index > 0 {
		candidates, timeout = tc.regions[1:], remoteTimeout
	}
	cause, wait := quota.Unreachable(nil), time.Duration(0)
	for _, r := range candidates {
		if tc.isAvoided(regionShard{r, a.shard}) {
			continue
		}
		err := tc.sendRequest(a, r, timeout, true)
		if err == nil {
			cause = nil
			break
		}
		if d := quota.WaitOf(err); d > 0 && (wait == 0 || d < wait) {
			wait = d
		}
		cause = err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.finish(tc.clock(), cause, wait, index)
	a.notifyWaiters()
}

// sendRequest sends one token request with the pending reports to the region's owner.
// Without wantTokens it only reports.
func (tc *Cache) sendRequest(a *account, r model.Region, timeout time.Duration, wantTokens bool) error {
	a.mu.Lock()
	t := quota.TokenRequest{From: tc.origin, Seq: tc.seq.Add(1), Customer: a.id, Reports: a.pendingReports(r)}
	sent := tc.clock()
	if wantTokens {
		t.Tokens = a.tokensToRequest(sent)
	}
	if r == tc.origin.Region {
		t.Requests, a.unreported = a.unreported, 0
	}
	a.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	g, err := tc.client.RequestTokens(ctx, r, a.shard, t)
	if isUnreached(err) {
		tc.avoid(regionShard{r, a.shard})
		return err
	}
	a.mu.Lock()
	a.acknowledge(t.Reports)
	added := err == nil && a.addGrant(g, r, sent, tc.clock())
	a.mu.Unlock()
	if added {
		tc.mu.Lock()
		tc.granted[a] = struct{}{}
		tc.mu.Unlock()
	}
	return err
}

// isUnreached reports whether a call did not reach the shard's owner. That includes
// quota.NotOwner, the answer of a daemon that does not own the shard.
func isUnreached(err error) bool {
	switch fault.KindOf(err) {
	case fault.KindLimited, fault.KindConflict, fault.KindMissing:
		return false
	default:
		return err != nil
	}
}

func (tc *Cache) isAvoided(id regionShard) bool {
	tc.mu.RLock()
	defer tc.mu.RUnlock()
	return tc.clock().Before(tc.avoidUntil[id])
}

func (tc *Cache) avoid(id regionShard) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.avoidUntil[id] = tc.clock().Add(avoidDuration)
}

// Run sends reports and returns unused tokens until ctx ends. It always returns
// nil.
func (tc *Cache) Run(ctx context.Context) error {
	reportTick, evictTick := time.NewTicker(reportInterval), time.NewTicker(evictAfter)
	defer reportTick.Stop()
	defer evictTick.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reportTick.C:
			tc.sendReports(false, &sending)
		case <-evictTick.C:
			tc.evictIdle()
		}
	}
}

// sendReports starts to send the reports that are due, in goroutines of the wait
// group. With returnAll it returns all unused tokens.
func (tc *Cache) sendReports(returnAll bool, sending *sync.WaitGroup) {
	now := tc.clock()
	for _, a := range tc.withGrants() {
		a.mu.Lock()
		dueRegions := a.dueRegions(now, returnAll)
		a.mu.Unlock()
		for i, r := range tc.regions {
			if !slices.Contains(dueRegions, r) {
				continue
			}
			timeout := remoteTimeout
			if i == 0 {
				timeout = localTimeout
			}
			// Errors are ignored: after a lost report the tokens stay outstanding until
			// it is repeated or their grant expires.
			sending.Go(func() { _ = tc.sendRequest(a, r, timeout, false) })
		}
	}
}

// withGrants returns the accounts that have grants and removes the others from granted.
func (tc *Cache) withGrants() []*account {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	list := make([]*account, 0, len(tc.granted))
	for a := range tc.granted {
		if a.hasGrants.Load() {
			list = append(list, a)
		} else {
			delete(tc.granted, a)
		}
	}
	return list
}

// evictIdle deletes the accounts without grants and without requests for evictAfter.
func (tc *Cache) evictIdle() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	now := tc.clock()
	for id, a := range tc.accounts {
		if !a.hasGrants.Load() && now.Sub(time.Unix(0, a.lastUsedNanos.Load())) > evictAfter {
			delete(tc.accounts, id)
		}
	}
}

// ReturnAll returns all unused tokens to their owners, for a planned stop. It waits
// until the owners have answered or ctx ends, whose error it then returns. Errors
// of the owners are ignored.
func (tc *Cache) ReturnAll(ctx context.Context) error {
	var g sync.WaitGroup
	tc.sendReports(true, &g)
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
