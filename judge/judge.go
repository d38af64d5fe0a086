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

// maxPools bounds the pools of one judge.
const maxPools = 4096

// Judge decides on the targets of the pools that it was chosen for.
type Judge struct {
	self   model.HostID
	run    model.Incarnation
	clock  model.Clock
	random *rand.Rand
	limits Limits

	mu    sync.Mutex
	pools map[model.PoolID]*docket
}

// Limits are the scores at which the tests decide.
type Limits struct {
	Failing float64 // of the test on failures
	Slow    float64 // of the test on slowness
	Suspect float64 // of the test on failures, to ask for more answers
}

// DefaultLimits are as low as no false ejection in a day of healthy noise allows.
var DefaultLimits = Limits{Failing: 12.5, Slow: 19, Suspect: 2.9}

// Option changes a Judge under construction.
type Option func(*Judge)

// WithClock replaces the clock.
func WithClock(c model.Clock) Option { return func(j *Judge) { j.clock = c } }

// WithSource replaces the source of the jitter, for example by a seeded one.
func WithSource(s rand.Source) Option { return func(j *Judge) { j.random = rand.New(s) } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(j *Judge) { j.limits = l } }

// New returns a Judge without evidence on the host self.
func New(self model.HostID, run model.Incarnation, options ...Option) *Judge {
	j := &Judge{
		self: self, run: run, clock: time.Now, limits: DefaultLimits,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  make(map[model.PoolID]*docket),
	}
	for _, o := range options {
		o(j)
	}
	return j
}

// Chosen returns the live host that judges the pool, or "" without live hosts.
func Chosen(pool model.PoolID, live []model.HostID) model.HostID {
	if len(live) == 0 {
		return ""
	}
	return slices.MinFunc(live, func(a, b model.HostID) int {
		return cmp.Compare(model.Rank(a, string(pool)), model.Rank(b, string(pool)))
	})
}

// Handle takes a report and reports whether the pool's verdicts changed. A
// report that was seen before is ignored.
func (j *Judge) Handle(r *report.Report) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.docket(r.Pool)
	return d != nil && d.handle(r, j.clock())
}

// Verdicts returns the pool's verdicts with a new sequence number. Daemons
// need a set each second, as a sign that the judge is live.
func (j *Judge) Verdicts(pool model.PoolID) model.VerdictSet {
	j.mu.Lock()
	defer j.mu.Unlock()
	set := model.VerdictSet{Pool: pool, Judge: j.self, Run: j.run}
	if d := j.docket(pool); d != nil {
		d.seq++
		set.Seq, set.List = d.seq, d.verdicts(j.clock())
	}
	return set
}

// Adopt starts from the verdicts of the previous judge, so that its loss does
// not return all ejected targets at once.
func (j *Judge) Adopt(set *model.VerdictSet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.docket(set.Pool); d != nil {
		d.adopt(set, j.clock())
	}
}

// Probe takes the result of a health probe of an ejected target. A probe never
// ejects: a failed one delays the return and a good one ends it earlier.
func (j *Judge) Probe(pool model.PoolID, target model.TargetID, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.pools[pool]
	if d == nil || d.subjects[target] == nil {
		return
	}
	d.subjects[target].probe(ok, j.clock())
}

func (j *Judge) docket(id model.PoolID) *docket {
	d := j.pools[id]
	if d == nil && len(j.pools) < maxPools {
		d = &docket{
			judge: j, subjects: make(map[model.TargetID]*subject),
			reporters: make(map[model.HostID]*reporter), customers: make(customers),
			totals: make([]cellSums, 1),
		}
		j.pools[id] = d
	}
	return d
}
