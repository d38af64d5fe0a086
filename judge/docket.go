package judge

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/cusum"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
)

const (
	// baseMemory is the time in which the long-run counts decay by 1/e.
	baseMemory = 10 * time.Second
	// tickPeriod is the least time between two decays of the counts.
	tickPeriod = 250 * time.Millisecond
	// subjectLife is the time after which a target without answers is forgotten.
	subjectLife = 10 * time.Minute
	// leastReporters is the number of reporters from which one of them counts
	// for at most a third.
	leastReporters = 3
)

// evidence is a row of a report without what was left out.
type evidence struct {
	on       *subject
	row      sums
	failures []report.Tally
}

// The indexes of the two tests.
const (
	failing = iota
	slow
)

// sums are the counts for the two tests.
type sums [2]cusum.Counts

func (s *sums) add(o *sums, factor float64) {
	for k := range s {
		s[k].Add(o[k], factor)
	}
}

func (s *sums) scale(factor float64) {
	for k := range s {
		s[k].Scale(factor)
	}
}

// cellSums are the counts of a pool as seen by all reporters or by those of
// one failure domain.
type cellSums struct {
	total  sums // never decays, for differences
	recent sums
	active int // live reporters
}

// docket is the state of one pool. The cells 1 and up belong to the failure
// domains of the reporters, cell 0 to all.
type docket struct {
	judge     *Judge
	seq       uint64
	domains   []model.Domain
	subjects  map[model.TargetID]*subject
	reporters map[model.HostID]*reporter
	customers customers
	totals    []cellSums
	rows      []evidence // reused
	ticked    time.Time
	swept     time.Time
}

func (d *docket) handle(r *report.Report, now time.Time) bool {
	from := d.reporter(r, now)
	if r.Run == from.run && r.Seq <= from.seq {
		return false
	}
	from.run, from.seq = r.Run, r.Seq
	changed := d.tick(now)
	changed = d.read(r, now) || changed
	from.observe(d.rows, now)
	d.customers.observe(d.rows, now)
	if from.sick && d.sick() <= sickShare*float64(d.totals[0].active) {
		for _, s := range d.subjects {
			s.drop(from)
		}
		d.weigh(from, false, now)
		return changed
	}
	d.weigh(from, true, now)
	for i := range d.rows {
		changed = d.decide(d.rows[i].on, from.domain, now) || changed
	}
	return changed
}

// reporter returns the sender's state.
func (d *docket) reporter(r *report.Report, now time.Time) *reporter {
	from := d.reporters[r.From.Host]
	if from != nil {
		return from
	}
	index := slices.Index(d.domains, r.From.Domain)
	if index < 0 {
		index = len(d.domains)
		d.domains = append(d.domains, r.From.Domain)
		d.totals = append(d.totals, cellSums{})
	}
	from = &reporter{host: r.From.Host, domain: index, heard: now, targets: make(map[*subject]*cusum.Counts)}
	d.reporters[r.From.Host] = from
	d.activate(now)
	return from
}

// activate counts the live reporters.
func (d *docket) activate(now time.Time) {
	for i := range d.totals {
		d.totals[i].active = 0
	}
	for _, r := range d.reporters {
		if now.Sub(r.heard) < reporterLife {
			d.totals[0].active++
			d.totals[1+r.domain].active++
		}
	}
}

// tick lets counts decay and ejections end. It reports whether one ended.
func (d *docket) tick(now time.Time) bool {
	gone := now.Sub(d.ticked)
	if gone < tickPeriod {
		return false
	}
	d.ticked = now
	f := decay(gone, baseMemory)
	for i := range d.totals {
		d.totals[i].recent.scale(f)
	}
	d.activate(now)
	changed := false
	for _, s := range d.subjects {
		changed = s.tick(f, now) || changed
	}
	if now.Sub(d.swept) >= reporterLife {
		d.swept = now
		d.sweep(now)
	}
	return changed
}

// sweep removes what was not heard of for long.
func (d *docket) sweep(now time.Time) {
	d.customers.forget(now)
	for host, r := range d.reporters {
		if now.Sub(r.heard) < 3*reporterLife {
			continue
		}
		delete(d.reporters, host)
		for _, s := range d.subjects {
			s.drop(r)
		}
	}
	for id, s := range d.subjects {
		if now.Sub(s.heard) < subjectLife {
			continue
		}
		delete(d.subjects, id)
		for _, r := range d.reporters {
			delete(r.targets, s)
		}
	}
}

func (d *docket) subject(id model.TargetID, now time.Time) *subject {
	s := d.subjects[id]
	if s == nil {
		s = &subject{id: id, heard: now}
		d.subjects[id] = s
	}
	for len(s.cells) <= len(d.domains) {
		s.cells = append(s.cells, cell{})
	}
	return s
}

// read turns the report into evidence and reports whether a target began to drain.
func (d *docket) read(r *report.Report, now time.Time) (changed bool) {
	d.rows = d.rows[:0]
	for i := range r.Rows {
		row := &r.Rows[i]
		s := d.subject(row.Target, now)
		s.heard = now
		if row.Draining > 0 {
			changed = changed || !now.Before(s.drain)
			s.drain = now.Add(drainMemory)
		}
		e := evidence{on: s, failures: row.Failures}
		e.row[failing] = cusum.Counts{N: float64(row.Answers), Bad: float64(row.Bad())}
		e.row[slow] = cusum.Counts{N: float64(row.Answers - row.Bad()), Bad: float64(row.Slow)}
		d.rows = append(d.rows, e)
	}
	return changed
}

// weigh adds the rows to the counts and tests. Late answers of a target that
// is ejected already are no evidence. A reporter that is not trusted counts in
// the base rates: without it, the trusted ones would be those to whom the pool
// looks better than it is.
func (d *docket) weigh(from *reporter, trusted bool, now time.Time) {
	cells := [2]int{0, 1 + from.domain}
	var before [2]sums
	for i, c := range cells {
		before[i] = d.totals[c].total
	}
	for i := range d.rows {
		e := &d.rows[i]
		for _, f := range e.failures {
			if c := d.customers[f.Customer]; c != nil && now.Before(c.sick) {
				e.row[failing].Add(cusum.Counts{N: 1, Bad: 1}, -float64(f.Count))
			}
		}
		for _, c := range cells {
			if !e.on.out(c) {
				d.totals[c].total.add(&e.row, 1)
				d.totals[c].recent.add(&e.row, 1)
				e.on.cells[c].recent.add(&e.row, 1)
			}
		}
	}
	if !trusted {
		return
	}
	for i := range d.rows {
		e := &d.rows[i]
		for j, c := range cells {
			if e.on.out(c) || e.on.out(1+from.domain) {
				continue
			}
			for k := range e.row {
				e.on.cells[c].tests[k].Add(from, e.row[k], d.base(e.on, c, k), before[j][k])
			}
		}
	}
}

// base returns the rate of the other targets.
func (d *docket) base(s *subject, c, k int) float64 {
	return d.totals[c].recent[k].Base(s.cells[c].recent[k])
}

// decide compares the tests of a target with their limits and reports whether
// a verdict changed.
func (d *docket) decide(s *subject, domain int, now time.Time) bool {
	changed := false
	for _, c := range [2]int{0, 1 + domain} {
		// The cell of a single failure domain equals that of the pool.
		if s.out(c) || c > 0 && len(d.domains) < 2 {
			continue
		}
		for k := range s.cells[c].tests {
			limit := d.limit(s, c, k, now)
			score, base := d.score(s, c, k)
			if score < limit || d.excuse(s, k, now) {
				continue
			}
			d.eject(s, c, k, score, base, now)
			changed = true
			break
		}
	}
	failed, _ := d.score(s, 0, failing)
	slowed, _ := d.score(s, 0, slow)
	suspect := !s.out(0) && (max(failed, slowed) >= d.judge.limits.Suspect || s.partly(now))
	changed = changed || suspect != s.suspect
	s.suspect = suspect
	return changed
}

// excuse reports whether the failures are those of a customer that fails on many
// targets, and leaves them out from then on.
func (d *docket) excuse(s *subject, k int, now time.Time) bool {
	if k != failing {
		return false
	}
	guilty := d.customers.culprit(s, d.totals[0].recent[failing].N, now)
	if guilty == nil {
		return false
	}
	guilty.sick = now.Add(customerPause)
	// Its past failures are in the tests of all targets, which start again.
	for _, s := range d.subjects {
		for i := range s.cells {
			s.cells[i].tests[failing].Reset()
		}
	}
	return true
}

// sick counts the reporters that find most of their targets bad.
func (d *docket) sick() (n float64) {
	for _, r := range d.reporters {
		if r.sick {
			n++
		}
	}
	return n
}

func (d *docket) limit(s *subject, c, k int, now time.Time) float64 {
	limit := d.judge.limits.Failing
	if k == slow {
		limit = d.judge.limits.Slow
	}
	for i := range s.cells {
		// Less evidence suffices where another failure domain found the target
		// bad already, and after a return.
		b := &s.cells[i].ban
		if b.out {
			return limit / 3
		}
		if i == c && b.times > 0 && now.Sub(b.ended) < relapse {
			return limit / 2
		}
	}
	return limit
}

// score returns the score of a test after its bounds, and the base rate.
func (d *docket) score(s *subject, c, k int) (score, base float64) {
	t := &s.cells[c].tests[k]
	if t.Score() <= 0 {
		return 0, 0
	}
	base = d.base(s, c, k)
	score = t.Score()
	if d.totals[c].active >= leastReporters {
		score = t.Capped()
	}
	return min(score, t.Rebased(base, d.totals[c].total[k])), base
}

// eject gives a verdict for all daemons, or for one failure domain if only its
// daemons find the target bad.
func (d *docket) eject(s *subject, c, k int, score, base float64, now time.Time) {
	t := &s.cells[c].tests[k]
	if c == 0 && len(d.domains) > 1 {
		for at := range d.domains {
			if t.Alone(func(r *reporter) bool { return r.domain == at }) {
				c = 1 + at
				break
			}
		}
	}
	v := model.Verdict{
		Target: s.id, Finding: model.FindFailing, Severity: float32(min(1, t.Bad/max(1, t.N))),
		Answers: int(t.N), Bad: int(t.Bad), Base: float32(base), Score: float32(score),
	}
	if c > 0 {
		v.Domain = d.domains[c-1]
	}
	if k == slow {
		// A late answer is better than a failed one.
		v.Finding, v.Severity = model.FindSlow, v.Severity/2
	}
	s.eject(c, &v, d.judge.random, now)
	for i := range s.cells {
		d.totals[i].recent.add(&s.cells[i].recent, -1)
		s.cells[i].recent = sums{}
	}
}

func (d *docket) verdicts(now time.Time) []model.Verdict {
	d.tick(now)
	var out []model.Verdict
	for _, s := range d.subjects {
		out = s.verdicts(out, now)
	}
	slices.SortFunc(out, func(a, b model.Verdict) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

func (d *docket) adopt(set *model.VerdictSet, now time.Time) {
	for _, v := range set.List {
		c := 0
		if v.Domain != "" {
			if c = 1 + slices.Index(d.domains, v.Domain); c == 0 {
				d.domains = append(d.domains, v.Domain)
				d.totals = append(d.totals, cellSums{})
				c = len(d.domains)
			}
		}
		s := d.subject(v.Target, now)
		switch v.Finding {
		case model.FindDraining:
			s.drain = now.Add(drainMemory)
		case model.FindSuspect:
		default:
			s.cells[c].ban.times = max(0, v.Times-1)
			s.eject(c, &v, d.judge.random, now)
		}
	}
}
