package quota

import (
	"time"

	"rhubarbdrift.example/share"
)

// grant is the owner's record of tokens that it handed out.
type grant struct {
	Grant
	expires         time.Time
	from            *asker
	spent, returned int
}

func (g *grant) open() int { return g.N - g.spent - g.returned }

// asker is what a bucket knows of one run of an asking daemon.
type asker struct {
	seq    uint64
	last   Grant // the answer to seq
	grants map[uint64]*grant
}

// bucket holds one customer's tokens in one region. tokens + outstanding never
// exceeds burst, except that tokens handed out before the burst was lowered
// stay outstanding until they are settled.
type bucket struct {
	tokens      float64
	outstanding int
	last        time.Time
	rate, burst float64
	queue       []*grant // by expiry
	askers      map[Origin]*asker
	demand      share.Demand // of the region's daemons
}

// advance refills up to now and expires grants. Each expiry is applied at its
// own time: room that a later expiry leaves must not be refilled for the time
// before it.
func (b *bucket) advance(now time.Time) {
	for len(b.queue) > 0 && !b.queue[0].expires.After(now) {
		g := b.queue[0]
		b.queue = b.queue[1:]
		b.refill(g.expires)
		b.outstanding -= g.open()
		delete(g.from.grants, g.ID)
	}
	b.refill(now)
}

func (b *bucket) refill(to time.Time) {
	elapsed := to.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = to
	b.tokens += b.rate * (1 - clockMargin) * elapsed.Seconds()
	b.clamp()
}

func (b *bucket) clamp() {
	b.tokens = max(0, min(b.tokens, b.burst-float64(b.outstanding)))
}

// set applies a rate and burst at now. The time since the last use counts at
// the lower of the old and the new rate.
func (b *bucket) set(now time.Time, rate, burst float64) {
	b.rate = min(b.rate, rate)
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.clamp()
}

// asker returns the state of an asking daemon. Those without grants for the
// longest time that a message can be useful are forgotten when a new one comes.
func (b *bucket) asker(o Origin) *asker {
	a := b.askers[o]
	if a != nil {
		return a
	}
	for k, v := range b.askers {
		if len(v.grants) == 0 && k.Host == o.Host {
			delete(b.askers, k)
		}
	}
	a = &asker{grants: map[uint64]*grant{}}
	b.askers[o] = a
	return a
}

// settle applies a report. Reports on grants that expired have no effect: all
// their tokens already count as spent.
func (b *bucket) settle(a *asker, r Report) {
	g := a.grants[r.Grant]
	if g == nil {
		return
	}
	before := g.open()
	g.spent = max(g.spent, min(r.Spent, g.N-g.returned))
	back := min(r.Returned, g.N-g.spent) - g.returned
	if back > 0 {
		g.returned += back
		b.tokens += float64(back)
	}
	b.outstanding -= before - g.open()
	b.clamp()
}

// take hands out up to want tokens, or 0 if none is there.
func (b *bucket) take(now time.Time, a *asker, id uint64, want int) Grant {
	n := min(want, int(b.tokens), max(1, int(b.burst*largestPart)))
	if n < 1 {
		return Grant{}
	}
	b.tokens -= float64(n)
	b.outstanding += n
	g := &grant{expires: now.Add(Longest), from: a}
	g.Grant = Grant{ID: id, N: n, Valid: millis(Lifetime), Prompt: float64(b.outstanding) > b.burst*crowdedPart}
	b.queue = append(b.queue, g)
	a.grants[id] = g
	return g.Grant
}

// wait estimates the time until a token is there.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 || b.burst < 1 {
		return time.Second
	}
	missing := max(0, 1-b.tokens) / b.rate
	return min(time.Duration(missing*float64(time.Second))+time.Millisecond, time.Minute)
}
