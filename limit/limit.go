// Package limit enforces rate limits over the whole fleet, although the daemons
// learn of each other's admissions with a delay.
//
// Each daemon keeps the same token bucket for a limit and subtracts its own
// admissions and those that other daemons report. Daemons that are unreachable
// may use their share of the limit, so the bucket is scaled to the share of the
// fleet that is reachable. While a bucket is low, the daemons admit only the share
// of requests that the rate allows, since the reports of all of them are delayed
// by the same time.
//
// # Usage
//
//	b := limit.New(now, limit.Past{Started: started}, limit.Limit{Rate: 64, Burst: 64}, tolerance, limit.Reachable{Share: 1})
//	if wait, ok := b.Admit(now, rand.Float64()); !ok {
//		// refuse the request, with wait as its Retry-After
//	}
//	b.AddRemote(now, admitted, requests) // reported by other daemons
package limit

import (
	"math"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// surgeFactor is the multiple of the rate to which a customer's demand may rise
	// abruptly.
	surgeFactor = 5.0
	// propagationSeconds is the time until all daemons have learned of an increase:
	// two messages each way through the mesh, and the time that each waits to be sent.
	propagationSeconds = 0.35
	// minBurstShare is the minimum share of the burst that a bucket holds.
	minBurstShare = 0.3
	// throttleShare is the share of its capacity below which a bucket admits
	// requests in proportion to the rate.
	throttleShare = 0.9
	// demandDeviations is the number of standard deviations by which the demand
	// must exceed the rate before requests are throttled: arrivals are random.
	demandDeviations = 2.0
	// initialBurstShare is the share of the usable burst that the buckets of a new
	// fleet hold, and initialSlackShare the share of the tolerance's slack that
	// they hold in addition. A new daemon doesn't know yet what the others used.
	initialBurstShare = 0.3
	initialSlackShare = 0.25
	// demandTimeConstant is the time constant of the demand average: a few reports.
	demandTimeConstant = time.Second
	// maxRetryDelay is the upper bound of the delay returned with a refusal.
	maxRetryDelay = time.Second
)

// Reachable is the part of the fleet that is reachable from a daemon, itself included.
type Reachable struct {
	Share    float64 // share of the fleet, from 0 to 1
	NewShare float64 // share of the fleet that is reachable and started within model.WarmUpPeriod
}

// Limit is the rate and burst of a limit.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Tolerance is the permitted overshoot of a limit. In any window, admissions may
// exceed what the limit allows by Share of it plus Slack requests.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Slack  float64
}

// usableBurst returns the part of the burst that a bucket holds, in requests. The
// rest covers the admissions of a surge before all daemons have learned of it, as
// far as these exceed the tolerance.
func (t Tolerance) usableBurst(l Limit) float64 {
	excess := (surgeFactor-1)*l.Rate*propagationSeconds - t.Share*(l.Rate*t.Window.Seconds()+l.Burst) - t.Slack
	return max(minBurstShare*l.Burst, l.Burst-max(0, excess))
}

// Bucket is the token bucket of one limit. It is not safe for concurrent use.
type Bucket struct {
	limit       Limit
	tolerance   Tolerance
	fleetShare  float64 // share of the fleet that is reachable, this daemon included
	maxNewShare float64 // largest Reachable.NewShare so far, whose initial tokens were added
	tokens      float64
	demand      float64 // requests per second of the reachable daemons, admitted or not
	updated     time.Time
	started     time.Time
}

// Past is the past of a daemon for which a new bucket is filled.
type Past struct {
	Started time.Time // start of the daemon, or the end of its last pause
	// Heard is the time for which the daemon has heard the whole fleet since then. While
	// it heard a part of it, only that share of the time counts.
	Heard time.Duration
}

// New returns the bucket of a customer for which no requests were reported since
// this daemon started. It is filled for the time in which they would have been.
func New(now time.Time, past Past, limit Limit, tolerance Tolerance, r Reachable) *Bucket {
	b := &Bucket{limit: limit, tolerance: tolerance, updated: now, started: past.Started}
	b.SetReachable(now, r)
	b.tokens = min(b.tokens+limit.Rate*past.Heard.Seconds(), b.capacity())
	return b
}

// initialTokens returns the sum of the tokens with which all daemons start when
// the whole fleet is new.
func (b *Bucket) initialTokens() float64 {
	return initialBurstShare*b.tolerance.usableBurst(b.limit) + initialSlackShare*b.tolerance.Slack
}

// Resize changes the rate and burst.
func (b *Bucket) Resize(now time.Time, limit Limit) {
	b.advance(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// SetReachable sets the share of the fleet that is reachable. New daemons add their share
// of a new fleet's initial tokens, once; daemons that started earlier have used theirs.
func (b *Bucket) SetReachable(now time.Time, r Reachable) {
	b.advance(now)
	b.fleetShare = min(max(r.Share, 0), 1)
	if r.NewShare > b.maxNewShare {
		b.tokens += (r.NewShare - b.maxNewShare) * b.initialTokens()
		b.maxNewShare = r.NewShare
	}
	b.tokens = min(b.tokens, b.capacity())
}

// Restart keeps this daemon to its share after a pause.
func (b *Bucket) Restart(now time.Time, share float64) {
	b.SetReachable(now, Reachable{Share: share})
}

func (b *Bucket) capacity() float64 { return max(1, b.tolerance.usableBurst(b.limit)*b.fleetShare) }

func (b *Bucket) rate() float64 { return b.limit.Rate * b.fleetShare }

func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.tokens+elapsed*b.rate(), b.capacity())
	b.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
}

// AddRemote counts requests that other daemons received and admitted.
func (b *Bucket) AddRemote(now time.Time, admitted, requests float64) {
	b.advance(now)
	b.tokens -= admitted
	b.demand += requests / demandTimeConstant.Seconds()
}

// Admit decides on one request. Chance is a random number in [0, 1). If the request
// exceeds the limit, retryDelay is the delay after which a retry may succeed. A new
// daemon may hold only a fraction of a token. That fraction is then the probability
// with which it admits a request.
func (b *Bucket) Admit(now time.Time, chance float64) (retryDelay time.Duration, ok bool) {
	b.advance(now)
	b.demand += 1 / demandTimeConstant.Seconds()
	if held, throttled := b.bounds(now); chance >= held || chance > throttled {
		return b.retryDelay(), false
	}
	b.tokens--
	return 0, true
}

// bounds returns the chances below which, and up to which, a request is admitted: by the
// tokens, and by the demand. They are infinite where there is no bound.
func (b *Bucket) bounds(now time.Time) (held, throttled float64) {
	held, throttled = math.Inf(1), math.Inf(1)
	if b.tokens < 1 {
		held = b.tokens
		if now.Sub(b.started) >= model.WarmUpPeriod {
			held = 0
		}
	}
	highDemand := b.rate() + demandDeviations*math.Sqrt(b.rate()*demandTimeConstant.Seconds())
	if b.tokens < throttleShare*b.capacity() && b.demand > highDemand {
		throttled = b.rate() / b.demand
	}
	return held, throttled
}

// Cancel puts back the token of an admitted request that was not sent. The buckets of
// other daemons stay as they are.
func (b *Bucket) Cancel() { b.tokens = min(b.tokens+1, b.capacity()) }

// retryDelay returns the time until the bucket is half full, at most maxRetryDelay.
func (b *Bucket) retryDelay() time.Duration {
	missing := max(1, b.capacity()/2) - b.tokens
	if b.rate() <= 0 {
		return maxRetryDelay
	}
	return min(max(time.Duration(missing/b.rate()*float64(time.Second)), 0), maxRetryDelay)
}
