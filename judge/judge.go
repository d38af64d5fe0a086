package judge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
)

// maxPools is the maximum number of pools of one Judge.
const maxPools = 4096

// Judge decides which targets are ejected from the pools that it was chosen for. It is
// safe for concurrent use.
type Judge struct {
	self       model.HostID
	run        model.Incarnation
	clock      model.Clock
	random     *rand.Rand
	thresholds Thresholds

	mu    sync.Mutex
	pools map[model.PoolID]*poolState
}

// Thresholds holds the scores from which a target is ejected or suspect.
type Thresholds struct {
	Failing float64 // ejects a target for failures
	Slow    float64 // ejects a target for slowness
	Suspect float64 // makes a target suspect, so that more of its answers are reported
}

// DefaultThresholds are the lowest limits without a false ejection in a simulated day of
// healthy noise.
var DefaultThresholds = Thresholds{Failing: 12.5, Slow: 19, Suspect: 2.9}

// Option configures a Judge in New.
type Option func(*Judge)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(j *Judge) { j.clock = c } }

// WithRandSource replaces the random source of the jitter of ejections, for example by a
// seeded one.
func WithRandSource(s rand.Source) Option { return func(j *Judge) { j.random = rand.New(s) } }

// WithThresholds replaces DefaultThresholds.
func WithThresholds(t Thresholds) Option { return func(j *Judge) { j.thresholds = t } }

// New returns a Judge without evidence. Self is its host, run the incarnation of its
// process; both are part of its verdict sets.
func New(self model.HostID, run model.Incarnation, options ...Option) *Judge {
	j := &Judge{
		self: self, run: run, clock: time.Now, thresholds: DefaultThresholds,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  make(map[model.PoolID]*poolState),
	}
	for _, o := range options {
		o(j)
	}
	return j
}

// SelectJudge returns the live host that judges the pool, or "" if there is none. The loss
// of a host moves only the pools that this host judged.
func SelectJudge(pool model.PoolID, live []model.HostID) model.HostID {
	if len(live) == 0 {
		return ""
	}
	return slices.MinFunc(live, func(a, b model.HostID) int {
		return cmp.Compare(model.RendezvousHash(a, string(pool)), model.RendezvousHash(b, string(pool)))
	})
}

// HandleReport processes a report and reports whether the verdicts of the pool changed. It
// ignores duplicates, and reports on new pools above maxPools.
func (j *Judge) HandleReport(r *report.Report) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.poolState(r.Pool)
	return p != nil && p.handle(r, j.clock())
}

// Verdicts returns the verdicts of the pool with a new sequence number. It is called
// once a second, since the sets are also the heartbeat of the judge.
func (j *Judge) Verdicts(pool model.PoolID) model.VerdictSet {
	j.mu.Lock()
	defer j.mu.Unlock()
	set := model.VerdictSet{Pool: pool, Judge: j.self, Run: j.run}
	if p := j.poolState(pool); p != nil {
		p.seq++
		set.Seq, set.Verdicts = p.seq, p.verdicts(j.clock())
	}
	return set
}

// Adopt takes over the verdicts of the previous judge of a pool, so that the loss of
// that judge does not return all ejected targets at once.
func (j *Judge) Adopt(set *model.VerdictSet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p := j.poolState(set.Pool); p != nil {
		p.adopt(set, j.clock())
	}
}

// RecordProbe processes the result of a health probe of an ejected target. A failed probe
// delays the return of the target and a successful one brings it forward. A probe never
// ejects a target.
func (j *Judge) RecordProbe(pool model.PoolID, target model.TargetID, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.pools[pool]
	if p == nil || p.targets[target] == nil {
		return
	}
	p.targets[target].probe(ok, j.clock())
}

// poolState returns the state of a pool, which it creates if necessary, or nil above
// maxPools.
func (j *Judge) poolState(id model.PoolID) *poolState {
	p := j.pools[id]
	if p == nil && len(j.pools) < maxPools {
		p = &poolState{
			judge: j, targets: make(map[model.TargetID]*targetState),
			reporters: make(map[model.HostID]*reporter), customers: make(customers),
			totals: make([]scopeTotals, 1),
		}
		j.pools[id] = p
	}
	return p
}
