// Package wallet admits requests within their customers' limits, with tokens
// that it gets from the owners of the customers' shards (package quota).
//
// A busy customer's tokens are fetched ahead for the expected need of a fifth
// of a second; a rare one's are fetched one by one. Spent and unused tokens are
// reported with the next ask, or by themselves where the owner needs to know
// soon. While the local owner is unreachable or its share is used up, the
// owners in the other regions are asked.
//
// # Usage
//
//	w := wallet.New(origin, regions, asker)
//	... run w.Run(ctx)
//	a, err := w.Admit(ctx, customer)
//	if err != nil {
//		return err // fault.Limited or fault.Unavailable; quota.WaitOf(err) is the Retry-After
//	}
//	... queue, pick a target
//	if !a.Valid() {
//		return late // the grant expired while the request waited: not run
//	}
//	... write to the target
//
// Valid is the commit point: the token counts as spent from then on. A request
// that is given up before it calls Cancel, so that the token can be used by
// another one. On a planned stop call Return once the requests ended.
package wallet

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
	// patience bounds the time that a request waits for a token.
	patience = 60 * time.Millisecond
	// localTimeout bounds an ask within the region, which takes about 1 ms.
	localTimeout = 20 * time.Millisecond
	// remoteTimeout bounds an ask to another region, which takes about 12 ms.
	remoteTimeout = 40 * time.Millisecond
	// avoidTime is the time for which a region whose owner was not reached is
	// not asked again for a shard.
	avoidTime = 250 * time.Millisecond
	// leastBackoff and mostBackoff bound the time without asks after a refusal.
	// It doubles while refusals go on, so that a customer far above its rate
	// causes few asks. Asks to other regions are billed: their backoff is
	// remoteBackoff times as long.
	leastBackoff  = 5 * time.Millisecond
	mostBackoff   = 40 * time.Millisecond
	remoteBackoff = 5
	// longestWait bounds the time without asks that an owner causes. The owner
	// learns the demand from asks, and a share that moves shortens the wait.
	longestWait = 100 * time.Millisecond
	// prefetch is the time whose expected need is asked for at once.
	prefetch = 200 * time.Millisecond
	// walletTick is the period of reports and returns.
	walletTick = 25 * time.Millisecond
	// idleTime is the time without requests after which unused tokens are returned.
	idleTime = 250 * time.Millisecond
	// returnTime before its expiry a grant's unused tokens are returned.
	returnTime = 75 * time.Millisecond
	// forgetTime is the time without requests after which a customer is forgotten.
	forgetTime = 10 * time.Second
)

// Wallet admits requests with tokens that it gets from the owners of the
// customers' shards.
type Wallet struct {
	origin  quota.Origin
	regions []model.Region // local region first
	asker   quota.Asker
	shards  int
	clock   model.Clock
	seq     atomic.Uint64

	mu       sync.RWMutex
	accounts map[model.CustomerID]*account
	hot      map[*account]struct{} // with grants
	avoided  map[path]time.Time    // until when
}

// path leads to the owner of a shard in a region.
type path struct {
	region model.Region
	shard  model.Shard
}

// Option changes a setting of a Wallet.
type Option func(*Wallet)

// WithClock replaces time.Now.
func WithClock(c model.Clock) Option { return func(w *Wallet) { w.clock = c } }

// WithShards sets the number of shards. The default is quota.DefaultShards.
func WithShards(n int) Option { return func(w *Wallet) { w.shards = n } }

// New returns the wallet of a daemon. The origin's region is asked
// first, then the others in their order.
func New(origin quota.Origin, regions []model.Region, asker quota.Asker, options ...Option) *Wallet {
	w := &Wallet{
		origin: origin, regions: []model.Region{origin.Region}, asker: asker, shards: quota.DefaultShards, clock: time.Now,
		accounts: map[model.CustomerID]*account{}, hot: map[*account]struct{}{}, avoided: map[path]time.Time{},
	}
	for _, r := range regions {
		if r != origin.Region {
			w.regions = append(w.regions, r)
		}
	}
	for _, f := range options {
		f(w)
	}
	return w
}

// Admit gets a token for one request of the customer. It takes one that is
// here, or asks the owners and waits at most a few tens of milliseconds. An
// error is a quota.Refusal of kind fault.Limited, fault.Unavailable if no owner was
// reached, or fault.Late if ctx ended. After an error the request must not run.
func (w *Wallet) Admit(ctx context.Context, c *model.Customer) (Admission, error) {
	a := w.account(c.ID)
	now := w.clock()
	a.mu.Lock()
	a.note(now)
	g := a.draw(now)
	if g == nil {
		a.mu.Unlock()
		return w.wait(ctx, a, now.Add(patience))
	}
	if a.low() {
		w.fill(a, now)
	}
	a.mu.Unlock()
	return Admission{wallet: w, account: a, grant: g}, nil
}

func (w *Wallet) account(id model.CustomerID) *account {
	w.mu.RLock()
	a := w.accounts[id]
	w.mu.RUnlock()
	if a != nil {
		return a
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a = w.accounts[id]; a == nil {
		a = &account{id: id, shard: model.ShardOf(id, w.shards)}
		w.accounts[id] = a
	}
	return a
}

// wait waits for tokens that asks bring.
func (w *Wallet) wait(ctx context.Context, a *account, limit time.Time) (Admission, error) {
	a.mu.Lock()
	a.waiting++
	defer func() {
		a.waiting--
		a.mu.Unlock()
	}()
	for {
		now := w.clock()
		if g := a.draw(now); g != nil {
			return Admission{wallet: w, account: a, grant: g}, nil
		}
		until := limit
		if !w.fill(a, now) {
			until = a.next()
		}
		if !now.Before(limit) || until.After(limit) {
			return Admission{}, a.refusal(now, until)
		}
		news := a.listen()
		a.mu.Unlock()
		err := sleep(ctx, news, until.Sub(now))
		a.mu.Lock()
		if err != nil {
			return Admission{}, fault.Wrap(fault.Late, err, "the request ended while it waited for its limit", "retry with a longer deadline")
		}
	}
}

// sleep waits for done, ctx or d.
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

// fill starts asks for tokens and reports whether one is under way. The account
// is locked. While the local owner refuses, the other regions' are asked. An
// ask does not end with the request that caused it, since others wait for it too.
func (w *Wallet) fill(a *account, now time.Time) bool {
	for i := range a.lanes {
		l := &a.lanes[i]
		if !l.asking && !now.Before(l.until) {
			l.asking = true
			go w.askLane(a, l, i) // ends within the timeout of its asks
		}
		if l.asking && l.cause == nil {
			break // no need to ask further lanes yet
		}
	}
	return a.lanes[0].asking || a.lanes[1].asking
}

// askLane asks the lane's owners until one grants.
func (w *Wallet) askLane(a *account, l *lane, i int) {
	list, timeout := w.regions[:1], localTimeout
	if i > 0 {
		list, timeout = w.regions[1:], remoteTimeout
	}
	cause, wait := quota.Unreached(nil), time.Duration(0)
	for _, r := range list {
		if w.avoids(path{r, a.shard}) {
			continue
		}
		err := w.ask(a, r, timeout, true)
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
	l.end(w.clock(), cause, wait, i)
	a.tell()
}

// ask sends one Take with the reports for the region's owner.
func (w *Wallet) ask(a *account, r model.Region, timeout time.Duration, tokens bool) error {
	a.mu.Lock()
	t := quota.Take{From: w.origin, Seq: w.seq.Add(1), Customer: a.id, Reports: a.reports(r)}
	sent := w.clock()
	if tokens {
		t.Want = a.want(sent)
	}
	if r == w.origin.Region {
		t.Seen, a.seen = a.seen, 0
	}
	a.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	g, err := w.asker.Ask(ctx, r, a.shard, t)
	if unreached(err) {
		w.avoid(path{r, a.shard})
		return err
	}
	a.mu.Lock()
	a.reported(t.Reports)
	installed := err == nil && a.install(g, r, sent, w.clock())
	a.mu.Unlock()
	if installed {
		w.mu.Lock()
		w.hot[a] = struct{}{}
		w.mu.Unlock()
	}
	return err
}

// unreached reports whether an ask did not come to the shard's owner.
func unreached(err error) bool {
	switch fault.KindOf(err) {
	case fault.Limited, fault.Conflict, fault.Missing:
		return false
	default:
		return err != nil
	}
}

func (w *Wallet) avoids(p path) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.clock().Before(w.avoided[p])
}

func (w *Wallet) avoid(p path) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.avoided[p] = w.clock().Add(avoidTime)
}

// Run sends reports and returns unused tokens until ctx ends.
func (w *Wallet) Run(ctx context.Context) error {
	tick, clean := time.NewTicker(walletTick), time.NewTicker(forgetTime)
	defer tick.Stop()
	defer clean.Stop()
	var reports sync.WaitGroup
	defer reports.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			w.settle(false, &reports)
		case <-clean.C:
			w.forget()
		}
	}
}

// settle sends the reports that are due; with all it returns every unused token.
func (w *Wallet) settle(all bool, g *sync.WaitGroup) {
	now := w.clock()
	for _, a := range w.withGrants() {
		a.mu.Lock()
		due := a.due(now, all)
		a.mu.Unlock()
		for i, r := range w.regions {
			if !slices.Contains(due, r) {
				continue
			}
			timeout := remoteTimeout
			if i == 0 {
				timeout = localTimeout
			}
			// A lost report costs the tokens until their grant expires.
			g.Go(func() { _ = w.ask(a, r, timeout, false) })
		}
	}
}

// withGrants returns the accounts that have grants.
func (w *Wallet) withGrants() []*account {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*account, 0, len(w.hot))
	for a := range w.hot {
		if a.active.Load() {
			list = append(list, a)
		} else {
			delete(w.hot, a)
		}
	}
	return list
}

// forget drops the accounts that had no request for some time.
func (w *Wallet) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	for id, a := range w.accounts {
		if !a.active.Load() && now.Sub(time.Unix(0, a.used.Load())) > forgetTime {
			delete(w.accounts, id)
		}
	}
}

// Return gives all unused tokens back, for a planned stop. It waits for the
// owners' answers or the end of ctx.
func (w *Wallet) Return(ctx context.Context) error {
	var g sync.WaitGroup
	w.settle(true, &g)
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
