package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/subset"
)

const (
	// remoteShare is the maximum share of a pool's requests that goes to other
	// regions: traffic between regions is billed by volume.
	remoteShare = 0.1
	// maxRemoteCredit limits how many requests in a row may go to other regions.
	maxRemoteCredit = 10
	// suspectExtraShares is the additional load of a suspect target, in multiples
	// of its fair share.
	suspectExtraShares = 3
	// maxSuspectShare limits the suspects' additional share of the requests: the
	// judge needs responses of other targets to compare with.
	maxSuspectShare = 0.6
	// drawAttempts is the maximum number of random draws for each of the two
	// candidates. If no draw finds a first candidate, all targets are compared.
	drawAttempts = 4
)

// pool is the state of one pool on this daemon.
type pool struct {
	id     model.PoolID
	self   Daemon
	clock  model.Clock
	random *rand.Rand

	mu            sync.Mutex
	floor         model.Share
	targets       []*target // in the configured order
	byID          map[model.TargetID]*target
	local         []*target // own region; accept new requests
	remote        []*target // other regions; accept new requests
	localSuspects []*target // the suspect ones of local
	localClosed   bool      // no local target, or all are leaving or draining: remote has no cap
	remoteCredit  float64   // requests that may go to other regions
	inFlight      int
	spareSlots    []*Slot // ended slots, for reuse
	freed         chan struct{}
	nextRebuild   time.Time // when the lists of targets change next; zero means never
	verdictState
}

func newPool(p *Picker, id model.PoolID) *pool {
	return &pool{
		id: id, self: p.self, clock: p.clock,
		random: rand.New(rand.NewPCG(p.seeds.Uint64(), p.seeds.Uint64())),
		byID:   make(map[model.TargetID]*target),
	}
}

// update replaces the configuration of the pool.
func (q *pool) update(config *model.Pool, s *subset.Subset, now time.Time) {
	assignments := s.Assignments(config)
	q.mu.Lock()
	defer q.mu.Unlock()
	existing := len(q.targets) > 0
	for _, t := range q.targets {
		t.configured = false
	}
	q.floor = config.Floor
	q.targets = make([]*target, 0, len(config.Targets))
	for i := range config.Targets {
		c := &config.Targets[i]
		t := q.byID[c.ID]
		if t == nil {
			t = new(target)
			q.byID[c.ID] = t
			if existing {
				t.ramp, t.rampStart = cold, now
			}
		}
		t.config, t.configured, t.inSubset = c, true, assignments[i].Used
		t.setUsers(assignments[i].LocalDaemons)
		q.targets = append(q.targets, t)
	}
	for id, t := range q.byID {
		if !t.configured && t.inFlight == 0 {
			delete(q.byID, id)
		}
	}
	q.local = make([]*target, 0, len(q.targets))
	q.remote = make([]*target, 0, len(q.targets))
	q.ranked = make([]rankedTarget, 0, len(q.targets))
	q.rebuild(now)
}

// retire removes all targets of a removed pool and reports whether it still has
// requests in flight.
func (q *pool) retire(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.targets {
		t.configured = false
	}
	q.targets = q.targets[:0]
	q.rebuild(now)
	return q.inFlight > 0
}

// rebuild recomputes the lists of targets that accept new requests and wakes the
// waiting requests.
func (q *pool) rebuild(now time.Time) {
	q.nextRebuild = time.Time{}
	q.expire(now)
	q.updateEjections(now)
	q.local, q.remote, q.localSuspects, q.localClosed = q.local[:0], q.remote[:0], q.localSuspects[:0], true
	for _, t := range q.targets {
		if !t.inSubset {
			continue
		}
		if now.Before(t.drainingUntil) {
			q.scheduleRebuild(t.drainingUntil)
		}
		ownRegion := t.config.Region == q.self.Region
		if ownRegion && !t.unavailable(now) {
			q.localClosed = false
		}
		switch {
		case t.ejected || t.unavailable(now):
		case ownRegion:
			q.local = append(q.local, t)
			if q.suspects[t.config.ID] {
				q.localSuspects = append(q.localSuspects, t)
			}
		default:
			q.remote = append(q.remote, t)
		}
	}
	q.notifyWaiters()
}

// scheduleRebuild requests a rebuild at the given time or earlier.
func (q *pool) scheduleRebuild(at time.Time) {
	if q.nextRebuild.IsZero() || at.Before(q.nextRebuild) {
		q.nextRebuild = at
	}
}

func (q *pool) rebuildIfDue(now time.Time) {
	if !q.nextRebuild.IsZero() && !now.Before(q.nextRebuild) {
		q.rebuild(now)
	}
}

func (q *pool) pick(request *Request, now time.Time) (*Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rebuildIfDue(now)
	t, toRemote := q.chooseTarget(request, now)
	if t == nil {
		if q.exhausted(request) {
			return nil, errNone
		}
		return nil, errBusy
	}
	q.remoteCredit = min(maxRemoteCredit, q.remoteCredit+remoteShare)
	if toRemote {
		q.remoteCredit--
	}
	t.inFlight++
	t.limitReached = t.limitReached || t.inFlight >= t.limit
	q.inFlight++
	return q.newSlot(t), nil
}

// chooseTarget prefers the own region, and in it failure domains that were not
// tried yet. toRemote reports whether the choice uses the remote credit.
func (q *pool) chooseTarget(request *Request, now time.Time) (chosen *target, toRemote bool) {
	if len(request.TriedDomains) > 0 {
		if t := q.pickOfTwo(q.local, request, now, true); t != nil {
			return t, false
		}
	}
	if t := q.pickSuspect(request, now); t != nil {
		return t, false
	}
	if t := q.pickOfTwo(q.local, request, now, false); t != nil {
		return t, false
	}
	if q.localClosed {
		return q.pickOfTwo(q.remote, request, now, false), false
	}
	if q.remoteCredit+remoteShare < 1 {
		return nil, false
	}
	return q.pickOfTwo(q.remote, request, now, false), true
}

// pickSuspect sends some of the repeatable requests to a suspect target. The
// target then gets several times its fair share, so that the judge can decide
// sooner.
func (q *pool) pickSuspect(request *Request, now time.Time) *target {
	if len(q.localSuspects) == 0 || !request.Repeatable || q.random.Float64() >= min(maxSuspectShare, suspectExtraShares/float64(len(q.local))) {
		return nil
	}
	t := q.localSuspects[q.random.IntN(len(q.localSuspects))]
	if !usable(t, request, now, true) {
		return nil
	}
	return t
}

// pickOfTwo returns the less loaded of two random targets, or the least loaded of
// all if the random draws find no usable one. With newDomain set, targets in
// failure domains that were tried are not usable.
func (q *pool) pickOfTwo(list []*target, request *Request, now time.Time, newDomain bool) *target {
	if len(list) == 0 {
		return nil
	}
	a := q.drawTarget(list, request, now, newDomain)
	if a == nil {
		return leastLoaded(list, request, now, newDomain)
	}
	b := q.drawTarget(list, request, now, newDomain)
	if b == nil || a.load() <= b.load() {
		return a
	}
	return b
}

// drawTarget draws a random usable target, with a probability in proportion to its
// weight. The weight is not applied in the comparison of two targets: there, any
// weight below 1 would always lose between idle targets, so a returning target
// would receive nothing until its ramp ends and then its full share at once.
func (q *pool) drawTarget(list []*target, request *Request, now time.Time, newDomain bool) *target {
	for range drawAttempts {
		t := list[q.random.IntN(len(list))]
		if !usable(t, request, now, newDomain) {
			continue
		}
		if w := t.weight(now); w < 1 && q.random.Float64() >= w {
			continue
		}
		return t
	}
	return nil
}

// leastLoaded returns the usable target with the lowest load relative to its
// weight, or nil.
func leastLoaded(list []*target, request *Request, now time.Time, newDomain bool) *target {
	var result *target
	var lowest float64
	for _, t := range list {
		if !usable(t, request, now, newDomain) {
			continue
		}
		if load := t.load() / t.weight(now); result == nil || load < lowest {
			result, lowest = t, load
		}
	}
	return result
}

// usable reports whether the target has a free slot and was not tried for the request
// yet. With newDomain set, its failure domain must not have been tried either.
func usable(t *target, request *Request, now time.Time, newDomain bool) bool {
	if t.inFlight >= t.currentLimit(now) || newDomain && slices.Contains(request.TriedDomains, t.config.Domain) {
		return false
	}
	return !slices.Contains(request.TriedTargets, t.config.ID)
}

// exhausted reports whether waiting cannot help because all targets that accept
// new requests were tried.
func (q *pool) exhausted(request *Request) bool {
	untried := func(t *target) bool { return !slices.Contains(request.TriedTargets, t.config.ID) }
	return !slices.ContainsFunc(q.local, untried) && !slices.ContainsFunc(q.remote, untried)
}

func (q *pool) newSlot(t *target) *Slot {
	n := len(q.spareSlots)
	if n == 0 {
		return &Slot{pool: q, target: t, config: t.config}
	}
	s := q.spareSlots[n-1]
	q.spareSlots = q.spareSlots[:n-1]
	s.target, s.config = t, t.config
	return s
}

func (q *pool) done(s *Slot, r Result) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := s.target
	t.inFlight--
	q.inFlight--
	t.adjustLimit(r, now)
	s.target = nil
	q.spareSlots = append(q.spareSlots, s)
	if r == Draining {
		q.rebuild(now)
		return
	}
	q.notifyWaiters()
}

// notifyWaiters wakes the requests that wait for a free slot.
func (q *pool) notifyWaiters() {
	if q.freed != nil {
		close(q.freed)
		q.freed = nil
	}
}

func (q *pool) freeChannel() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.freed == nil {
		q.freed = make(chan struct{})
	}
	return q.freed
}

// capacity returns how many requests may be in flight at once.
func (q *pool) capacity(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rebuildIfDue(now)
	localSum, remoteSum := 0, 0
	for _, t := range q.local {
		localSum += max(t.inFlight, t.currentLimit(now))
	}
	for _, t := range q.remote {
		remoteSum += max(t.inFlight, t.currentLimit(now))
	}
	if !q.localClosed {
		remoteSum = min(remoteSum, int(q.remoteCredit+remoteShare))
	}
	return localSum + remoteSum
}

func (q *pool) status(now time.Time) []Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rebuildIfDue(now)
	out := make([]Status, 0, len(q.targets))
	for _, t := range q.targets {
		out = append(out, Status{
			Target: t.config.ID, InFlight: t.inFlight, Limit: t.limit, Weight: t.weight(now),
			InSubset: t.inSubset, Ejected: t.ejected, Draining: t.unavailable(now),
		})
	}
	return out
}
