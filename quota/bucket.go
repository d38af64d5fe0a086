package quota

import (
	"time"

	"rhubarbdrift.example/share"
)

// grant is the owner's record of the tokens issued to one daemon.
type grant struct {
	Grant
	expires         time.Time
	client          *clientState
	spent, returned int
}

func (g *grant) remaining() int { return g.N - g.spent - g.returned }

// clientState is a bucket's record of one run of a requesting daemon.
type clientState struct {
	seq       uint64
	lastGrant Grant // answer to seq
	grants    map[uint64]*grant
}

// bucket is one customer's token bucket in one region. tokens + outstanding
// never exceeds burst, except after the burst was lowered: tokens that were
// issued before stay outstanding until they are reported or expire.
type bucket struct {
	tokens      float64
	outstanding int
	refilled    time.Time
	rate, burst float64
	queue       []*grant // in order of expiry
	clients     map[Origin]*clientState
	demand      share.Demand // requests reported by the region's daemons
}

// advance refills the bucket up to now and expires grants. Each expiry is
// applied at its own time, because capacity that a grant frees when it expires
// must not be refilled for the time before.
func (b *bucket) advance(now time.Time) {
	for len(b.queue) > 0 && !b.queue[0].expires.After(now) {
		g := b.queue[0]
		b.queue = b.queue[1:]
		b.refill(g.expires)
		b.outstanding -= g.remaining()
		delete(g.client.grants, g.ID)
	}
	b.refill(now)
}

func (b *bucket) refill(to time.Time) {
	elapsed := to.Sub(b.refilled)
	if elapsed <= 0 {
		return
	}
	b.refilled = to
	b.tokens += b.rate * (1 - clockMargin) * elapsed.Seconds()
	b.clamp()
}

func (b *bucket) clamp() {
	b.tokens = max(0, min(b.tokens, b.burst-float64(b.outstanding)))
}

// setLimits applies a rate (tokens per second) and a burst (tokens) at now. The
// time since the last refill counts at the lower of the old and the new rate.
func (b *bucket) setLimits(now time.Time, rate, burst float64) {
	b.rate = min(b.rate, rate)
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.clamp()
}

// clientState returns the state of a requesting daemon and creates it if necessary.
// The states of other runs on the same host are then deleted if all their
// grants have expired: a message that such a run sent is too old to be useful.
func (b *bucket) clientState(o Origin) *clientState {
	cs := b.clients[o]
	if cs != nil {
		return cs
	}
	for origin, state := range b.clients {
		if len(state.grants) == 0 && origin.Host == o.Host {
			delete(b.clients, origin)
		}
	}
	cs = &clientState{grants: map[uint64]*grant{}}
	b.clients[o] = cs
	return cs
}

// applyReport records the spent and returned tokens of a grant. A report on an
// expired grant has no effect, because all its tokens already count as spent.
func (b *bucket) applyReport(cs *clientState, r Report) {
	g := cs.grants[r.Grant]
	if g == nil {
		return
	}
	before := g.remaining()
	g.spent = max(g.spent, min(r.Spent, g.N-g.returned))
	newlyReturned := min(r.Returned, g.N-g.spent) - g.returned
	if newlyReturned > 0 {
		g.returned += newlyReturned
		b.tokens += float64(newlyReturned)
	}
	b.outstanding -= before - g.remaining()
	b.clamp()
}

// issue grants up to want tokens, but at most maxGrantFraction of the burst (or
// one token, if that is more). It returns a zero Grant if no token is available.
func (b *bucket) issue(now time.Time, cs *clientState, id uint64, want int) Grant {
	n := min(want, int(b.tokens), max(1, int(b.burst*maxGrantFraction)))
	if n < 1 {
		return Grant{}
	}
	b.tokens -= float64(n)
	b.outstanding += n
	g := &grant{expires: now.Add(OwnerLifetime), client: cs}
	g.Grant = Grant{ID: id, N: n, Valid: millis(GrantLifetime), Prompt: float64(b.outstanding) > b.burst*promptReportFraction}
	b.queue = append(b.queue, g)
	cs.grants[id] = g
	return g.Grant
}

// timeToNextToken estimates the time until a token is available.
func (b *bucket) timeToNextToken() time.Duration {
	if b.rate <= 0 || b.burst < 1 {
		return time.Second
	}
	missing := max(0, 1-b.tokens) / b.rate
	return min(time.Duration(missing*float64(time.Second))+time.Millisecond, time.Minute)
}
