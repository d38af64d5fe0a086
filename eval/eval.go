// Package eval measures the four quality figures of docs/design.md, 1.3, in
// virtual time, for the policies of this project and for naive ones: fault
// detection time, false ejections, the service of the worst-served customer, and
// refusals of customers within their rate. Equal seeds give equal figures, except
// where limits apply to a customer in a simulation of the whole fleet, because
// goroutines race for its tokens there.
//
// # Usage
//
//	m := eval.Measurement{Size: eval.Short, RunVirtual: func(run func()) {
//		synctest.Test(t, func(*testing.T) { run() })
//	}}
//	for _, d := range eval.Deployments {
//		for _, f := range m.Measure(d) {
//			fmt.Println(f)
//		}
//	}
package eval

import (
	"fmt"
	"time"

	"rhubarbdrift.example/model"
)

// Pool is one pool of a deployment.
type Pool struct {
	Name    string
	Targets int
	Slots   model.Slots // of each target
	Rate    float64     // requests per second to the whole pool
}

// Deployment is the installation of one organization.
type Deployment struct {
	Name  string
	Pools []Pool
	Seed  uint64 // first seed of the runs that count refusals within the rate
}

// Deployments lists the installations of docs/design.md, 1.4.
var Deployments = []Deployment{
	{Name: "Wanjiru", Pools: []Pool{{"ledger", 25, 6, 200}, {"archive", 8, 6, 60}}, Seed: 1},
	{Name: "Sugarleaf", Pools: []Pool{{"order", 28, 3, 200}, {"artwork", 8, 3, 60}}, Seed: 1001},
}

// customers lists the customers whose refusals within the rate are measured, the same
// for each deployment; a few of them are large. The overload has customers of its own,
// see loads, and so has package simul.
var customers = []model.Customer{
	{ID: "c0", Rate: 100, Burst: 100}, {ID: "c1", Rate: 60, Burst: 60}, {ID: "c2", Rate: 30, Burst: 30},
	{ID: "c3", Rate: 15, Burst: 20}, {ID: "c4", Rate: 8, Burst: 20}, {ID: "c5", Rate: 6, Burst: 20},
	{ID: "c6", Rate: 4, Burst: 20}, {ID: "c7", Rate: 4, Burst: 20},
}

// Size sets how much a measurement simulates.
type Size struct {
	DetectionRuns      int           // number of detection runs per pool and fault
	NaiveDetectionRuns int           // number of detection runs with the naive policy
	HealthyTime        time.Duration // simulated time with healthy targets, per pool and region
	OverloadTime       time.Duration // simulated time of each run under overload
	SimulateFleet      bool          // simulates overload of a whole fleet as well as of one queue
	RateTime           time.Duration // simulated time within the rate, per traffic pattern, customer and seed
	RateSeeds          int           // number of runs within the rate, per traffic pattern and customer
	FailureRuns        int           // number of runs, per pool and policy, with a customer whose requests fail at all targets
}

// Short is the size of make test, Long that of make measure.
var (
	Short = Size{DetectionRuns: 100, NaiveDetectionRuns: 10, HealthyTime: 24 * time.Hour, OverloadTime: 5 * time.Minute, RateTime: 20 * time.Second, RateSeeds: 2, FailureRuns: 5}
	Long  = Size{DetectionRuns: 1000, NaiveDetectionRuns: 50, HealthyTime: 24 * time.Hour, OverloadTime: 5 * time.Minute, SimulateFleet: true, RateTime: 20 * time.Second, RateSeeds: 40, FailureRuns: 50}
)

// Names of the measured policies.
const (
	PolicyOurs       = "ours"        // the policies of this project
	PolicyFiveErrors = "five-errors" // each daemon ejects a target after five consecutive errors
	PolicyEvenSplit  = "even-split"  // each daemon enforces an equal fraction of the rate
	PolicyFIFO       = "fifo"        // a queue that ignores customers
)

// Figure is one measured value: a row of the table that Measure returns.
type Figure struct {
	Deployment, Name, Policy string
	Value                    float64
	Unit                     string
	Bound                    Bound
	Note                     string // seeds of the runs that explain a missed bound; printed with it
}

// Bound is the required minimum or maximum of a figure.
type Bound struct {
	Kind  byte // 0: none, '<': at most, '>': at least
	Limit float64
}

// atMost returns an upper bound.
func atMost(v float64) Bound { return Bound{'<', v} }

// atLeast returns a lower bound.
func atLeast(v float64) Bound { return Bound{'>', v} }

// higherIsBetter marks a figure without a bound of which higher values are better.
// A figure with neither this mark nor a lower bound is better if it is lower.
var higherIsBetter = Bound{Kind: '>'}

// Met reports whether the figure is within its bound.
func (f Figure) Met() bool {
	switch f.Bound.Kind {
	case '<':
		return f.Value <= f.Bound.Limit
	case '>':
		return f.Value >= f.Bound.Limit
	default:
		return true
	}
}

// Better reports whether the figure is better than another of the same measure.
func (f Figure) Better(other Figure) bool {
	if f.Bound.Kind == '>' {
		return f.Value > other.Value
	}
	return f.Value < other.Value
}

// String returns the figure as a row of the table.
func (f Figure) String() string {
	bound := "-"
	if f.Bound != (Bound{}) && f.Bound != higherIsBetter {
		bound = map[byte]string{'<': "<=", '>': ">="}[f.Bound.Kind] + fmt.Sprintf("%.4g", f.Bound.Limit)
		if !f.Met() {
			bound += " MISSED " + f.Note
		}
	}
	return fmt.Sprintf("%-68s %-12s %10.3f %-7s %s", f.Name, f.Policy, f.Value, f.Unit, bound)
}

// Measurement measures the figures of a deployment.
type Measurement struct {
	Size
	// RunVirtual runs a function in a bubble of testing/synctest, so that time is
	// virtual.
	RunVirtual func(run func())
}

// Measure runs all measurements of a deployment and returns its table.
func (m *Measurement) Measure(d Deployment) []Figure {
	var figures []Figure
	for _, p := range d.Pools {
		figures = append(figures, m.measureDetection(p)...)
		figures = append(figures, m.measureEjections(p)...)
		figures = append(figures, m.measureOverload(p)...)
	}
	figures = append(figures, m.measureRefusals(d)...)
	for i := range figures {
		figures[i].Deployment = d.Name
	}
	return figures
}
