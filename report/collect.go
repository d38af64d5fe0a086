package report

import (
	"math"
	"slices"
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// slowFactor times the median of its route makes an answer slow.
	slowFactor = 3
	// medianSamples is the number of answers of a route before one is called slow.
	medianSamples = 5
	// medianStep is the least step of the running median in logarithmic units:
	// about 2% for each answer.
	medianStep = 0.02
)

// median is a running median of latencies: each answer moves it one step
// towards itself, which needs no memory of past answers.
type median struct {
	log float64
	n   int
}

// add takes a latency and reports whether it is slow.
func (m *median) add(d time.Duration) bool {
	x := math.Log(max(1e-6, d.Seconds()))
	m.n++
	if m.n == 1 {
		m.log = x
		return false
	}
	slow := m.n > medianSamples && x > m.log+math.Log(slowFactor)
	step := max(medianStep, 1/float64(m.n))
	if x > m.log {
		m.log += step
	} else if x < m.log {
		m.log -= step
	}
	return slow
}

// counts are those of one pool since its last report.
type counts struct {
	mu      sync.Mutex
	rows    map[model.TargetID]*Row
	medians map[model.RouteID]*median
	seq     uint64
	touched bool
	urgent  bool // to be reported soon
	hurry   bool // every answer is to be reported soon
}

// Collector counts the answers that one daemon receives.
type Collector struct {
	self  Reporter
	run   model.Incarnation
	wake  chan struct{}
	mu    sync.RWMutex
	pools map[model.PoolID]*counts
}

// NewCollector returns an empty Collector of the daemon self. The run tells
// its reports from those before a restart.
func NewCollector(self Reporter, run model.Incarnation) *Collector {
	return &Collector{self: self, run: run, wake: make(chan struct{}, 1), pools: make(map[model.PoolID]*counts)}
}

// Record counts one answer. It allocates only for a pool, target, route or
// customer that it did not see before.
func (c *Collector) Record(s Sample) {
	p := c.pool(s.Pool)
	p.mu.Lock()
	bad := p.record(&s) || p.hurry
	first := bad && !p.urgent
	p.urgent = p.urgent || bad
	p.mu.Unlock()
	if first {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

func (c *Collector) pool(id model.PoolID) *counts {
	c.mu.RLock()
	p := c.pools[id]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[id]; p == nil {
		p = &counts{rows: make(map[model.TargetID]*Row), medians: make(map[model.RouteID]*median)}
		c.pools[id] = p
	}
	return p
}

// record counts one answer and reports whether it is evidence against the target.
func (p *counts) record(s *Sample) bool {
	if s.Kind == Shed {
		return false
	}
	r := p.rows[s.Target]
	if r == nil {
		r = &Row{Target: s.Target}
		p.rows[s.Target] = r
	}
	p.touched = true
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
	case Silent:
		r.Silent++
	default:
		if !p.median(s.Route).add(s.Latency) {
			return false
		}
		r.Slow++
		return true
	}
	r.blame(s.Customer)
	return true
}

func (p *counts) median(id model.RouteID) *median {
	m := p.medians[id]
	if m == nil {
		m = new(median)
		p.medians[id] = m
	}
	return m
}

// blame counts one failure of the customer.
func (r *Row) blame(id model.CustomerID) {
	for i := range r.Failures {
		if r.Failures[i].Customer == id {
			r.Failures[i].Count++
			return
		}
	}
	r.Failures = append(r.Failures, Tally{Customer: id, Count: 1})
}

// Hurry asks for urgent reports of all answers of a pool, or ends that. The
// daemon calls it for each verdict set, with true if a target is suspect: the
// judge must see the good answers as soon as the failures.
func (c *Collector) Hurry(pool model.PoolID, on bool) {
	p := c.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hurry = on
}

// Wake returns a channel that receives after a failure or a slow answer. The daemon
// then sends what Urgent returns, at most five times a second, because a whole
// second between reports is a third of the time allowed for an ejection.
func (c *Collector) Wake() <-chan struct{} { return c.wake }

// Urgent returns the reports of the pools with such answers and empties their counts.
func (c *Collector) Urgent() []Report { return c.flush(true) }

// Flush returns the reports of all pools with answers and empties the counts.
// It is called once a second.
func (c *Collector) Flush() []Report { return c.flush(false) }

func (c *Collector) flush(urgent bool) []Report {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []Report
	for id, p := range c.pools {
		p.mu.Lock()
		if p.urgent || p.touched && !urgent {
			r := p.report()
			r.Pool, r.From, r.Run = id, c.self, c.run
			out = append(out, r)
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Report) int {
		if a.Pool < b.Pool {
			return -1
		}
		return 1
	})
	return out
}

// report copies the counts and empties them.
func (p *counts) report() Report {
	p.seq++
	out := Report{Seq: p.seq}
	for _, r := range p.rows {
		if r.Answers == 0 && r.Draining == 0 {
			continue
		}
		row := *r
		row.Failures = slices.Clone(r.Failures)
		out.Rows = append(out.Rows, row)
		*r = Row{Target: r.Target, Failures: r.Failures[:0]}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	// Entries of removed targets must not accumulate.
	if len(p.rows) > maxRows {
		clear(p.rows)
	}
	p.touched, p.urgent = false, false
	return out
}
