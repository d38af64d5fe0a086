// Package gauge measures the four figures of design 1.3 in virtual time, for
// the product's policies and for naive ones: detection time, false ejections,
// the service of the worst-served customer, and refusals within a customer's
// rate. Equal seeds give equal figures, except where limits cut a customer in a
// simulation of the whole fleet: goroutines race for its tokens there.
//
// # Usage
//
//	g := gauge.Gauge{Size: gauge.Short, Bubble: func(run func()) {
//		synctest.Test(t, func(*testing.T) { run() })
//	}}
//	for _, d := range gauge.Deployments {
//		for _, l := range g.Measure(d) {
//			fmt.Println(l)
//		}
//	}
package gauge

import (
	"fmt"
	"time"

	"rhubarbdrift.example/model"
)

// Pool is one pool of a deployment.
type Pool struct {
	Name    string
	Targets int
	Slots   model.Slots
	Rate    float64 // requests per second
}

// Deployment is the installation of one user.
type Deployment struct {
	Name  string
	Pools []Pool
	Seed  uint64 // first seed of the runs within the rate
}

// Deployments are those of design 1.4.
var Deployments = []Deployment{
	{Name: "Wanjiru", Pools: []Pool{{"ledger", 25, 6, 200}, {"archive", 8, 6, 60}}, Seed: 1},
	{Name: "Sugarleaf", Pools: []Pool{{"order", 28, 3, 200}, {"artwork", 8, 3, 60}}, Seed: 1001},
}

// customers are the customers of a deployment; a few are large.
var customers = []model.Customer{
	{ID: "c0", Rate: 100, Burst: 100}, {ID: "c1", Rate: 60, Burst: 60}, {ID: "c2", Rate: 30, Burst: 30},
	{ID: "c3", Rate: 15, Burst: 20}, {ID: "c4", Rate: 8, Burst: 20}, {ID: "c5", Rate: 6, Burst: 20},
	{ID: "c6", Rate: 4, Burst: 20}, {ID: "c7", Rate: 4, Burst: 20},
}

// Size says how much a measurement simulates.
type Size struct {
	Runs    int           // per pool and fault, for detection times
	Naive   int           // the same for a naive policy
	Quiet   time.Duration // of healthy noise, per pool and region
	Crowd   time.Duration // of overload, per pool
	Fleet   bool          // overload of a whole fleet as well as of one queue
	Limits  time.Duration // of requests within the rate, per pattern, customer and seed
	Seeds   int           // of these runs
	Trouble int           // runs with a customer whose requests fail everywhere
}

// Short and Long are the sizes of make test and make measure.
var (
	Short = Size{Runs: 100, Naive: 10, Quiet: 24 * time.Hour, Crowd: 5 * time.Minute, Limits: 20 * time.Second, Seeds: 2, Trouble: 5}
	Long  = Size{Runs: 1000, Naive: 50, Quiet: 24 * time.Hour, Crowd: 5 * time.Minute, Fleet: true, Limits: 20 * time.Second, Seeds: 40, Trouble: 50}
)

// Policies.
const (
	Ours  = "ours"
	Five  = "five-errors" // five consecutive errors eject on each daemon alone
	Even  = "even-split"  // the rate divided evenly over the daemons
	First = "fifo"        // a queue without customers
)

// Line is one figure.
type Line struct {
	Deployment, Measure, Policy string
	Value                       float64
	Unit                        string
	Bound                       Bound
	Note                        string // seeds, printed with a missed bound
}

// Bound limits a figure.
type Bound struct {
	Kind  byte // 0: none, '<': at most, '>': at least
	Limit float64
}

func most(v float64) Bound  { return Bound{'<', v} }
func least(v float64) Bound { return Bound{'>', v} }

// higher is no bound, for a figure of which more is better.
var higher = Bound{Kind: '>'}

// Met reports whether the figure keeps its bound.
func (l Line) Met() bool {
	switch l.Bound.Kind {
	case '<':
		return l.Value <= l.Bound.Limit
	case '>':
		return l.Value >= l.Bound.Limit
	default:
		return true
	}
}

// Better reports whether the figure is better than another of the same measure.
func (l Line) Better(other Line) bool {
	if l.Bound.Kind == '>' {
		return l.Value > other.Value
	}
	return l.Value < other.Value
}

// String returns the line of the table.
func (l Line) String() string {
	bound := "-"
	if l.Bound != (Bound{}) && l.Bound != higher {
		bound = map[byte]string{'<': "<=", '>': ">="}[l.Bound.Kind] + fmt.Sprintf("%.4g", l.Bound.Limit)
		if !l.Met() {
			bound += " MISSED " + l.Note
		}
	}
	return fmt.Sprintf("%-68s %-12s %10.3f %-7s %s", l.Measure, l.Policy, l.Value, l.Unit, bound)
}

// Gauge measures.
type Gauge struct {
	Size
	// Bubble runs a function in a bubble of testing/synctest.
	Bubble func(run func())
}

// Measure returns the table of one deployment.
func (g *Gauge) Measure(d Deployment) []Line {
	var out []Line
	for _, p := range d.Pools {
		out = append(out, g.detection(p)...)
		out = append(out, g.quiet(p)...)
		out = append(out, g.crowd(p)...)
	}
	out = append(out, g.limits(d)...)
	for i := range out {
		out[i].Deployment = d.Name
	}
	return out
}
