package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/spread"
)

const (
	// spillShare is the largest part of a pool's requests that goes to other
	// regions: the link between regions is billed by volume.
	spillShare = 0.1
	// spillSaved bounds the requests that may go to other regions in a row.
	spillSaved = 10
	// suspectExtra is the additional load of a suspect target, in fair parts.
	suspectExtra = 3
	// suspectMost bounds its additional share of the requests: the judge needs
	// answers of the other targets to compare with.
	suspectMost = 0.6
	// drawTries is the number of random draws for one of the two choices
	// before all targets are compared.
	drawTries = 4
)

// pool is the state of one pool on this daemon.
type pool struct {
	id     model.PoolID
	self   Daemon
	clock  model.Clock
	random *rand.Rand

	mu      sync.Mutex
	floor   model.Share
	targets []*target // in the configured order
	byID    map[model.TargetID]*target
	home    []*target // open targets of the own region
	away    []*target // open targets of other regions
	doubt   []*target // open targets of the own region that are suspect
	lone    bool      // the own region has no open target: away is used without a cap
	credit  float64   // requests that may go to other regions
	flight  int
	idle    []*Hold // ended holds for reuse
	free    chan struct{}
	recheck time.Time // the sets of targets change then
	verdictState
}

func newPool(p *Picker, id model.PoolID) *pool {
	return &pool{
		id: id, self: p.self, clock: p.clock,
		random: rand.New(rand.NewPCG(p.source.Uint64(), p.source.Uint64())),
		byID:   make(map[model.TargetID]*target),
	}
}

// update replaces the configuration of the pool.
func (q *pool) update(conf *model.Pool, s *spread.Subset, now time.Time) {
	use := s.Members(conf)
	q.mu.Lock()
	defer q.mu.Unlock()
	others := len(q.targets) > 0
	for _, t := range q.targets {
		t.present = false
	}
	q.floor = conf.Floor
	q.targets = make([]*target, 0, len(conf.Targets))
	for i := range conf.Targets {
		c := &conf.Targets[i]
		t := q.byID[c.ID]
		if t == nil {
			t = new(target)
			q.byID[c.ID] = t
			if others {
				t.ramp, t.since = cold, now
			}
		}
		t.conf, t.present, t.member = c, true, use[i].Used
		t.reshare(use[i].Users)
		q.targets = append(q.targets, t)
	}
	for id, t := range q.byID {
		if !t.present && t.flight == 0 {
			delete(q.byID, id)
		}
	}
	q.home = make([]*target, 0, len(q.targets))
	q.away = make([]*target, 0, len(q.targets))
	q.grade = make([]graded, 0, len(q.targets))
	q.rebuild(now)
}

// retire closes a removed pool and reports whether it still has requests in flight.
func (q *pool) retire(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.targets {
		t.present = false
	}
	q.targets = q.targets[:0]
	q.rebuild(now)
	return q.flight > 0
}

// rebuild finds the targets that take new work and wakes those who wait.
func (q *pool) rebuild(now time.Time) {
	q.recheck = time.Time{}
	q.expire(now)
	q.honour(now)
	q.home, q.away, q.doubt, q.lone = q.home[:0], q.away[:0], q.doubt[:0], true
	for _, t := range q.targets {
		if !t.member {
			continue
		}
		if now.Before(t.drain) {
			q.wake(t.drain)
		}
		near := t.conf.Region == q.self.Region
		if near && !t.closed(now) {
			q.lone = false
		}
		switch {
		case t.out || t.closed(now):
		case near:
			q.home = append(q.home, t)
			if q.suspects[t.conf.ID] {
				q.doubt = append(q.doubt, t)
			}
		default:
			q.away = append(q.away, t)
		}
	}
	q.notify()
}

// wake asks for a rebuild at the given time.
func (q *pool) wake(at time.Time) {
	if q.recheck.IsZero() || at.Before(q.recheck) {
		q.recheck = at
	}
}

func (q *pool) refresh(now time.Time) {
	if !q.recheck.IsZero() && !now.Before(q.recheck) {
		q.rebuild(now)
	}
}

func (q *pool) pick(need *Need, now time.Time) (*Hold, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now)
	t, spilled := q.choose(need, now)
	if t == nil {
		if q.exhausted(need) {
			return nil, errNone
		}
		return nil, errBusy
	}
	q.credit = min(spillSaved, q.credit+spillShare)
	if spilled {
		q.credit--
	}
	t.flight++
	t.full = t.full || t.flight >= t.limit
	q.flight++
	return q.hold(t), nil
}

// choose tries the own region first, and in it other failure domains than
// those that were tried.
func (q *pool) choose(need *Need, now time.Time) (best *target, spilled bool) {
	if len(need.Domains) > 0 {
		if t := q.draw(q.home, need, now, true); t != nil {
			return t, false
		}
	}
	if t := q.confirm(need, now); t != nil {
		return t, false
	}
	if t := q.draw(q.home, need, now, false); t != nil {
		return t, false
	}
	if q.lone {
		return q.draw(q.away, need, now, false), false
	}
	if q.credit+spillShare < 1 {
		return nil, false
	}
	return q.draw(q.away, need, now, false), true
}

// confirm sends a part of the repeatable requests to a suspect target, so that
// it gets several times its fair part and the judge can decide sooner.
func (q *pool) confirm(need *Need, now time.Time) *target {
	if len(q.doubt) == 0 || !need.Repeat || q.random.Float64() >= min(suspectMost, suspectExtra/float64(len(q.home))) {
		return nil
	}
	t := q.doubt[q.random.IntN(len(q.doubt))]
	if !usable(t, need, now, true) {
		return nil
	}
	return t
}

// draw returns the better of two random targets, or the best of all if the
// draws find none that is usable.
func (q *pool) draw(list []*target, need *Need, now time.Time, strict bool) *target {
	if len(list) == 0 {
		return nil
	}
	a := q.sample(list, need, now, strict)
	if a == nil {
		return best(list, need, now, strict)
	}
	b := q.sample(list, need, now, strict)
	if b == nil || a.load() <= b.load() {
		return a
	}
	return b
}

// sample draws a usable target. The weight acts here: in the comparison of two
// idle targets every weight below 1 loses alike, so that a returning target
// would not ramp but get its whole part at the end.
func (q *pool) sample(list []*target, need *Need, now time.Time, strict bool) *target {
	for range drawTries {
		t := list[q.random.IntN(len(list))]
		if !usable(t, need, now, strict) {
			continue
		}
		if w := t.weight(now); w < 1 && q.random.Float64() >= w {
			continue
		}
		return t
	}
	return nil
}

// best compares all targets of the list by load and weight.
func best(list []*target, need *Need, now time.Time, strict bool) *target {
	var out *target
	var least float64
	for _, t := range list {
		if !usable(t, need, now, strict) {
			continue
		}
		if load := t.load() / t.weight(now); out == nil || load < least {
			out, least = t, load
		}
	}
	return out
}

func usable(t *target, need *Need, now time.Time, strict bool) bool {
	if t.flight >= t.room(now) || strict && slices.Contains(need.Domains, t.conf.Domain) {
		return false
	}
	return !slices.Contains(need.Tried, t.conf.ID)
}

// exhausted reports whether waiting cannot help: no open target is left to try.
func (q *pool) exhausted(need *Need) bool {
	untried := func(t *target) bool { return !slices.Contains(need.Tried, t.conf.ID) }
	return !slices.ContainsFunc(q.home, untried) && !slices.ContainsFunc(q.away, untried)
}

func (q *pool) hold(t *target) *Hold {
	n := len(q.idle)
	if n == 0 {
		return &Hold{pool: q, target: t, conf: t.conf}
	}
	h := q.idle[n-1]
	q.idle = q.idle[:n-1]
	h.target, h.conf = t, t.conf
	return h
}

func (q *pool) done(h *Hold, r Result) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := h.target
	t.flight--
	q.flight--
	t.settle(r, now)
	h.target = nil
	q.idle = append(q.idle, h)
	if r == Draining {
		q.rebuild(now)
		return
	}
	q.notify()
}

// notify wakes those who wait for a free slot.
func (q *pool) notify() {
	if q.free != nil {
		close(q.free)
		q.free = nil
	}
}

func (q *pool) watch() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free == nil {
		q.free = make(chan struct{})
	}
	return q.free
}

// capacity sums the requests that may be in flight at once.
func (q *pool) capacity(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now)
	sum, spill := 0, 0
	for _, t := range q.home {
		sum += max(t.flight, t.room(now))
	}
	for _, t := range q.away {
		spill += max(t.flight, t.room(now))
	}
	if !q.lone {
		spill = min(spill, int(q.credit+spillShare))
	}
	return sum + spill
}

func (q *pool) status(now time.Time) []Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now)
	out := make([]Status, 0, len(q.targets))
	for _, t := range q.targets {
		out = append(out, Status{
			Target: t.conf.ID, Flight: t.flight, Limit: t.limit, Weight: t.weight(now),
			Member: t.member, Ejected: t.out, Draining: t.closed(now),
		})
	}
	return out
}
