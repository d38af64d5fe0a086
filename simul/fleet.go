// Package simul simulates a fleet in virtual time around the packages pick, report
// and judge, to measure their decisions: detection times and false ejections. The
// result of a run depends only on its parameters and seed.
//
// # Usage
//
//	f := simul.NewFleet(simul.Shape{Targets: 8, Slots: 6, Rate: 60}, seed)
//	f.Run(10 * time.Second)
//	f.InjectFault = func(a *simul.Attempt) {
//		if a.Target.ID == "t-0" && f.Random.Float64() < 0.5 {
//			a.Kind = report.Failed
//		}
//	}
//	f.Run(5 * time.Second)
//	fmt.Println(f.LastRequest["t-0"])
package simul

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
	// hostCount, regionCount and domainCount are the sizes of current fleets, each for
	// the whole fleet.
	hostCount   = 38
	regionCount = 2
	domainCount = 4
	// hop is the latency of a message inside a region.
	hop = time.Millisecond
	// urgentGap is the minimum time between two urgent reports of a daemon.
	urgentGap = 200 * time.Millisecond
	// flushPeriod is the time between two periodic reports of a daemon, and between
	// two broadcasts of a judge.
	flushPeriod = time.Second
	// failureNoise is the share of failed requests at healthy targets.
	failureNoise = 0.005
	// medianLatency, spread, tailShare and tailFactor describe the latencies of
	// healthy targets: log-normal with the given median and sigma, where a share of
	// the requests takes several times as long.
	medianLatency = 40 * time.Millisecond
	spread        = 0.5
	tailShare     = 0.01
	tailFactor    = 8
	// customerCount is the number of customers; their shares of the requests
	// decrease as 1/2, 1/4 and so on.
	customerCount = 8
)

// Shape describes the pool of a Fleet and the policy of its daemons.
type Shape struct {
	Targets int
	Slots   model.Slots
	Rate    float64 // requests per second
	Floor   model.Share
	Naive   bool // each daemon ejects targets itself after consecutive errors; the judges are not used
}

// Attempt is one request sent to a target. Fleet.InjectFault may change its Kind and
// Latency.
type Attempt struct {
	Target   *model.Target
	Daemon   *Daemon
	Customer model.CustomerID
	Route    model.RouteID
	Kind     report.Kind
	Latency  time.Duration
}

// Daemon is one simulated daemon with its picker and report collector.
type Daemon struct {
	pick.Daemon
	Picker      *pick.Picker
	collect     *report.Collector
	lastUrgent  time.Time              // time of the last urgent report
	consecutive map[model.TargetID]int // consecutive errors, for the naive policy
	verdicts    model.VerdictSet       // ejections by the naive policy
}

// Fleet simulates the daemons, targets and judges of one pool.
type Fleet struct {
	Random         *rand.Rand
	InjectFault    func(a *Attempt) // injects faults; may be nil
	Judges         map[model.Region]*judge.Judge
	Daemons        []*Daemon
	Pool           *model.Pool
	LastRequest    map[model.TargetID]time.Duration // time of the last request to each target, since the start
	RequestCount   map[model.TargetID]int           // number of requests to each target
	Refused        int                              // number of requests that the picker refused
	Ejected        []Ejection                       // by judges, in order of time
	LocalEjections int                              // number of ejections by single daemons under the naive policy

	shape  Shape
	start  time.Time
	now    time.Time
	queue  events                          // pending events
	serial int                             // of the last event
	active map[model.Region]map[scope]bool // ejections in force
}

// Ejection records when an ejection began, since the start, and its verdict.
type Ejection struct {
	At      time.Duration
	Verdict model.Verdict
}

// NewFleet returns a fleet at time 0. Equal shapes and seeds give equal runs.
func NewFleet(shape Shape, seed uint64) *Fleet {
	f := &Fleet{
		Random: rand.New(rand.NewPCG(seed, 1)), shape: shape, start: time.Unix(1_000_000, 0),
		Judges: make(map[model.Region]*judge.Judge), LastRequest: make(map[model.TargetID]time.Duration),
		RequestCount: make(map[model.TargetID]int), active: make(map[model.Region]map[scope]bool),
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
			judge.WithClock(f.clock), judge.WithRandSource(rand.NewPCG(seed, 2)))
	}
	f.addDaemons(seed)
	f.at(0, f.arrive)
	if !shape.Naive {
		f.at(0, f.broadcastAll)
	}
	return f
}

// region and domain distribute hosts and targets evenly by number.
func region(i int) model.Region { return model.Region(fmt.Sprintf("r%d", i%regionCount)) }
func domain(i int) model.Domain { return model.Domain(fmt.Sprintf("d%d", i%domainCount)) }

func (f *Fleet) clock() time.Time { return f.now }

// Now returns the time since the start.
func (f *Fleet) Now() time.Duration { return f.now.Sub(f.start) }

// addDaemons creates the daemons and schedules their first reports at random
// phases.
func (f *Fleet) addDaemons(seed uint64) {
	var all []pick.Daemon
	for i := range hostCount {
		all = append(all, pick.Daemon{Host: model.HostID(fmt.Sprintf("h-%d", i)), Region: region(i), Domain: domain(i)})
	}
	for i, self := range all {
		d := &Daemon{
			Daemon:      self,
			Picker:      pick.New(self, pick.WithClock(f.clock), pick.WithSource(rand.NewPCG(seed, 100+uint64(i)))),
			collect:     report.NewCollector(report.Reporter{Host: self.Host, Domain: self.Domain}, "1"),
			consecutive: make(map[model.TargetID]int),
			verdicts:    model.VerdictSet{Pool: f.Pool.ID, Judge: self.Host},
		}
		d.Picker.Update([]*model.Pool{f.Pool}, all)
		f.Daemons = append(f.Daemons, d)
		phase := time.Duration(f.Random.Int64N(int64(flushPeriod)))
		f.at(phase, func() { f.flush(d) })
	}
}

// Run advances the simulation by d and runs all events that are due until then.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// arrive sends one request through a random daemon and schedules the next arrival.
func (f *Fleet) arrive() {
	f.at(time.Duration(f.Random.ExpFloat64()/f.shape.Rate*float64(time.Second)), f.arrive)
	d := f.Daemons[f.Random.IntN(len(f.Daemons))]
	slot, err := d.Picker.Pick(pick.Request{Pool: f.Pool.ID, Repeatable: true})
	if err != nil {
		f.Refused++
		return
	}
	a := &Attempt{
		Target: slot.Target(), Daemon: d, Latency: f.latency(),
		Customer: model.CustomerID(fmt.Sprintf("c%d", f.customer())),
		Route:    model.RouteID(fmt.Sprintf("r%d", f.Random.IntN(4))),
	}
	f.LastRequest[a.Target.ID] = f.Now()
	f.RequestCount[a.Target.ID]++
	if f.Random.Float64() < failureNoise {
		a.Kind = report.Failed
	}
	if f.InjectFault != nil {
		f.InjectFault(a)
	}
	f.at(a.Latency, func() { f.finish(a, slot) })
}

// latency draws the latency of a healthy target.
func (f *Fleet) latency() time.Duration {
	x := float64(medianLatency) * math.Exp(spread*f.Random.NormFloat64())
	if f.Random.Float64() < tailShare {
		x *= tailFactor
	}
	return time.Duration(x)
}

// customer draws a customer by number.
func (f *Fleet) customer() int {
	for i := range customerCount - 1 {
		if f.Random.IntN(2) == 0 {
			return i
		}
	}
	return customerCount - 1
}

// finish ends an attempt: it gives the outcome to the picker and records it for the
// reports, and schedules an urgent report if the collector asks for one. Under the
// naive policy there are no reports; countError takes the outcome instead.
func (f *Fleet) finish(a *Attempt, slot *pick.Slot) {
	result := pick.Complete
	switch a.Kind {
	case report.Complete:
	case report.Shed:
		result = pick.Shed
	case report.Draining:
		result = pick.Draining
	case report.NoResponse:
		result = pick.NoResponse
	default:
		result = pick.Failed
	}
	slot.Done(result)
	if f.shape.Naive {
		f.countError(a)
		return
	}
	d := a.Daemon
	d.collect.Record(report.Sample{
		Pool: f.Pool.ID, Target: a.Target.ID, Customer: a.Customer, Route: a.Route, Kind: a.Kind, Latency: a.Latency,
	})
	select {
	case <-d.collect.UrgentC():
		wait := max(0, d.lastUrgent.Add(urgentGap).Sub(f.now))
		f.at(wait, func() {
			d.lastUrgent = f.now
			f.send(d, d.collect.FlushUrgent())
		})
	default:
	}
}

// flush sends the periodic report of a daemon and schedules the next.
func (f *Fleet) flush(d *Daemon) {
	f.at(flushPeriod, func() { f.flush(d) })
	if !f.shape.Naive {
		f.send(d, d.collect.Flush())
	}
}

// send delivers reports to the judge of the daemon's region after the latency of a
// hop. A change of verdicts is broadcast at once.
func (f *Fleet) send(d *Daemon, reports []report.Report) {
	for _, r := range reports {
		f.at(hop, func() {
			if f.Judges[d.Region].HandleReport(&r) {
				f.broadcast(d.Region)
			}
		})
	}
}

// broadcastAll sends the verdicts of all regions and schedules the next broadcast.
func (f *Fleet) broadcastAll() {
	f.at(flushPeriod, f.broadcastAll)
	for i := range regionCount {
		f.broadcast(region(i))
	}
}

// broadcast sends the verdicts of the judge of a region to the daemons there. While
// a target is suspect, their collectors report all responses urgently.
func (f *Fleet) broadcast(r model.Region) {
	set := f.Judges[r].Verdicts(f.Pool.ID)
	f.recordEjections(r, &set)
	suspected := slices.ContainsFunc(set.Verdicts, func(v model.Verdict) bool { return v.Finding == model.FindingSuspect })
	f.at(hop, func() {
		for _, d := range f.Daemons {
			if d.Region == r {
				d.collect.SetUrgent(f.Pool.ID, suspected)
				d.Picker.ApplyVerdicts(&set)
			}
		}
	})
}

// recordEjections records the ejections that are new in a verdict set.
func (f *Fleet) recordEjections(r model.Region, set *model.VerdictSet) {
	current := make(map[scope]bool)
	for _, v := range set.Verdicts {
		if v.Finding != model.FindingFailing && v.Finding != model.FindingSlow {
			continue
		}
		s := scope{v.Target, v.Domain}
		current[s] = true
		if !f.active[r][s] {
			f.Ejected = append(f.Ejected, Ejection{At: f.Now(), Verdict: v})
		}
	}
	f.active[r] = current
}

// scope identifies the target and failure domain that a verdict applies to.
type scope struct {
	target model.TargetID
	domain model.Domain
}

// naiveErrors is the number of consecutive errors at which the naive policy ejects.
const naiveErrors = 5

// countError counts the consecutive errors of a target at one daemon, which a success
// ends, and ejects the target there at naiveErrors.
func (f *Fleet) countError(a *Attempt) {
	d := a.Daemon
	if a.Kind == report.Complete {
		d.consecutive[a.Target.ID] = 0
		return
	}
	d.consecutive[a.Target.ID]++
	if d.consecutive[a.Target.ID] == naiveErrors {
		f.LocalEjections++
		d.verdicts.Seq++
		d.verdicts.Verdicts = append(d.verdicts.Verdicts, model.Verdict{Target: a.Target.ID, Finding: model.FindingFailing, Severity: 1})
		d.Picker.ApplyVerdicts(&d.verdicts)
	}
}

// event is a function that runs at a virtual time.
type event struct {
	at     time.Time
	serial int // orders events at the same time by their creation
	run    func()
}

// events is a heap ordered by time.
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

// at schedules a function after the given delay.
func (f *Fleet) at(after time.Duration, run func()) {
	f.serial++
	heap.Push(&f.queue, event{at: f.now.Add(after), serial: f.serial, run: run})
}
