// Package limit admits requests within limits that hold over the whole fleet,
// while the daemons learn of each other's admissions a moment later.
//
// Each daemon keeps the same token bucket for a limit. Its own admissions and
// those that the others report take tokens. Daemons that this one does not
// hear of may use their part of the limit, so the bucket has only the part of
// the daemons that it does hear of. While a bucket is low, the daemons admit
// only the share of requests that the rate allows, since the reports of all of
// them are late by the same moment.
//
// # Usage
//
//	b := limit.New(now, begun, limit.Size{Rate: 64, Burst: 64}, tolerance, limit.Heard{Part: 1})
//	if wait, ok := b.Admit(now, rand.Float64()); !ok {
//		// tell the caller to come back after wait
//	}
//	b.Others(now, admitted, asked) // a report of the other daemons
package limit

import (
	"math"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// surge is the demand, as a multiple of the rate, that a customer may turn to
	// from one moment to the next.
	surge = 5.0
	// notice is the time in seconds until all daemons have learned of it: two
	// messages each way, and the wait for them.
	notice = 0.35
	// least is the part of the burst that the bucket holds at least.
	least = 0.3
	// low is the part of the bucket below which requests are admitted in
	// proportion to the rate.
	low = 0.9
	// doubtful is the number of standard deviations by which the demand must
	// exceed the rate before it counts as higher: arrivals are random.
	doubtful = 2.0
	// first is the part of the bucket that a new daemon starts with, and spared
	// the part of the tolerance's requests that it has in addition; what the others
	// have used is not known to it yet.
	first  = 0.3
	spared = 0.25
	// demandLife is the time over which demand is averaged: a few reports.
	demandLife = time.Second
	// maxWait bounds the time after which a caller is told to come back.
	maxWait = time.Second
)

// Heard is the part of the fleet that a daemon hears of, itself included.
type Heard struct {
	Part float64 // from 0 to 1
	New  float64 // the part of the fleet that began within model.Settling
}

// Size is a limit.
type Size struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Tolerance is what a limit may be exceeded by: in any window, a share of what
// it allows there and a number of requests.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Slack  float64
}

// holds returns the part of the burst that a bucket holds, in requests. The
// rest covers what a sudden surge gets before the daemons have learned of it,
// as far as the tolerance does not.
func (t Tolerance) holds(s Size) float64 {
	excess := (surge-1)*s.Rate*notice - t.Share*(s.Rate*t.Window.Seconds()+s.Burst) - t.Slack
	return max(least*s.Burst, s.Burst-max(0, excess))
}

// Bucket is one limit as this daemon sees it. It is not safe for concurrent use.
type Bucket struct {
	size   Size
	spare  Tolerance
	part   float64 // of the fleet that this daemon hears of, itself included
	joined float64 // most of the fleet that was new at one time
	tokens float64
	demand float64 // requests per second of that part, admitted or not
	at     time.Time
	begun  time.Time
}

// New returns a bucket of a customer of which this daemon has heard nothing
// since it began.
func New(now, begun time.Time, size Size, spare Tolerance, h Heard) *Bucket {
	b := &Bucket{size: size, spare: spare, at: begun, begun: begun}
	b.Part(begun, h)
	b.advance(now)
	return b
}

// initial returns what the buckets of all daemons together start with when the
// whole fleet is new.
func (b *Bucket) initial() float64 { return first*b.spare.holds(b.size) + spared*b.spare.Slack }

// Resize changes the limit.
func (b *Bucket) Resize(now time.Time, size Size) {
	b.advance(now)
	b.size = size
	b.tokens = min(b.tokens, b.capacity())
}

// Part sets the part of the fleet that this daemon hears of. Daemons that are
// new bring their part of what a new fleet starts with; the others have used
// theirs.
func (b *Bucket) Part(now time.Time, h Heard) {
	b.advance(now)
	b.part = min(max(h.Part, 0), 1)
	if h.New > b.joined {
		b.tokens += (h.New - b.joined) * b.initial()
		b.joined = h.New
	}
	b.tokens = min(b.tokens, b.capacity())
}

func (b *Bucket) capacity() float64 { return max(1, b.spare.holds(b.size)*b.part) }

func (b *Bucket) rate() float64 { return b.size.Rate * b.part }

func (b *Bucket) advance(now time.Time) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+passed*b.rate(), b.capacity())
	b.demand *= math.Exp(-passed / demandLife.Seconds())
}

// Others takes the requests that other daemons admitted and were asked for.
func (b *Bucket) Others(now time.Time, admitted, asked float64) {
	b.advance(now)
	b.tokens -= admitted
	b.demand += asked / demandLife.Seconds()
}

// Admit decides on one request. Chance is a random number from 0 to 1. If the
// request is over the limit, wait says when another try makes sense. The part of
// a new daemon may be less than one token, which admits a request at that chance.
func (b *Bucket) Admit(now time.Time, chance float64) (wait time.Duration, ok bool) {
	b.advance(now)
	b.demand += 1 / demandLife.Seconds()
	if b.tokens < 1 && (now.Sub(b.begun) >= model.Settling || chance >= b.tokens) {
		return b.wait(), false
	}
	high := b.rate() + doubtful*math.Sqrt(b.rate()*demandLife.Seconds())
	if b.tokens < low*b.capacity() && b.demand > high && chance > b.rate()/b.demand {
		return b.wait(), false
	}
	b.tokens--
	return 0, true
}

// Cancel gives back the token of a request that was not sent.
func (b *Bucket) Cancel() { b.tokens = min(b.tokens+1, b.capacity()) }

// wait returns the time until the bucket is half full.
func (b *Bucket) wait() time.Duration {
	missing := max(1, b.capacity()/2) - b.tokens
	if b.rate() <= 0 {
		return maxWait
	}
	return min(max(time.Duration(missing/b.rate()*float64(time.Second)), 0), maxWait)
}
