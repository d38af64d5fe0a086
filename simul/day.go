package simul

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
)

// slowNoise is the share of responses of healthy targets that exceed three times
// the median latency. It follows from the latency distribution of a Fleet: the
// log-normal tail plus the tail requests.
const slowNoise = 0.0236

// suspectLoad is the load of a suspect target as a multiple of its fair share in a
// large pool.
const suspectLoad = 4

// HealthyRun simulates the healthy targets and the judge of one region for a long time
// in steps of one second. It samples counts of responses instead of single
// requests.
type HealthyRun struct {
	Targets   int
	Rate      float64 // requests per second of one target
	Reporters int     // daemons that send reports
	Limits    judge.Thresholds
	Seed      uint64

	random    *rand.Rand
	judge     *judge.Judge
	pool      model.PoolID
	now       time.Time
	suspect   map[model.TargetID]bool
	ids       []model.TargetID
	seq       uint64
	responses []int // responses of each target in this second
}

// Run simulates the given time and returns the verdicts that eject a target,
// collected after each step in which verdicts changed.
func (q *HealthyRun) Run(d time.Duration) []model.Verdict {
	q.random = rand.New(rand.NewPCG(q.Seed, 3))
	q.pool, q.now = "pool", time.Unix(1_000_000, 0)
	q.judge = judge.New("judge", "1", judge.WithThresholds(q.Limits), judge.WithRandSource(rand.NewPCG(q.Seed, 4)),
		judge.WithClock(func() time.Time { return q.now }))
	q.suspect = make(map[model.TargetID]bool)
	q.responses = make([]int, q.Targets)
	for i := range q.Targets {
		q.ids = append(q.ids, model.TargetID(fmt.Sprintf("t-%d", i)))
	}
	var ejections []model.Verdict
	for range int(d / time.Second) {
		q.now = q.now.Add(time.Second)
		if !q.step() {
			continue
		}
		ejections = append(ejections, q.verdicts()...)
	}
	return ejections
}

// step reports the responses of one second and returns whether verdicts changed.
// Failures are reported first, as Collector.FlushUrgent does.
func (q *HealthyRun) step() bool {
	changed := false
	for i, id := range q.ids {
		mean := q.Rate
		if q.suspect[id] {
			mean *= suspectLoad
		}
		q.responses[i] = q.poisson(mean)
		for range q.poisson(mean * noise) {
			customer := model.CustomerID(fmt.Sprintf("c%d", q.random.IntN(customerCount)))
			r := q.report(q.random.IntN(q.Reporters))
			r.Rows = []report.TargetCounts{{Target: id, Answers: 1, Failed: 1, Failures: []report.CustomerFailures{{Customer: customer, Count: 1}}}}
			changed = q.judge.HandleReport(r) || changed
		}
	}
	for domainIndex := range regionCount {
		// One daemon per failure domain reports the responses of the whole domain.
		r := q.report(domainIndex + regionCount*q.random.IntN(q.Reporters/regionCount))
		for i, id := range q.ids {
			n := (q.responses[i] + domainIndex) / regionCount
			row := report.TargetCounts{Target: id, Answers: n, Slow: min(n, q.poisson(float64(n)*slowNoise))}
			if n > 0 {
				r.Rows = append(r.Rows, row)
			}
		}
		changed = q.judge.HandleReport(r) || changed
	}
	return changed
}

// report returns an empty report of a host with the next sequence number.
func (q *HealthyRun) report(host int) *report.Report {
	q.seq++
	return &report.Report{Pool: q.pool, Seq: q.seq, From: report.Reporter{
		Host: model.HostID(fmt.Sprintf("h-%d", host)), Domain: domain(host % regionCount),
	}}
}

// verdicts replaces the set of suspects and returns the verdicts that eject a
// target.
func (q *HealthyRun) verdicts() []model.Verdict {
	clear(q.suspect)
	var ejections []model.Verdict
	for _, v := range q.judge.Verdicts(q.pool).Verdicts {
		switch v.Finding {
		case model.FindingSuspect:
			q.suspect[v.Target] = true
		case model.FindingFailing, model.FindingSlow:
			ejections = append(ejections, v)
		}
	}
	return ejections
}

// poisson draws from a Poisson distribution by multiplying uniform numbers, which
// suits small means.
func (q *HealthyRun) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, -1
	for p > limit {
		p *= q.random.Float64()
		n++
	}
	return n
}
