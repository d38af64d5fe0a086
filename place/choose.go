package place

import (
	"math"
	"slices"
	"time"

	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/model"
)

const (
	// lostForGood is the cost in seconds of a failure of a request that may not
	// be repeated: about three times what it takes.
	lostForGood = 2.0
	// lostOnce is the cost of a failure of a request that may be repeated: the
	// time that is gone, and a part of the retry budget.
	lostOnce = 0.2
	// domainByte and regionByte are the cost in seconds of a byte that crosses
	// between failure domains or regions. A byte between regions is billed at
	// seven times the price, and 90 KB between domains at half a request.
	domainByte = 2.5e-6
	regionByte = 18e-6
	// domainTrip and regionTrip are the round trips in seconds.
	domainTrip = 0.002
	regionTrip = 0.025
	// loadLife is the time in seconds in which the estimate of a load loses most
	// of its weight: a few requests, after which the target has told a newer one.
	loadLife = 1.0
	// usual is the share of its slots that a target uses when nothing newer is
	// known.
	usual = 0.4
	// coldFactor is how much slower a target is after its start.
	coldFactor = 2.0
	// unused is the time without a request from any daemon after which a target
	// gets one that may be repeated. Most gray failures last longer, but a target
	// that recovered must be in use again within two seconds.
	unused = 1000 * time.Millisecond
	// oneIn is the part of the requests that look for such a target: few enough
	// that the daemons do not all choose it before they hear of each other.
	oneIn = 3
	// compared is the number of random candidates of the own region, and
	// comparedAway that of the others. It does not grow with the pool: hosts that
	// compare many choose the same few before they hear of each other.
	compared     = 4
	comparedAway = 2
)

// Need is what a request asks of its target.
type Need struct {
	Pool model.PoolID
	// Work is the usual time of the request at a target in seconds.
	Work float64
	// Bytes is the usual size of request and answer.
	Bytes float64
	// Repeat says that the request may be repeated.
	Repeat bool
	// Tried are targets that shall not get it again.
	Tried []model.TargetID
}

// Choose returns the candidate with the least expected cost. The function
// random returns a number below its argument.
func (f *Field) Choose(now time.Time, n Need, random func(int) int) (*Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[n.Pool]
	if p == nil {
		return nil, false
	}
	var near, far []*Target
	for _, t := range p.targets {
		switch {
		case t.Leaving || slices.Contains(n.Tried, t.ID):
		case t.Region == f.site.Region:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	if t := forgotten(now, near, n, random); t != nil {
		return t, true
	}
	var best *Target
	least := math.Inf(1)
	for _, t := range append(draw(near, compared, random), draw(far, comparedAway, random)...) {
		if c := f.cost(now, t, n); c < least {
			best, least = t, c
		}
	}
	return best, best != nil
}

// forgotten returns a target that nobody has used for a while, for some of the
// requests that may be repeated, or nil. So a target that recovered is found
// soon, and one that was left out for no good reason stays in use.
func forgotten(now time.Time, targets []*Target, n Need, random func(int) int) *Target {
	if !n.Repeat || len(n.Tried) > 0 || random(oneIn) != 0 {
		return nil
	}
	var list []*Target
	for _, t := range targets {
		if now.Sub(t.tried) > unused && now.Sub(t.since) > unused {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[random(len(list))]
}

// draw moves count random elements to the front and returns them.
func draw(list []*Target, count int, random func(int) int) []*Target {
	count = min(count, len(list))
	for i := range count {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count:count]
}

// cost returns the expected cost of sending the request to the target.
func (f *Field) cost(now time.Time, t *Target, n Need) float64 {
	load := t.expected(now)
	slots := float64(max(t.Slots, 1))
	work := n.Work
	if now.Sub(t.since) < t.Cold.Duration() {
		work *= coldFactor
	}
	// Below its slots a target is only a little slower with more load; beyond
	// them a request waits for others to end.
	c := work * (1 + 0.3*load/slots + max(0, load+1-slots)/slots)
	risk := t.health.Risk(now)
	risk = max(risk, t.path.P(now)-grade.LongRun)
	if n.Repeat {
		c += lostOnce * risk
	} else {
		c += lostForGood * risk
	}
	switch {
	case t.Region != f.site.Region:
		c += regionTrip + regionByte*n.Bytes
	case t.Domain != f.site.Domain:
		c += domainTrip + domainByte*n.Bytes
	}
	return c
}

// expected returns the number of requests that the target is expected to have:
// the estimate fades to the usual, and this daemon's own are certain.
func (t *Target) expected(now time.Time) float64 {
	load := usual * float64(t.Slots)
	if !t.loadAt.IsZero() {
		load += (t.load - load) * math.Exp(-now.Sub(t.loadAt).Seconds()/loadLife)
	}
	return max(load, float64(t.flying), 0)
}

// move changes the estimate by requests that were sent or ended.
func (t *Target) move(now time.Time, by float64) {
	t.load, t.loadAt = t.expected(now)+by, now
}
