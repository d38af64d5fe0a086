package place

import (
	"math"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// ColdChange tells that a target of a pool with a limit for cold targets became cold, or
// warm again.
type ColdChange struct {
	Target model.TargetID
	Pool   model.PoolID
	Cold   bool
	Rate   model.Rate    // limit while it is cold, in requests per second of all daemons
	Left   time.Duration // remaining cold time, 0 if it is warm
}

// WithPools sets the function that returns a pool of the current configuration. Without it
// there are no limits for cold targets. It must not call the balancer.
func WithPools(pool func(model.PoolID) (*model.Pool, bool)) Option {
	return func(b *Balancer) { b.configured = pool }
}

// WithColdTolerance sets the permitted overshoot of the limits for cold targets.
func WithColdTolerance(t limit.ColdTolerance) Option {
	return func(b *Balancer) { b.coldTolerance = t }
}

// WithColdReport sets the function that is called when a target becomes cold or warm. It
// must not call the balancer.
func WithColdReport(report func(ColdChange)) Option {
	return func(b *Balancer) { b.reportCold = report }
}

// coldState is the state of a target in a pool with a limit for cold targets.
type coldState struct {
	listedAt      time.Time    // when this daemon received the current content of the entry
	startObserved bool         // this daemon read the list before the target was in it
	pacer         *limit.Pacer // nil: the target was warm when it was last looked at
	rate          model.Rate   // limit of the pacer, as configured
}

// coldRule returns the pool's configuration if cold targets have a limit, or else nil.
func (b *Balancer) coldRule(id model.PoolID) *model.Pool {
	if p, ok := b.configured(id); ok && p.ColdRate != nil {
		return p
	}
	return nil
}

// coldUntil returns the end of the cold time. What the entry says takes precedence.
func (t *Target) coldUntil(rule *model.Pool) time.Time {
	switch {
	case t.HasCold:
		return t.cold.listedAt.Add(t.Cold.Duration())
	case t.cold.startObserved:
		return t.firstSeen.Add(rule.WarmUp.Duration())
	default:
		return time.Time{}
	}
}

// coldPacer returns the pacer of a target that is cold, or nil. Rule is the coldRule of its
// pool. The pacer keeps its account as long as the target stays cold, whatever its entries
// and the configuration say meanwhile. The caller holds b.mu.
func (t *Target) coldPacer(now time.Time, rule *model.Pool) *limit.Pacer {
	var left time.Duration
	if rule != nil {
		left = max(t.coldUntil(rule).Sub(now), 0)
	}
	c, b := &t.cold, t.balancer
	if left == 0 {
		if c.pacer != nil {
			c.pacer = nil
			b.reportCold(ColdChange{Target: t.ID, Pool: t.Pool, Rate: c.rate})
		}
		return nil
	}
	switch rate := *rule.ColdRate; {
	case c.pacer == nil:
		c.pacer, c.rate = b.coldTolerance.NewPacer(now, float64(rate), b.fleetShare), rate
		b.reportCold(ColdChange{Target: t.ID, Pool: t.Pool, Cold: true, Rate: rate, Left: left})
	case c.rate != rate:
		b.coldTolerance.SetRate(c.pacer, now, float64(rate))
		c.rate = rate
	}
	return c.pacer
}

// listCold records a new list entry of the target. Old is the state of the target under the
// same id before, or nil. A target that is listed as restarted keeps the account of its
// pacer: what was sent to its address in the last moments may reach it. The caller holds
// b.mu.
func (t *Target) listCold(now time.Time, old *Target, revision uint64) {
	switch {
	case old == nil:
		t.cold = coldState{listedAt: now, startObserved: t.balancer.listed}
	case old != t:
		t.cold = coldState{listedAt: now, startObserved: true, pacer: old.cold.pacer, rate: old.cold.rate}
	case revision != t.Revision:
		t.cold.listedAt = now
	}
}

const (
	// coldDemandTime and slowColdDemandTime are the time constants of the averages of a
	// pool's demand. The larger average counts: the first follows a surge, and the second
	// keeps what the daemons sent that were just cut off, until that is noticed.
	coldDemandTime     = 700 * time.Millisecond
	slowColdDemandTime = 6 * time.Second
	// urgentColdShare is the share of what cold targets can serve that urgent requests get
	// first.
	urgentColdShare = 0.8
	// minClassShare is the smallest share of the demand that is assumed for a class of
	// requests, so that a sudden change of the classes does not multiply what is sent.
	minClassShare = 0.25
	// quietTime is the time without a known request after which the demand is unknown, and
	// coldReportTime that after which the reports of the daemons that get requests arrive.
	quietTime      = time.Second
	coldReportTime = 300 * time.Millisecond
	// minKnownTime and minSlowKnownTime bound the factor by which the averages are corrected
	// for the short time since the demand began.
	minKnownTime     = 300 * time.Millisecond
	minSlowKnownTime = 600 * time.Millisecond
	// silenceTime is the longest time between reports of daemons that are heard, and
	// lossTime that after which it is known which are not heard any more. In between, the
	// demand is taken as unchanged.
	silenceTime = 300 * time.Millisecond
	lossTime    = 1600 * time.Millisecond
)

// average is an exponential moving average of requests per second.
type average struct {
	perSecond float64
	updated   time.Time
}

// add counts requests and returns the average.
func (a *average) add(now time.Time, count float64, constant time.Duration) float64 {
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		a.perSecond *= math.Exp(-elapsed.Seconds() / constant.Seconds())
		a.updated = now
	}
	a.perSecond += count / constant.Seconds()
	return a.perSecond
}

// coldDemand is the demand of all reachable daemons on a pool. It is counted in all pools,
// so that it is known when a target becomes cold or the configuration sets a limit.
type coldDemand struct {
	fast, slow    average   // of the requests
	urgent, other average   // of those that came while targets were cold, by class
	began         time.Time // first known request after quietTime without one
	last          time.Time // last known request
	heard         time.Time // last report of another daemon
	own           float64   // requests of this daemon since began
}

// effective returns the time up to which the averages decay.
func (d *coldDemand) effective(now time.Time) time.Time {
	if silence := now.Sub(d.heard); silence > silenceTime && silence < lossTime {
		return d.heard.Add(silenceTime)
	}
	return now
}

// count counts requests.
func (d *coldDemand) count(now time.Time, requests float64) {
	if requests > 0 {
		if now.Sub(d.last) > quietTime {
			*d = coldDemand{urgent: d.urgent, other: d.other, began: now, heard: d.heard}
		}
		d.last = now
	}
	d.fast.add(d.effective(now), requests, coldDemandTime)
	d.slow.add(d.effective(now), requests, slowColdDemandTime)
}

// requests returns the requests per second.
func (d *coldDemand) requests(now time.Time) float64 {
	d.count(now, 0)
	known := func(constant, least time.Duration) float64 {
		return 1 - math.Exp(-max(now.Sub(d.began)-coldReportTime, least).Seconds()/constant.Seconds())
	}
	return max(d.fast.perSecond/known(coldDemandTime, minKnownTime), d.slow.perSecond/known(slowColdDemandTime, minSlowKnownTime))
}

// assumed returns the requests per second of so many daemons that get as many as this one,
// as long as their reports are on the way. Each may get a few free ones, and the present
// request counts.
func (d *coldDemand) assumed(now time.Time, daemons, free float64) float64 {
	since := now.Sub(d.began)
	if since > 2*coldReportTime {
		return 0
	}
	return max(d.own+1-free, 0) * daemons / max(since, minKnownTime).Seconds()
}

// classes counts requests by class and returns their averages.
func (d *coldDemand) classes(now time.Time, wanted limit.Demand) (urgent, other float64) {
	now = d.effective(now)
	return d.urgent.add(now, wanted.Urgent, coldDemandTime), d.other.add(now, wanted.Other, coldDemandTime)
}

// scale changes the demand by a factor.
func (d *coldDemand) scale(factor float64) {
	for _, a := range []*average{&d.fast, &d.slow, &d.urgent, &d.other} {
		a.perSecond *= factor
	}
}

// chances returns the probability by which a request of a class is sent to a target, for
// each request per second that the target may get. Allowed is their sum over all cold
// targets. If the demand exceeds it, urgent requests get most of it first. The averages of
// the classes count as far as they explain the demand.
func (d *coldDemand) chances(now time.Time, demand, allowed float64) (urgent, other float64) {
	if allowed <= 0 {
		return 0, 0
	}
	even := 1 / max(demand, allowed)
	u, o := d.classes(now, limit.Demand{})
	if demand <= allowed || u+o <= 0 {
		return even, even
	}
	share := min(max(u/(u+o), minClassShare), 1-minClassShare)
	urgentDemand, otherDemand := share*demand, (1-share)*demand
	urgentPart := min(urgentDemand, max(urgentColdShare*allowed, allowed-otherDemand))
	otherPart := allowed - urgentPart
	known := min((u+o)/demand, 1)
	return even + known*(urgentPart/urgentDemand/allowed-even), even + known*(otherPart/otherDemand/allowed-even)
}

// chooseCold returns a cold target for the request, or nil. Each gets so much of the whole
// demand that the requests of all daemons together keep its limit. They are not compared by
// cost, since all daemons would find the same ones best before they see each other's
// requests, but only those with a cost below maxCost are used, and those that are probably
// unhealthy get less. The caller holds b.mu.
func (b *Balancer) chooseCold(now time.Time, p *pool, r Request, cold []*Target, maxCost float64, random func(int) int) *Target {
	sum, allowed := 0.0, make([]float64, len(cold))
	for i, t := range cold {
		allowed[i] = t.cold.pacer.Allowed(now) * t.healthyShare(now)
		sum += allowed[i]
	}
	demand := max(p.coldDemand.requests(now), p.coldDemand.assumed(now, b.fleetSize*b.fleetShare, b.freeRequests(p, r.Pool)))
	urgent, other := p.coldDemand.chances(now, demand, sum)
	chance := other
	if r.Urgent {
		chance = urgent
	}
	probe := isIdleProbe(r, random)
	left := float64(random(limitChances)) / limitChances
	for i, t := range cold {
		if isBetter := b.cost(now, t, r) < maxCost || probe && t.isIdle(now); !isBetter {
			continue
		}
		left -= chance * allowed[i]
		if left >= 0 {
			continue
		}
		if a := t.announced.pacer; a != nil && !a.Admit(now, r.Urgent, 0, float64(random(limitChances))/limitChances) {
			return nil
		}
		t.cold.pacer.Take(now)
		return t
	}
	return nil
}

// healthyShare returns the probability that the target is healthy, as a share of that of a
// target without observations.
func (t *Target) healthyShare(now time.Time) float64 {
	return min((1-t.exchangeHealth.UnhealthyProbability(now))/(1-health.SteadyState), 1)
}

// freeRequests returns the requests that this daemon may send to the pool's cold targets
// before anything is known of the others: its part of what the tolerance leaves.
func (b *Balancer) freeRequests(p *pool, id model.PoolID) float64 {
	spare := 0.0
	if rule := b.coldRule(id); rule != nil {
		spare = b.coldTolerance.Spare(float64(*rule.ColdRate)) * float64(len(p.targets))
	}
	return max(spare/b.fleetSize, 1)
}

// SetFleetSize sets the number of daemons of the fleet.
func (b *Balancer) SetFleetSize(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSize = float64(max(daemons, 1))
}

// countColdDemand counts a request of this daemon, and its class if targets are cold. The
// caller holds b.mu.
func (p *pool) countColdDemand(now time.Time, r Request, cold []*Target) {
	p.coldDemand.count(now, 1)
	p.coldDemand.own++
	if len(cold) == 0 {
		return
	}
	if r.Urgent {
		p.coldDemand.classes(now, limit.Demand{Urgent: 1})
	} else {
		p.coldDemand.classes(now, limit.Demand{Other: 1})
	}
}

// AddRemotePoolRequests counts the requests to a pool that other daemons received, and those
// that they sent again.
func (b *Balancer) AddRemotePoolRequests(now time.Time, id model.PoolID, count float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil {
		p.coldDemand.count(now, count)
		p.coldDemand.heard = now
	}
}

// addRemoteSent counts requests to the target that other daemons sent. The caller holds
// b.mu.
func (t *Target) addRemoteSent(now time.Time, sent float64) {
	for _, p := range []*limit.Pacer{t.announced.pacer, t.coldPacer(now, t.balancer.coldRule(t.Pool))} {
		if p != nil {
			p.AddRemote(now, sent, limit.Demand{})
		}
	}
}

// ColdLeft returns the remaining cold time of a target in a pool with a limit for cold
// targets, or 0.
func (t *Target) ColdLeft(now time.Time) time.Duration {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if rule := b.coldRule(t.Pool); rule != nil {
		return max(t.coldUntil(rule).Sub(now), 0)
	}
	return 0
}

// ColdCount returns the number of targets that are cold, in pools with a limit for that.
func (b *Balancer) ColdCount(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, t := range b.targets {
		if t.coldPacer(now, b.coldRule(t.Pool)) != nil {
			count++
		}
	}
	return count
}

// ColdWait returns the time after which a request that found no target may
// succeed, if all targets that may get it are cold, or else 0. It is the time in which
// the pool serves the requests of one second at the rate of its cold targets, but ends when
// the first of them is warm.
func (b *Balancer) ColdWait(now time.Time, r *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, rule := b.pools[r.Pool], b.coldRule(r.Pool)
	if p == nil || rule == nil {
		return 0
	}
	firstWarm, count := time.Duration(math.MaxInt64), 0
	for _, t := range p.targets {
		if t.acceptsRequests(now) && r.allows(t) && !b.evacuation.domains[t.Domain] {
			firstWarm = min(firstWarm, max(t.coldUntil(rule).Sub(now), 0))
			count++
		}
	}
	if count == 0 {
		return 0
	}
	rate := max(float64(*rule.ColdRate), limit.MinRate) * float64(count) * b.fleetShare
	demand := p.coldDemand // a copy: asking must not change the averages
	backlog := max(demand.requests(now), 1) / max(rate, limit.MinRate)
	return min(firstWarm, time.Duration(min(backlog, maxColdBacklog)*float64(time.Second)))
}

// maxColdBacklog bounds the time, in seconds, that ColdWait derives from the demand.
const maxColdBacklog = 60.0
