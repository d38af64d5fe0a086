package wallet

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

// account is what a wallet knows of one customer.
type account struct {
	id     model.CustomerID
	shard  model.Shard
	active atomic.Bool  // has grants
	used   atomic.Int64 // time of the last request in Unix nanoseconds

	mu      sync.Mutex
	grants  []*held
	last    time.Time // of the last request
	demand  share.Demand
	seen    int           // requests that the local owner does not know of
	waiting int           // requests that wait for tokens
	got     int           // size of the last grant
	lanes   [2]lane       // to the local owner and to the other regions'
	news    chan struct{} // closed when an ask ends; nil if nobody waits
}

// lane is a way to get tokens, with at most one ask under way.
type lane struct {
	asking  bool
	until   time.Time // no ask before
	backoff time.Duration
	cause   error // of the last refusal; nil after a grant
}

// end processes the result of an ask.
func (l *lane) end(now time.Time, cause error, wait time.Duration, i int) {
	l.asking, l.cause = false, cause
	if cause == nil {
		// Asks stay spaced for a while after refusals: a customer above its rate
		// would otherwise cause one for every few tokens.
		l.backoff /= 2
		l.until = now.Add(l.backoff)
		return
	}
	factor := time.Duration(1)
	if i > 0 {
		factor = remoteBackoff
	}
	l.backoff = min(max(leastBackoff*factor, 2*l.backoff), mostBackoff*factor)
	l.until = now.Add(max(min(wait, longestWait), l.backoff))
}

// listen returns a channel that is closed when the next ask ends.
func (a *account) listen() <-chan struct{} {
	if a.news == nil {
		a.news = make(chan struct{})
	}
	return a.news
}

func (a *account) tell() {
	if a.news != nil {
		close(a.news)
		a.news = nil
	}
}

// next returns the time of the next possible ask.
func (a *account) next() time.Time {
	if l := a.lanes; l[1].until.Before(l[0].until) {
		return l[1].until
	}
	return a.lanes[0].until
}

// held is a grant at its asker. free + spent + returned <= n; the rest belongs
// to admissions whose request has not been sent yet.
type held struct {
	id                       uint64
	region                   model.Region
	expires                  time.Time
	prompt                   bool
	n, free, spent, returned int
	told                     quota.Report // what the owner knows
}

// note counts a request.
func (a *account) note(now time.Time) {
	a.last = now
	a.used.Store(now.UnixNano())
	a.seen++
	a.demand.Add(now, 1)
}

// draw takes a token from the grant that expires first.
func (a *account) draw(now time.Time) *held {
	for _, g := range a.grants {
		if g.free > 0 && now.Before(g.expires) {
			g.free--
			return g
		}
	}
	return nil
}

// low reports whether a busy customer's tokens should be refilled ahead of need.
func (a *account) low() bool {
	if a.got < 2 {
		return false
	}
	free := 0
	for _, g := range a.grants {
		free += g.free
	}
	return free < a.got/2
}

// want returns the expected need of a busy customer and 1 for a rare one.
func (a *account) want(now time.Time) int {
	expected := int(math.Ceil(a.demand.Rate(now) * prefetch.Seconds()))
	return max(1, a.waiting, expected)
}

// install adds a grant whose answer arrived in time. A late one is discarded:
// its validity has ended here.
func (a *account) install(g quota.Grant, r model.Region, sent, now time.Time) bool {
	expires := sent.Add(min(g.Valid.Duration(), quota.Lifetime))
	if g.N < 1 || !now.Before(expires) {
		return false
	}
	a.grants = append(a.grants, &held{id: g.ID, region: r, expires: expires, prompt: g.Prompt, n: g.N, free: g.N, told: quota.Report{Grant: g.ID}})
	slices.SortFunc(a.grants, func(x, y *held) int { return x.expires.Compare(y.expires) })
	a.active.Store(true)
	a.got = g.N
	return true
}

// refusal returns the error for a request that gets no token until a time.
func (a *account) refusal(now, until time.Time) error {
	for _, l := range a.lanes {
		if l.cause == nil || fault.Is(l.cause, fault.Limited) {
			return quota.Limited(max(until.Sub(now), leastBackoff))
		}
	}
	return quota.Unreached(a.lanes[0].cause)
}

// reports returns what the region's owner does not know yet.
func (a *account) reports(r model.Region) []quota.Report {
	var list []quota.Report
	for _, g := range a.grants {
		if now := g.report(); g.region == r && now != g.told {
			list = append(list, now)
		}
	}
	return list
}

func (g *held) report() quota.Report {
	return quota.Report{Grant: g.id, Spent: g.spent, Returned: g.returned}
}

// reported records that the owner knows the reports.
func (a *account) reported(list []quota.Report) {
	for _, r := range list {
		for _, g := range a.grants {
			if g.id == r.Grant {
				g.told.Spent = max(g.told.Spent, r.Spent)
				g.told.Returned = max(g.told.Returned, r.Returned)
			}
		}
	}
}

// due drops finished grants, takes back unused tokens that would be wasted,
// and returns the regions whose owners should be told now.
func (a *account) due(now time.Time, all bool) []model.Region {
	a.grants = slices.DeleteFunc(a.grants, func(g *held) bool {
		return !now.Before(g.expires) || g.told.Spent+g.told.Returned == g.n
	})
	a.active.Store(len(a.grants) > 0)
	idle := all || now.Sub(a.last) > idleTime
	var due []model.Region
	for _, g := range a.grants {
		if idle || g.expires.Sub(now) < returnTime {
			g.returned += g.free
			g.free = 0
		}
		if g.returned > g.told.Returned || ((g.prompt || all) && g.spent > g.told.Spent) {
			due = append(due, g.region)
		}
	}
	return due
}

// Admission is the permission to run one request. It must not be copied after
// the first call of a method.
type Admission struct {
	wallet  *Wallet
	account *account
	grant   *held
	state   admissionState
}

type admissionState int

const (
	admitted admissionState = iota
	committed
	ended
)

// Valid reports whether the request may still run. Call it immediately before
// the write to the target: the token counts as spent from then on. Once it has
// returned true it stays true, since a retry is no new admission.
func (a *Admission) Valid() bool {
	if a.state != admitted || a.grant == nil {
		return a.state == committed
	}
	a.account.mu.Lock()
	defer a.account.mu.Unlock()
	if !a.wallet.clock().Before(a.grant.expires) {
		a.state = ended
		return false
	}
	a.grant.spent++
	a.state = committed
	return true
}

// Cancel gives the token back if the request was not sent.
func (a *Admission) Cancel() {
	if a.state != admitted || a.grant == nil {
		return
	}
	a.state = ended
	a.account.mu.Lock()
	defer a.account.mu.Unlock()
	a.grant.free++
}
