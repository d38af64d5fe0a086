package report

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// slowFactor is the multiple of the median latency of its route above which an
	// answer is slow.
	slowFactor = 3
	// minSamples is the number of answers of a route after which answers can be slow.
	minSamples = 5
	// minStep is the minimum step of the running median, as a natural logarithm: about
	// 2% for each answer.
	minStep = 0.02
)

// median estimates the running median of latencies. Each answer moves the estimate one
// step towards its latency, so past answers need not be stored.
type median struct {
	logSeconds float64 // natural logarithm of the median in seconds
	samples    int
}

// add adds a latency and reports whether it is slow.
func (m *median) add(d time.Duration) bool {
	logLatency := math.Log(max(1e-6, d.Seconds()))
	m.samples++
	if m.samples == 1 {
		m.logSeconds = logLatency
		return false
	}
	slow := m.samples > minSamples && logLatency > m.logSeconds+math.Log(slowFactor)
	step := max(minStep, 1/float64(m.samples))
	if logLatency > m.logSeconds {
		m.logSeconds += step
	} else if logLatency < m.logSeconds {
		m.logSeconds -= step
	}
	return slow
}

// poolCounts holds the counts of one pool since its last report.
type poolCounts struct {
	mu        sync.Mutex
	rows      map[model.TargetID]*TargetCounts
	medians   map[model.RouteID]*median
	seq       uint64
	pending   bool           // there are answers that were not reported yet
	urgent    bool           // the next report is urgent
	urgentAll bool           // every answer makes the report urgent
	early     []TargetCounts // good answers from before urgentAll was set, not yet reported
}

// Collector counts the answers that one daemon receives from targets. It is safe for
// concurrent use.
type Collector struct {
	self  Reporter
	run   model.Incarnation
	wake  chan struct{}
	mu    sync.RWMutex
	pools map[model.PoolID]*poolCounts
}

// NewCollector returns an empty Collector of the daemon self. Run distinguishes its
// reports from those before a restart of the daemon.
func NewCollector(self Reporter, run model.Incarnation) *Collector {
	return &Collector{self: self, run: run, wake: make(chan struct{}, 1), pools: make(map[model.PoolID]*poolCounts)}
}

// Record counts one answer. It allocates memory only for a new pool, target, route or
// customer.
func (c *Collector) Record(s Sample) {
	p := c.pool(s.Pool)
	p.mu.Lock()
	makesUrgent := p.record(&s) || p.urgentAll
	needsWake := makesUrgent && !p.urgent
	p.urgent = p.urgent || makesUrgent
	p.mu.Unlock()
	if needsWake {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// pool returns the counts of a pool, which it creates if necessary.
func (c *Collector) pool(id model.PoolID) *poolCounts {
	c.mu.RLock()
	p := c.pools[id]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[id]; p == nil {
		p = &poolCounts{rows: make(map[model.TargetID]*TargetCounts), medians: make(map[model.RouteID]*median)}
		c.pools[id] = p
	}
	return p
}

// record counts one answer and reports whether it is evidence against the target.
func (p *poolCounts) record(s *Sample) bool {
	if s.Kind == Shed {
		return false
	}
	r := p.rows[s.Target]
	if r == nil {
		r = &TargetCounts{Target: s.Target}
		p.rows[s.Target] = r
	}
	p.pending = true
	if s.Kind == Draining {
		r.Draining++
		return true
	}
	r.Answers++
	switch s.Kind {
	case Failed:
		r.Failed++
	case Broken:
		r.Broken++
	case NoResponse:
		r.NoResponse++
	default:
		if !p.median(s.Route).add(s.Latency) {
			return false
		}
		r.Slow++
		return true
	}
	r.countFailure(s.Customer)
	return true
}

// median returns the median of a route, which it creates if necessary.
func (p *poolCounts) median(id model.RouteID) *median {
	m := p.medians[id]
	if m == nil {
		m = new(median)
		p.medians[id] = m
	}
	return m
}

// countFailure counts one failure of a request of the customer.
func (r *TargetCounts) countFailure(id model.CustomerID) {
	for i := range r.Failures {
		if r.Failures[i].Customer == id {
			r.Failures[i].Count++
			return
		}
	}
	r.Failures = append(r.Failures, CustomerFailures{Customer: id, Count: 1})
}

// SetUrgent sets whether every answer of a pool makes its report urgent. The daemon calls it
// for each verdict set, with true if a target is suspect, because the judge must receive
// the good answers as soon as the failures.
func (c *Collector) SetUrgent(pool model.PoolID, on bool) {
	p := c.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.urgentAll {
		p.early = append(p.early, p.extract((*TargetCounts).good)...)
	}
	p.urgentAll = on
}

// UrgentC returns a channel that receives a value when a report becomes urgent, such as
// after a failure or a slow answer. The daemon then sends the reports of FlushUrgent, at most
// five times a second. Waiting up to a second for the next regular report would take a
// third of the time allowed for an ejection.
func (c *Collector) UrgentC() <-chan struct{} { return c.wake }

// FlushUrgent returns the urgent reports and resets the counts of their pools.
func (c *Collector) FlushUrgent() []Report { return c.flush(true) }

// Flush returns the reports of all pools with answers and resets their counts. The
// daemon calls it once a second.
func (c *Collector) Flush() []Report { return c.flush(false) }

func (c *Collector) flush(urgent bool) []Report {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []Report
	for id, p := range c.pools {
		p.mu.Lock()
		if p.urgent || p.pending && !urgent {
			for _, r := range p.reports() {
				r.Pool, r.From, r.Run = id, c.self, c.run
				out = append(out, r)
			}
		}
		p.mu.Unlock()
	}
	slices.SortStableFunc(out, func(a, b Report) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// reports returns the counts as one report or two and resets them. Answers from before
// urgentAll was set are in a report of their own, marked as early.
func (p *poolCounts) reports() (out []Report) {
	if len(p.early) > 0 {
		p.seq++
		out = append(out, Report{Seq: p.seq, Rows: p.early, Early: true})
		p.early = nil
	}
	if rows := p.extract(nil); len(rows) > 0 {
		p.seq++
		out = append(out, Report{Seq: p.seq, Rows: rows})
	}
	// Rows of removed targets must not accumulate.
	if len(p.rows) > maxRows {
		clear(p.rows)
	}
	p.pending, p.urgent = false, false
	return out
}

// extract returns the rows for which match is true, or all if it is nil, and resets
// them.
func (p *poolCounts) extract(match func(*TargetCounts) bool) (out []TargetCounts) {
	for _, r := range p.rows {
		if r.Answers == 0 && r.Draining == 0 || match != nil && !match(r) {
			continue
		}
		row := *r
		row.Failures = slices.Clone(r.Failures)
		out = append(out, row)
		*r = TargetCounts{Target: r.Target, Failures: r.Failures[:0]}
	}
	slices.SortFunc(out, func(a, b TargetCounts) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
