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
	// baseMemory is the time constant with which the recent counts decay: after it, a
	// share of 1/e is left.
	baseMemory = 10 * time.Second
	// tickPeriod is the minimum time between two decays of the counts.
	tickPeriod = 250 * time.Millisecond
	// targetLife is the time after its last report after which a target is removed.
	targetLife = 10 * time.Minute
	// minReporters is the number of live reporters from which a single one counts for
	// at most a third of the evidence.
	minReporters = 3
	// suspectHysteresis divides the suspicion limit for a target that is already
	// suspect. With a single limit, one good answer ended the suspicion that one
	// failure had started.
	suspectHysteresis = 3
)

// evidenceRow is a row of a report, as evidence on a target. Its counts lose the failures
// of ignored customers in addEvidence.
type evidenceRow struct {
	target   *targetState
	counts   testCounts
	failures []report.CustomerFailures
	early    bool // counted before urgent reports began: not used in the tests
}

// Indexes of the two tests.
const (
	failing = iota
	slow
)

// testCounts holds the counts for the two tests.
type testCounts = cusum.Pair

// scopeTotals holds the counts of a pool as seen by all reporters or by those of one
// failure domain.
type scopeTotals struct {
	cumulative testCounts // without decay, to compute the difference between two times
	recent     testCounts
	// liveReporters is the number of reporters with a report within reporterLife.
	liveReporters int
}

// poolState is the state of one pool. Scope 0 covers all reporters, scope 1+i those of
// failure domain i. In the methods of poolState and targetState, an integer c is the
// index of a scope and k the index of a test, failing or slow.
type poolState struct {
	judge     *Judge
	seq       uint64
	domains   []model.Domain
	targets   map[model.TargetID]*targetState
	reporters map[model.HostID]*reporter
	customers customers
	totals    []scopeTotals // by scope
	rows      []evidenceRow // of the current report; the memory is reused
	lastTick  time.Time
	lastSweep time.Time
}

// handle processes a report and reports whether a verdict changed. A report whose
// sequence number is not new is ignored. The evidence of a distrusted reporter is
// dropped and decides nothing, unless too many reporters are distrusted.
func (p *poolState) handle(r *report.Report, now time.Time) bool {
	from := p.reporter(r, now)
	if r.Run == from.run && r.Seq <= from.seq {
		return false
	}
	from.run, from.seq = r.Run, r.Seq
	changed := p.tick(now)
	changed = p.readRows(r, now) || changed
	from.observe(p.rows, now)
	p.customers.observe(p.rows, now)
	if from.distrusted && p.distrusted() <= maxDistrustedShare*float64(p.totals[0].liveReporters) {
		for _, s := range p.targets {
			s.drop(from)
		}
		p.addEvidence(from, false, now)
		return changed
	}
	p.addEvidence(from, true, now)
	for i := range p.rows {
		changed = p.decide(p.rows[i].target, from.domain, now) || changed
	}
	return changed
}

// reporter returns the state of the sender, which it creates if necessary.
func (p *poolState) reporter(r *report.Report, now time.Time) *reporter {
	from := p.reporters[r.From.Host]
	if from != nil {
		return from
	}
	index := slices.Index(p.domains, r.From.Domain)
	if index < 0 {
		index = len(p.domains)
		p.domains = append(p.domains, r.From.Domain)
		p.totals = append(p.totals, scopeTotals{})
	}
	from = &reporter{host: r.From.Host, domain: index, lastReport: now, targetCounts: make(map[*targetState]*cusum.Counts)}
	p.reporters[r.From.Host] = from
	p.countLive(now)
	return from
}

// countLive updates the numbers of live reporters.
func (p *poolState) countLive(now time.Time) {
	for i := range p.totals {
		p.totals[i].liveReporters = 0
	}
	for _, r := range p.reporters {
		if now.Sub(r.lastReport) < reporterLife {
			p.totals[0].liveReporters++
			p.totals[1+r.domain].liveReporters++
		}
	}
}

// tick decays the counts and ends expired ejections. It reports whether a verdict
// changed.
func (p *poolState) tick(now time.Time) bool {
	elapsed := now.Sub(p.lastTick)
	if elapsed < tickPeriod {
		return false
	}
	p.lastTick = now
	f := decay(elapsed, baseMemory)
	for i := range p.totals {
		p.totals[i].recent.Scale(f)
	}
	p.countLive(now)
	changed := false
	for _, s := range p.targets {
		changed = s.tick(f, now) || changed
	}
	if now.Sub(p.lastSweep) >= reporterLife {
		p.lastSweep = now
		p.sweep(now)
	}
	return changed
}

// sweep removes customers, reporters and targets without recent reports.
func (p *poolState) sweep(now time.Time) {
	p.customers.forget(now)
	for host, r := range p.reporters {
		if now.Sub(r.lastReport) < 3*reporterLife {
			continue
		}
		delete(p.reporters, host)
		for _, s := range p.targets {
			s.drop(r)
		}
	}
	for id, s := range p.targets {
		if now.Sub(s.lastReport) < targetLife {
			continue
		}
		delete(p.targets, id)
		for _, r := range p.reporters {
			delete(r.targetCounts, s)
		}
	}
}

// targetState returns the state of a target, which it creates if necessary, with a scope
// for each known failure domain.
func (p *poolState) targetState(id model.TargetID, now time.Time) *targetState {
	s := p.targets[id]
	if s == nil {
		s = &targetState{id: id, lastReport: now}
		p.targets[id] = s
	}
	for len(s.scopes) <= len(p.domains) {
		s.scopes = append(s.scopes, scope{})
	}
	return s
}

// readRows converts the rows of a report and reports whether a target began to drain.
func (p *poolState) readRows(r *report.Report, now time.Time) (changed bool) {
	p.rows = p.rows[:0]
	for i := range r.Rows {
		row := &r.Rows[i]
		s := p.targetState(row.Target, now)
		s.lastReport = now
		if row.Draining > 0 {
			changed = changed || !now.Before(s.drainingUntil)
			s.drainingUntil = now.Add(drainMemory)
		}
		e := evidenceRow{target: s, failures: row.Failures, early: r.Early}
		e.counts[failing] = cusum.Counts{N: float64(row.Answers), Bad: float64(row.Bad())}
		e.counts[slow] = cusum.Counts{N: float64(row.Answers - row.Bad()), Bad: float64(row.Slow)}
		p.rows = append(p.rows, e)
	}
	return changed
}

// addEvidence adds the rows to the counts and, if the reporter is trusted, to the tests.
// Answers of a target that is already ejected are ignored. A distrusted reporter still
// counts in the base rates: without it, only reporters to which the pool looks better
// than it is would remain.
func (p *poolState) addEvidence(from *reporter, trusted bool, now time.Time) {
	scopes := [2]int{0, 1 + from.domain}
	before := [2]testCounts{p.totals[scopes[0]].cumulative, p.totals[scopes[1]].cumulative}
	for i := range p.rows {
		e := &p.rows[i]
		for _, f := range e.failures {
			if c := p.customers[f.Customer]; c != nil && now.Before(c.ignoredUntil) {
				e.counts[failing].Add(cusum.Counts{N: 1, Bad: 1}, -float64(f.Count))
			}
		}
		for _, c := range scopes {
			if e.target.ejected(c) {
				continue
			}
			if !e.early {
				p.totals[c].cumulative.Add(&e.counts, 1)
			}
			p.totals[c].recent.Add(&e.counts, 1)
			e.target.scopes[c].recent.Add(&e.counts, 1)
		}
	}
	if trusted {
		p.updateTests(from, scopes, before)
	}
}

// updateTests adds the rows to the tests of their targets.
func (p *poolState) updateTests(from *reporter, scopes [2]int, before [2]testCounts) {
	for i := range p.rows {
		e := &p.rows[i]
		for j, c := range scopes {
			if e.early || e.target.ejected(c) || e.target.ejected(1+from.domain) {
				continue
			}
			for k := range e.counts {
				e.target.scopes[c].tests[k].Add(from, e.counts[k], p.baseRate(e.target, c, k), before[j][k])
			}
		}
	}
}

// baseRate returns the rate of bad events of the other targets.
func (p *poolState) baseRate(s *targetState, c, k int) float64 {
	return p.totals[c].recent[k].BaseRateWithout(s.scopes[c].recent[k])
}

// verdicts returns the verdicts on all targets, sorted by target and failure domain.
func (p *poolState) verdicts(now time.Time) []model.Verdict {
	p.tick(now)
	var out []model.Verdict
	for _, s := range p.targets {
		out = s.verdicts(out, now)
	}
	slices.SortFunc(out, func(a, b model.Verdict) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

// adopt starts the ejections and drains of a verdict set.
func (p *poolState) adopt(set *model.VerdictSet, now time.Time) {
	for _, v := range set.Verdicts {
		c := 0
		if v.Domain != "" {
			if c = 1 + slices.Index(p.domains, v.Domain); c == 0 {
				p.domains = append(p.domains, v.Domain)
				p.totals = append(p.totals, scopeTotals{})
				c = len(p.domains)
			}
		}
		s := p.targetState(v.Target, now)
		switch v.Finding {
		case model.FindingDraining:
			s.drainingUntil = now.Add(drainMemory)
		case model.FindingSuspect:
		default:
			s.scopes[c].ejection.times = max(0, v.Ejections-1)
			s.eject(c, &v, p.judge.random, now)
		}
	}
}
