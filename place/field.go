package place

import (
	"sync"
	"time"

	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/model"
)

// Site is where this daemon stands.
type Site struct {
	Region model.Region
	Domain model.Domain
}

// Field holds what is known about the targets of all pools.
type Field struct {
	site Site

	mu      sync.Mutex
	targets map[model.TargetID]*Target
	pools   map[model.PoolID]*pool
}

type pool struct {
	targets []*Target
	base    grade.Base
}

// Target is one target as this daemon knows it.
type Target struct {
	model.Instance
	field *Field
	since time.Time // when this daemon learned of it

	health grade.Grade // from the answers that any daemon got
	path   grade.Grade // from this daemon's own failures to reach it

	flying int       // requests of this daemon
	tried  time.Time // when any daemon last sent it a request, as far as known
	// load is the estimated number of requests that the target runs and queues:
	// what it last told any daemon, with what was sent and ended since.
	load   float64
	loadAt time.Time
}

// NewField returns a field without targets.
func NewField(s Site) *Field {
	return &Field{site: s, targets: make(map[model.TargetID]*Target), pools: make(map[model.PoolID]*pool)}
}

// Update sets the targets. What is known about one is kept while it is the
// same incarnation.
func (f *Field) Update(now time.Time, set map[model.PoolID][]*model.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make(map[model.TargetID]*Target)
	pools := make(map[model.PoolID]*pool)
	for id, list := range set {
		p := &pool{}
		if old := f.pools[id]; old != nil {
			p.base = old.base
		}
		for _, i := range list {
			t := f.targets[i.ID]
			if t == nil || t.Born != i.Born || t.Address != i.Address {
				t = &Target{field: f, since: now}
			}
			t.Instance = *i
			targets[i.ID] = t
			p.targets = append(p.targets, t)
		}
		pools[id] = p
	}
	f.targets, f.pools = targets, pools
}

// Size returns the number of targets of a pool that take new requests.
func (f *Field) Size(id model.PoolID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	if p := f.pools[id]; p != nil {
		for _, t := range p.targets {
			if !t.Leaving {
				n++
			}
		}
	}
	return n
}

// Sight is what other daemons saw of a target.
type Sight struct {
	Target model.TargetID
	Kind   grade.Sight
	Count  int
}

// Others takes what other daemons saw, and the load that a target last told
// one of them; a negative load is unknown.
func (f *Field) Others(now time.Time, s Sight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[s.Target]
	if t == nil {
		return
	}
	t.tried = now
	p := f.pools[t.Pool]
	n := s.Count
	if s.Kind == grade.Lost {
		n = min(n, 1) // many of one daemon may be its path
	}
	for range min(n, manySights) {
		t.health.Add(now, s.Kind, &p.base)
	}
	p.base.Add(now, s.Kind, float64(s.Count))
}

// manySights is the number of equal observations beyond which more of them
// change nothing.
const manySights = 6

// Load takes the load that a target told another daemon.
func (f *Field) Load(now time.Time, id model.TargetID, load float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.load, t.loadAt = load, now
	}
}

// Moves takes the requests that other daemons sent to a target, and those that
// ended there.
func (f *Field) Moves(now time.Time, id model.TargetID, sent, ended int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.move(now, float64(sent-ended))
	}
}

// Begin counts a request that is sent to the target.
func (t *Target) Begin(now time.Time) {
	t.field.mu.Lock()
	defer t.field.mu.Unlock()
	t.flying++
	t.tried = now
	t.move(now, 1)
}

// End counts the end of a request.
func (t *Target) End(now time.Time) {
	t.field.mu.Lock()
	defer t.field.mu.Unlock()
	t.flying--
	t.move(now, -1)
}

// See takes what this daemon saw of the target.
func (t *Target) See(now time.Time, s grade.Sight) {
	f := t.field
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[t.Pool]
	if p == nil {
		return
	}
	t.health.Add(now, s, &p.base)
	if s == grade.Lost || s == grade.Good {
		// The pool's base does not excuse a broken path.
		var none grade.Base
		t.path.Add(now, s, &none)
		if s == grade.Lost {
			t.path.Add(now, s, &none)
		}
	}
	p.base.Add(now, s, 1)
}

// Told takes the load that the target told this daemon.
func (t *Target) Told(now time.Time, load float64) {
	t.field.mu.Lock()
	defer t.field.mu.Unlock()
	t.load, t.loadAt = load, now
}

// Sick returns the probability that the target is sick, for logs.
func (t *Target) Sick(now time.Time) float64 {
	t.field.mu.Lock()
	defer t.field.mu.Unlock()
	return t.health.P(now)
}
