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

// suspectLoad is the load of a suspect target in a large pool, as a multiple of its
// fair share: package pick sends it more requests, so that the judge can decide
// sooner.
const suspectLoad = 4

// HealthyRun simulates the healthy targets and the judge of one region for a long time
// in steps of one second. It samples counts of responses instead of single
// requests. A HealthyRun is used for one call of Run.
type HealthyRun struct {
	Targets    int
	Rate       float64 // requests per second of one target
	Reporters  int     // daemons that send reports
	Thresholds judge.Thresholds
	Seed       uint64

	// Set by Run.
	random    *rand.Rand
	judge     *judge.Judge
	pool      model.PoolID
	now       time.Time
	suspect   map[model.TargetID]bool
	ids       []model.TargetID
	seq       uint64 // of the last report, by any host
	responses []int  // responses of each target in this second
}

// Run simulates the given time and returns the verdicts that eject a target. They are
// collected after each step in which verdicts changed, so that an ejection is listed
// again if another verdict changes while it is in force.
func (h *HealthyRun) Run(d time.Duration) []model.Verdict {
	h.random = rand.New(rand.NewPCG(h.Seed, 3))
	h.pool, h.now = "pool", time.Unix(1_000_000, 0)
	h.judge = judge.New("judge", "1", judge.WithThresholds(h.Thresholds), judge.WithRandSource(rand.NewPCG(h.Seed, 4)),
		judge.WithClock(func() time.Time { return h.now }))
	h.suspect = make(map[model.TargetID]bool)
	h.responses = make([]int, h.Targets)
	for i := range h.Targets {
		h.ids = append(h.ids, model.TargetID(fmt.Sprintf("t-%d", i)))
	}
	var ejections []model.Verdict
	for range int(d / time.Second) {
		h.now = h.now.Add(time.Second)
		if !h.step() {
			continue
		}
		ejections = append(ejections, h.verdicts()...)
	}
	return ejections
}

// step reports the responses of one second to the judge and returns whether verdicts
// changed. Failures are reported first, one per report, because a daemon sends them
// at once, see report.Collector.FlushUrgent.
func (h *HealthyRun) step() bool {
	changed := false
	for i, id := range h.ids {
		mean := h.Rate
		if h.suspect[id] {
			mean *= suspectLoad
		}
		h.responses[i] = h.poisson(mean)
		for range h.poisson(mean * failureNoise) {
			customer := model.CustomerID(fmt.Sprintf("c%d", h.random.IntN(customerCount)))
			r := h.report(h.random.IntN(h.Reporters))
			r.Rows = []report.TargetCounts{{Target: id, Answers: 1, Failed: 1, Failures: []report.CustomerFailures{{Customer: customer, Count: 1}}}}
			changed = h.judge.HandleReport(r) || changed
		}
	}
	for domainIndex := range regionCount {
		// One daemon per failure domain reports the responses of the whole domain. A
		// region has domainCount/regionCount failure domains, which is the same number
		// as regionCount.
		r := h.report(domainIndex + regionCount*h.random.IntN(h.Reporters/regionCount))
		for i, id := range h.ids {
			// An even share, rounded up in the last domain.
			n := (h.responses[i] + domainIndex) / regionCount
			row := report.TargetCounts{Target: id, Answers: n, Slow: min(n, h.poisson(float64(n)*slowNoise))}
			if n > 0 {
				r.Rows = append(r.Rows, row)
			}
		}
		changed = h.judge.HandleReport(r) || changed
	}
	return changed
}

// report returns an empty report of a host with the next sequence number.
func (h *HealthyRun) report(host int) *report.Report {
	h.seq++
	return &report.Report{Pool: h.pool, Seq: h.seq, From: report.Reporter{
		Host: model.HostID(fmt.Sprintf("h-%d", host)), Domain: domain(host % regionCount),
	}}
}

// verdicts replaces the set of suspects and returns the verdicts that eject a
// target.
func (h *HealthyRun) verdicts() []model.Verdict {
	clear(h.suspect)
	var ejections []model.Verdict
	for _, v := range h.judge.Verdicts(h.pool).Verdicts {
		switch v.Finding {
		case model.FindingSuspect:
			h.suspect[v.Target] = true
		case model.FindingFailing, model.FindingSlow:
			ejections = append(ejections, v)
		}
	}
	return ejections
}

// poisson draws from a Poisson distribution by multiplying uniform numbers, which
// suits small means.
func (h *HealthyRun) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, -1
	for p > limit {
		p *= h.random.Float64()
		n++
	}
	return n
}
