// Package trial simulates a fleet in virtual time around the real decision
// packages, to measure their decisions: detection times, false ejections and
// the service of customers. Its runs depend on their seed only.
//
// # Usage
//
//	f := trial.NewFleet(trial.Shape{Targets: 8, Slots: 6, Rate: 60}, seed)
//	f.Run(10 * time.Second)
//	f.Behave = func(a *trial.Attempt) {
//		if a.Target.ID == "t-0" && f.Random.Float64() < 0.5 {
//			a.Kind = report.Failed
//		}
//	}
//	f.Run(5 * time.Second)
//	fmt.Println(f.LastPick["t-0"])
package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/report"
)

const (
	// hostCount, regionCount and domainCount describe today's fleets.
	hostCount   = 38
	regionCount = 2
	domainCount = 4
	// hop is the latency of a message inside a region.
	hop = time.Millisecond
	// urgentGap is the least time between two urgent reports of a daemon.
	urgentGap = 200 * time.Millisecond
	// flushPeriod is the time between two reports of a daemon.
	flushPeriod = time.Second
	// noise is the failure rate of healthy targets.
	noise = 0.005
	// medianLatency, spread and the tail describe the answers of healthy targets.
	medianLatency = 40 * time.Millisecond
	spread        = 0.5
	tailShare     = 0.01
	tailFactor    = 8
	// customerCount is the number of customers; their shares of the requests
	// fall as 1/2, 1/4 and so on.
	customerCount = 8
)

// Shape describes the pool of a Fleet.
type Shape struct {
	Targets int
	Slots   model.Slots
	Rate    float64 // requests per second
	Floor   model.Share
	Naive   bool // instead of judges, each daemon counts consecutive errors
}

// Attempt is one request at a target. Behave may change its Kind and Latency.
type Attempt struct {
	Target   *model.Target
	Daemon   *Daemon
	Customer model.CustomerID
	Route    model.RouteID
	Kind     report.Kind
	Latency  time.Duration
}

// Daemon is one simulated daemon.
type Daemon struct {
	pick.Daemon
	Picker  *pick.Picker
	collect *report.Collector
	urgent  time.Time
	row     map[model.TargetID]int // consecutive errors, for the naive policy
	bad     model.VerdictSet
}

// Fleet simulates the daemons, targets and judges around one pool.
type Fleet struct {
	Random   *rand.Rand
	Behave   func(a *Attempt)
	Judges   map[model.Region]*judge.Judge
	Daemons  []*Daemon
	Pool     *model.Pool
	LastPick map[model.TargetID]time.Duration // since the start
	Picks    map[model.TargetID]int
	Refused  int
	Ejected  []Ejection // in the order of time
	Local    int        // ejections by single daemons, of the naive policy

	shape  Shape
	start  time.Time
	now    time.Time
	queue  events
	serial int
	out    map[model.Region]map[scope]bool
}

// Ejection records the begin of an ejection.
type Ejection struct {
	At      time.Duration
	Verdict model.Verdict
}

// NewFleet returns a fleet at its start. Equal seeds give equal runs.
func NewFleet(shape Shape, seed uint64) *Fleet {
	f := &Fleet{
		Random: rand.New(rand.NewPCG(seed, 1)), shape: shape, start: time.Unix(1_000_000, 0),
		Judges: make(map[model.Region]*judge.Judge), LastPick: make(map[model.TargetID]time.Duration),
		Picks: make(map[model.TargetID]int), out: make(map[model.Region]map[scope]bool),
	}
	f.now = f.start
	f.Pool = &model.Pool{ID: "pool", Floor: shape.Floor}
	for i := range shape.Targets {
		f.Pool.Targets = append(f.Pool.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("t-%d", i)), Slots: shape.Slots, Connections: 330,
			Region: region(i), Domain: domain(i),
		})
	}
	for i := range regionCount {
		f.Judges[region(i)] = judge.New(model.HostID(fmt.Sprintf("judge-%d", i)), "1",
			judge.WithClock(f.clock), judge.WithSource(rand.NewPCG(seed, 2)))
	}
	f.addDaemons(seed)
	f.at(0, f.arrive)
	if !shape.Naive {
		f.at(0, f.broadcastAll)
	}
	return f
}

func region(i int) model.Region { return model.Region(fmt.Sprintf("r%d", i%regionCount)) }
func domain(i int) model.Domain { return model.Domain(fmt.Sprintf("d%d", i%domainCount)) }

func (f *Fleet) clock() time.Time { return f.now }

// Now returns the time since the start.
func (f *Fleet) Now() time.Duration { return f.now.Sub(f.start) }

func (f *Fleet) addDaemons(seed uint64) {
	var all []pick.Daemon
	for i := range hostCount {
		all = append(all, pick.Daemon{Host: model.HostID(fmt.Sprintf("h-%d", i)), Region: region(i), Domain: domain(i)})
	}
	for i, self := range all {
		d := &Daemon{
			Daemon:  self,
			Picker:  pick.New(self, pick.WithClock(f.clock), pick.WithSource(rand.NewPCG(seed, 100+uint64(i)))),
			collect: report.NewCollector(report.Reporter{Host: self.Host, Domain: self.Domain}, "1"),
			row:     make(map[model.TargetID]int),
			bad:     model.VerdictSet{Pool: f.Pool.ID, Judge: self.Host},
		}
		d.Picker.Update([]*model.Pool{f.Pool}, all)
		f.Daemons = append(f.Daemons, d)
		phase := time.Duration(f.Random.Int64N(int64(flushPeriod)))
		f.at(phase, func() { f.flush(d) })
	}
}

// Run advances the simulation.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// arrive starts one request and schedules the next.
func (f *Fleet) arrive() {
	f.at(time.Duration(f.Random.ExpFloat64()/f.shape.Rate*float64(time.Second)), f.arrive)
	d := f.Daemons[f.Random.IntN(len(f.Daemons))]
	h, err := d.Picker.Pick(pick.Need{Pool: f.Pool.ID, Repeat: true})
	if err != nil {
		f.Refused++
		return
	}
	a := &Attempt{
		Target: h.Target(), Daemon: d, Latency: f.latency(),
		Customer: model.CustomerID(fmt.Sprintf("c%d", f.customer())),
		Route:    model.RouteID(fmt.Sprintf("r%d", f.Random.IntN(4))),
	}
	f.LastPick[a.Target.ID] = f.Now()
	f.Picks[a.Target.ID]++
	if f.Random.Float64() < noise {
		a.Kind = report.Failed
	}
	if f.Behave != nil {
		f.Behave(a)
	}
	f.at(a.Latency, func() { f.finish(a, h) })
}

func (f *Fleet) latency() time.Duration {
	x := float64(medianLatency) * math.Exp(spread*f.Random.NormFloat64())
	if f.Random.Float64() < tailShare {
		x *= tailFactor
	}
	return time.Duration(x)
}

func (f *Fleet) customer() int {
	for i := range customerCount - 1 {
		if f.Random.IntN(2) == 0 {
			return i
		}
	}
	return customerCount - 1
}

func (f *Fleet) finish(a *Attempt, h *pick.Hold) {
	result := pick.Whole
	switch a.Kind {
	case report.Whole:
	case report.Shed:
		result = pick.Shed
	case report.Draining:
		result = pick.Draining
	case report.Silent:
		result = pick.Silent
	default:
		result = pick.Failed
	}
	h.Done(result)
	if f.shape.Naive {
		f.naive(a)
		return
	}
	d := a.Daemon
	d.collect.Record(report.Sample{
		Pool: f.Pool.ID, Target: a.Target.ID, Customer: a.Customer, Route: a.Route, Kind: a.Kind, Latency: a.Latency,
	})
	select {
	case <-d.collect.Wake():
		wait := max(0, d.urgent.Add(urgentGap).Sub(f.now))
		f.at(wait, func() {
			d.urgent = f.now
			f.send(d, d.collect.Urgent())
		})
	default:
	}
}

func (f *Fleet) flush(d *Daemon) {
	f.at(flushPeriod, func() { f.flush(d) })
	if !f.shape.Naive {
		f.send(d, d.collect.Flush())
	}
}

func (f *Fleet) send(d *Daemon, reports []report.Report) {
	for _, r := range reports {
		f.at(hop, func() {
			if f.Judges[d.Region].Handle(&r) {
				f.broadcast(d.Region)
			}
		})
	}
}

func (f *Fleet) broadcastAll() {
	f.at(flushPeriod, f.broadcastAll)
	for i := range regionCount {
		f.broadcast(region(i))
	}
}

// broadcast sends the verdicts of a region's judge to its daemons.
func (f *Fleet) broadcast(r model.Region) {
	set := f.Judges[r].Verdicts(f.Pool.ID)
	f.note(r, &set)
	hurry := slices.ContainsFunc(set.List, func(v model.Verdict) bool { return v.Finding == model.FindSuspect })
	f.at(hop, func() {
		for _, d := range f.Daemons {
			if d.Region == r {
				d.collect.Hurry(f.Pool.ID, hurry)
				d.Picker.Apply(&set)
			}
		}
	})
}

// note records the ejections that a set begins.
func (f *Fleet) note(r model.Region, set *model.VerdictSet) {
	now := make(map[scope]bool)
	for _, v := range set.List {
		if v.Finding != model.FindFailing && v.Finding != model.FindSlow {
			continue
		}
		s := scope{v.Target, v.Domain}
		now[s] = true
		if !f.out[r][s] {
			f.Ejected = append(f.Ejected, Ejection{At: f.Now(), Verdict: v})
		}
	}
	f.out[r] = now
}

// scope is what a verdict concerns.
type scope struct {
	target model.TargetID
	domain model.Domain
}

// naiveErrors is the number of errors in a row at which the naive policy ejects.
const naiveErrors = 5

// naive ejects a target on one daemon after five consecutive errors there.
func (f *Fleet) naive(a *Attempt) {
	d := a.Daemon
	if a.Kind == report.Whole {
		d.row[a.Target.ID] = 0
		return
	}
	d.row[a.Target.ID]++
	if d.row[a.Target.ID] == naiveErrors {
		f.Local++
		d.bad.Seq++
		d.bad.List = append(d.bad.List, model.Verdict{Target: a.Target.ID, Finding: model.FindFailing, Severity: 1})
		d.Picker.Apply(&d.bad)
	}
}

type event struct {
	at     time.Time
	serial int // keeps the order of events at the same time
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *Fleet) at(after time.Duration, run func()) {
	f.serial++
	heap.Push(&f.queue, event{at: f.now.Add(after), serial: f.serial, run: run})
}
