package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
)

// slowNoise is the share of healthy answers above three times the median with
// the latencies of a Fleet: a normal tail and the tail requests.
const slowNoise = 0.0236

// suspectLoad is the load of a suspect target in fair parts of a large pool.
const suspectLoad = 4

// Quiet describes healthy targets of one region for a long run in steps of
// one second. It samples counts instead of requests.
type Quiet struct {
	Targets   int
	Rate      float64 // requests per second of one target
	Reporters int
	Limits    judge.Limits
	Seed      uint64

	random  *rand.Rand
	judge   *judge.Judge
	pool    model.PoolID
	now     time.Time
	suspect map[model.TargetID]bool
	ids     []model.TargetID
	seq     uint64
	carried []int // answers of each target in this second
}

// Run simulates the time and returns the verdicts that ejected a target.
func (q *Quiet) Run(d time.Duration) []model.Verdict {
	q.random = rand.New(rand.NewPCG(q.Seed, 3))
	q.pool, q.now = "pool", time.Unix(1_000_000, 0)
	q.judge = judge.New("judge", "1", judge.WithLimits(q.Limits), judge.WithSource(rand.NewPCG(q.Seed, 4)),
		judge.WithClock(func() time.Time { return q.now }))
	q.suspect = make(map[model.TargetID]bool)
	q.carried = make([]int, q.Targets)
	for i := range q.Targets {
		q.ids = append(q.ids, model.TargetID(fmt.Sprintf("t-%d", i)))
	}
	var out []model.Verdict
	for range int(d / time.Second) {
		q.now = q.now.Add(time.Second)
		if !q.second() {
			continue
		}
		out = append(out, q.verdicts()...)
	}
	return out
}

// second reports one second of answers and returns whether verdicts changed.
// Failures are reported first, as Collector.Urgent does.
func (q *Quiet) second() bool {
	changed := false
	for i, id := range q.ids {
		mean := q.Rate
		if q.suspect[id] {
			mean *= suspectLoad
		}
		q.carried[i] = q.poisson(mean)
		for range q.poisson(mean * noise) {
			customer := model.CustomerID(fmt.Sprintf("c%d", q.random.IntN(customerCount)))
			r := q.report(q.random.IntN(q.Reporters))
			r.Rows = []report.Row{{Target: id, Answers: 1, Failed: 1, Failures: []report.Tally{{Customer: customer, Count: 1}}}}
			changed = q.judge.Handle(r) || changed
		}
	}
	for part := range regionCount {
		// One daemon of each failure domain reports for all of it.
		r := q.report(part + regionCount*q.random.IntN(q.Reporters/regionCount))
		for i, id := range q.ids {
			n := (q.carried[i] + part) / regionCount
			row := report.Row{Target: id, Answers: n, Slow: min(n, q.poisson(float64(n)*slowNoise))}
			if n > 0 {
				r.Rows = append(r.Rows, row)
			}
		}
		changed = q.judge.Handle(r) || changed
	}
	return changed
}

func (q *Quiet) report(host int) *report.Report {
	q.seq++
	return &report.Report{Pool: q.pool, Seq: q.seq, From: report.Reporter{
		Host: model.HostID(fmt.Sprintf("h-%d", host)), Domain: domain(host % regionCount),
	}}
}

// verdicts updates the suspects and returns the ejections that began.
func (q *Quiet) verdicts() []model.Verdict {
	clear(q.suspect)
	var out []model.Verdict
	for _, v := range q.judge.Verdicts(q.pool).List {
		switch v.Finding {
		case model.FindSuspect:
			q.suspect[v.Target] = true
		case model.FindFailing, model.FindSlow:
			out = append(out, v)
		}
	}
	return out
}

// poisson samples a small count.
func (q *Quiet) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, -1
	for p > limit {
		p *= q.random.Float64()
		n++
	}
	return n
}
