// Package selsim simulates in virtual time how a fleet of hosts selects the targets of its
// requests: hosts and one pool in four failure domains of two regions, late reports of the
// hosts, targets with few slots and short queues, and faults of all these. It measures the
// latencies, the sends that cross domains, new connections and refusals, with and without
// near targets first and hedged requests.
//
// # Usage
//
//	before := selsim.Run(1, selsim.Fleet{Load: 0.33})
//	now := selsim.Run(1, selsim.Fleet{Load: 0.33, Near: true})
//	fmt.Println(before.Table()["crossed"], now.Table()["crossed"])
package selsim

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// Fleet describes hosts and one pool over four failure domains in two regions.
type Fleet struct {
	Hosts      int                                    // default: 98
	Targets    [4]int                                 // of each domain; default: 12
	Slots      [4]int                                 // of each domain's targets; default: 4
	Load       float64                                // as a share of the slots with the defaults
	Peak       float64                                // load until 2 s before From; 0: as load
	Server     func(domain, i int) (fails, slow bool) // whether a target fails most requests or is four times slower
	Gray       float64                                // share of the targets that is eight times slower for 4 s each
	CutHosts   int                                    // hosts that send and receive no reports
	LostPath   bool                                   // the first host reaches no target of its own domain
	Near       bool                                   // WithNearFirst
	Repeatable float64                                // share of the requests that may be repeated; default: 0.4
	Hedging    Hedging
	Share      float64       // of hedged requests
	From, End  time.Duration // what is measured; default: 4 s to 8 s
}

// Hedging is a way to send slow requests a second time.
type Hedging int

// The values of Hedging.
const (
	Never       Hedging = iota
	AtObjective         // without a share: after 0.9 of the objective, and the other send goes on
	WithinShare
)

const (
	meanWork     = 300 * time.Millisecond
	objective    = time.Second
	reportPeriod = 80 * time.Millisecond  // between the messages of a host
	reportDelay  = 350 * time.Millisecond // until the reports of a host arrive at the others
)

// Figures are what a simulation measured. Crossed counts the sends to other domains,
// farCrossed those to other regions, shed those that full targets refused; work is the time
// in seconds for which targets ran requests.
type Figures struct {
	sends, crossed, farCrossed, connections, shed, refused, failed, hedged, work float64
	pairs                                                                        map[[3]int]bool // seed, host and target
	perTarget, latencies                                                         []float64
	SpillChanges                                                                 int // of all hosts, from the start
}

// Requests returns the number of requests that ended.
func (r *Figures) Requests() float64 { return float64(len(r.latencies)) + r.refused + r.failed }

// Least returns the sends to the least used target as a share of the mean.
func (r *Figures) Least() float64 { return slices.Min(r.perTarget) / mean(r.perTarget) }

func (r *Figures) quantile(q float64) float64 {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// Table returns the figures by name, for benchmarks and logs.
func (r *Figures) Table() map[string]float64 {
	return map[string]float64{
		"crossed": r.crossed / r.sends, "region": r.farCrossed / r.sends, "pairs": float64(len(r.pairs)), "connections": r.connections / r.Requests(), "shed": r.shed / r.sends,
		"refused": r.refused / r.Requests(), "failed": r.failed / r.Requests(), "least": r.Least(), "hedged": r.hedged / r.Requests(), "work-s": r.work / r.Requests(),
		"mean-s": mean(r.latencies), "p50-s": r.quantile(0.5), "p99-s": r.quantile(0.99), "p99.9-s": r.quantile(0.999),
	}
}

// Add adds the figures of another simulation.
func (r *Figures) Add(o *Figures) {
	for _, p := range [][2]*float64{{&r.sends, &o.sends}, {&r.crossed, &o.crossed}, {&r.farCrossed, &o.farCrossed}, {&r.connections, &o.connections}, {&r.shed, &o.shed}, {&r.refused, &o.refused}, {&r.failed, &o.failed}, {&r.hedged, &o.hedged}, {&r.work, &o.work}} {
		*p[0] += *p[1]
	}
	if r.pairs == nil {
		r.pairs, r.perTarget = make(map[[3]int]bool), make([]float64, len(o.perTarget))
	}
	maps.Copy(r.pairs, o.pairs)
	for i, n := range o.perTarget {
		r.perTarget[i] += n
	}
	r.latencies = append(r.latencies, o.latencies...)
	r.SpillChanges += o.SpillChanges
}

// event is an action at a point of the simulated time.
type event struct {
	at     time.Duration
	action func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is a simulation of a fleet.
type simulation struct {
	Fleet
	Figures
	seed      int
	random    *rand.Rand
	now       time.Duration
	events    events
	servers   map[model.TargetID]*server
	locations [4]place.Location // of the domains; the hosts take turns
	balancers []*place.Balancer
	sets      []*hedge.Set
	budgets   []*limit.Budget
	pending   []report                   // since the last reports
	idleSince map[[2]int][]time.Duration // idle connections of a host and a target
}

type server struct {
	index, domain, slots, running int
	fails, slow                   bool
	waiting                       []*send
}

type report struct {
	from  int
	apply func(host int)
}

type request struct {
	host       int
	began      time.Duration
	repeatable bool
	criteria   place.Request
	answered   bool
	sends      []*send
}

type send struct {
	*request
	target   *place.Target
	at       *server
	trip     time.Duration
	sent     time.Duration
	began    time.Duration // when the target began to run it; 0: it has not
	slow     bool          // an observation was made while it ran
	over     bool
	measured bool
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) after(d time.Duration, action func()) {
	heap.Push(&s.events, event{s.now + d, action})
}

// report applies something at all other hosts once the host's next report arrives.
func (s *simulation) report(from int, apply func(host int)) {
	s.pending = append(s.pending, report{from, apply})
}

func (s *simulation) sendReports() {
	sent := s.pending
	s.pending = nil
	s.after(reportDelay-reportPeriod/2, func() {
		for i, b := range s.balancers {
			s.SpillChanges += len(b.SpillChanges())
			for _, r := range sent {
				if r.from != i && i >= s.CutHosts && r.from >= s.CutHosts {
					r.apply(i)
				}
			}
		}
	})
	if s.now < s.End {
		s.after(reportPeriod, s.sendReports)
	}
}

// Run simulates the fleet.
func Run(seed int, f Fleet) *Figures {
	if f.Targets == ([4]int{}) {
		f.Targets = [4]int{12, 12, 12, 12}
	}
	if f.Slots == ([4]int{}) {
		f.Slots = [4]int{4, 4, 4, 4}
	}
	if f.Hosts == 0 {
		f.Hosts, f.Repeatable, f.From, f.End = 98, 0.4, 4*time.Second, 8*time.Second
	}
	s := &simulation{Fleet: f, seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 5)), servers: make(map[model.TargetID]*server), idleSince: make(map[[2]int][]time.Duration)}
	s.pairs = make(map[[3]int]bool)
	var list []*model.Instance
	names := make([][]model.HostID, 4)
	for d := range s.locations {
		region := model.Region([]string{"north", "south"}[d/2])
		s.locations[d] = place.Location{Region: region, Domain: model.Domain(fmt.Sprintf("%s-%d", region, d%2))}
		for i := range f.Targets[d] {
			server := &server{index: len(list), domain: d, slots: f.Slots[d]}
			if f.Server != nil {
				server.fails, server.slow = f.Server(d, i)
			}
			id := model.TargetID(fmt.Sprintf("t%d-%d", d, i))
			s.servers[id] = server
			list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: region, Domain: s.locations[d].Domain, Slots: model.Slots(f.Slots[d])}})
		}
	}
	s.perTarget = make([]float64, len(list))
	for i := range f.Hosts {
		names[i%4] = append(names[i%4], model.HostID(fmt.Sprint(i)))
	}
	for i := range f.Hosts {
		var options []place.Option
		if f.Near {
			options = append(options, place.WithNearFirst(model.HostID(fmt.Sprint(i))))
		}
		b := place.NewBalancer(s.locations[i%4], options...)
		b.SetDomainHosts(names[i%4])
		b.Update(s.clock(), map[model.PoolID][]*model.Instance{"p": list})
		s.balancers = append(s.balancers, b)
		s.budgets = append(s.budgets, limit.NewBudget(limit.Allowance{Ratio: 0.2, Reserve: 180}))
		s.sets = append(s.sets, hedge.NewSet(hedge.Policy{Share: f.Share, Quantile: hedge.DefaultQuantile}, func(_ model.PoolID, sent bool) {
			u := hedge.Usage{Wanted: 1}
			if sent {
				u.Hedged = 1
			}
			s.report(i, func(j int) { s.sets[j].AddRemote(s.clock(), "p", u) })
		}))
	}
	s.sendReports()
	for t := time.Duration(0); t < f.End; {
		load := f.Load
		if f.Peak > 0 && t < f.From-2*time.Second {
			load = f.Peak
		}
		t += time.Duration(s.random.ExpFloat64() / (load * 4 * 12 * 4) * float64(meanWork))
		s.after(t, s.request)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	return &s.Figures
}

func (s *simulation) request() {
	r := &request{host: s.random.IntN(s.Hosts), began: s.now, repeatable: s.random.Float64() < s.Repeatable}
	r.criteria = place.Request{Pool: "p", UsualSeconds: meanWork.Seconds(), Bytes: 5000, Repeatable: r.repeatable}
	count := func(host int) {
		s.sets[host].AddRemote(s.clock(), "p", hedge.Usage{Requests: 1})
		s.budgets[host].AddRequests(1)
	}
	count(r.host)
	s.report(r.host, count)
	s.place(r)
	bound := objective * 9 / 10
	delay := bound
	if s.Hedging == WithinShare {
		delay = s.sets[r.host].Delay(s.clock(), hedge.Key{}, bound)
	}
	if s.Hedging != Never && r.repeatable {
		s.after(delay, func() { s.hedge(r, bound-delay) })
	}
}

// place sends a request to a target that is chosen as in the proxy.
func (s *simulation) place(r *request) {
	t, ok := s.balancers[r.host].Choose(s.clock(), r.criteria, s.random.IntN)
	if ok && len(r.criteria.Tried) <= 3 {
		s.send(r, t)
	} else if r.began >= s.From {
		s.refused++
	}
}

// hedge sends a slow request a second time, and asks again after a delay if it may not.
func (s *simulation) hedge(r *request, again time.Duration) {
	if r.answered || len(r.sends) != 1 || r.sends[0].over {
		return
	}
	b, criteria := s.balancers[r.host], r.criteria
	retry := func() bool {
		ok := s.budgets[r.host].Retry(0.6)
		if ok {
			s.report(r.host, func(j int) { s.budgets[j].AddRemoteRetries(1) })
		}
		return ok
	}
	var t *place.Target
	if s.Hedging == AtObjective {
		if t, _ = b.Choose(s.clock(), criteria, s.random.IntN); !retry() {
			return
		}
	} else {
		criteria.Repeatable = false
		var use float64
		t, use = b.ChooseSpare(s.clock(), criteria, s.random.IntN)
		facts := hedge.Facts{AttemptsLeft: true, TimeLeft: true, Late: again <= 0, Use: use, Target: t != nil}
		if s.sets[r.host].Decide(s.clock(), "p", facts, s.random.Float64(), retry).Refusal != hedge.Allowed {
			if again > 0 {
				s.after(again, func() { s.hedge(r, 0) })
			}
			return
		}
	}
	if r.began >= s.From {
		s.hedged++
	}
	s.send(r, t)
}

func (s *simulation) send(r *request, t *place.Target) {
	x := &send{request: r, target: t, at: s.servers[t.ID], sent: s.now, measured: r.began >= s.From}
	r.criteria.Tried = append(slices.Clone(r.criteria.Tried), t.ID)
	if s.LostPath && r.host == 0 && x.at.domain == 0 {
		t.AddObservation(s.clock(), health.Unreachable)
		s.after(250*time.Millisecond, func() { s.place(r) })
		return
	}
	r.sends = append(r.sends, x)
	if t.Domain != s.locations[r.host%4].Domain {
		x.trip = 2 * time.Millisecond
	}
	if t.Region != s.locations[r.host%4].Region {
		x.trip = 25 * time.Millisecond
	}
	isNew := s.connect(x)
	if x.measured {
		s.sends++
		s.perTarget[x.at.index]++
		s.pairs[[3]int{s.seed, r.host, x.at.index}] = true
		for count, is := range map[*float64]bool{&s.connections: isNew, &s.crossed: x.trip > 0, &s.farCrossed: x.trip > 2*time.Millisecond} {
			if is {
				*count++
			}
		}
	}
	t.Begin(s.clock())
	s.report(r.host, func(j int) { s.balancers[j].AddRemoteRequests(s.clock(), t.ID, 1, 0) })
	s.after(objective*9/10, func() { s.observeSlow(x) })
	s.after(x.trip, func() {
		switch {
		case x.over:
		case x.at.running < x.at.slots:
			s.run(x)
		case len(x.at.waiting) < x.at.slots:
			x.at.waiting = append(x.at.waiting, x)
		default:
			s.after(x.trip, func() { s.finish(x, false, true) })
		}
	})
}

// connect takes an idle connection and reports whether there is none. Those of requests that
// may not be repeated may be idle for 0.2 s, as in exch.
func (s *simulation) connect(x *send) (isNew bool) {
	pair, maxIdle := [2]int{x.host, x.at.index}, 8*time.Second
	if !x.criteria.Repeatable {
		maxIdle = 200 * time.Millisecond
	}
	for i, since := range slices.Backward(s.idleSince[pair]) {
		if s.now-since < maxIdle {
			s.idleSince[pair] = slices.Delete(s.idleSince[pair], i, i+1)
			return false
		}
	}
	return true
}

func (s *simulation) run(x *send) {
	x.at.running++
	x.began = s.now
	duration, ok := time.Duration((0.4+0.6*s.random.ExpFloat64())*float64(meanWork)), true
	period := time.Duration(4 / s.Gray * float64(time.Second)) // unused without gray targets
	switch {
	case x.at.fails && s.random.Float64() < 0.85:
		duration, ok = 2*time.Millisecond, false
	case x.at.slow:
		duration *= 4
	case s.Gray > 0 && (s.now+period*time.Duration(x.at.index)/time.Duration(len(s.perTarget)))%period < 4*time.Second:
		duration *= 8
	}
	s.after(duration, func() {
		if !x.over {
			s.leave(x)
			s.after(x.trip, func() { s.finish(x, ok, false) })
		}
	})
}

// leave ends a send at its target, which begins the next one.
func (s *simulation) leave(x *send) {
	x.over = true
	if x.began == 0 {
		return
	}
	x.at.running--
	if x.measured {
		s.work += (s.now - x.began).Seconds()
	}
	for len(x.at.waiting) > 0 && x.at.running < x.at.slots {
		next := x.at.waiting[0]
		x.at.waiting = x.at.waiting[1:]
		if !next.over {
			s.run(next)
		}
	}
}

func (s *simulation) observe(x *send, o health.Observation, load float64) {
	x.target.AddObservation(s.clock(), o)
	s.report(x.host, func(j int) {
		s.balancers[j].AddRemoteObservation(s.clock(), place.RemoteObservation{Target: x.target.ID, Kind: o, Count: 1})
		if load >= 0 {
			s.balancers[j].SetRemoteLoad(s.clock(), x.target.ID, load)
		}
	})
}

func (s *simulation) observeSlow(x *send) {
	if !x.over && !x.slow {
		x.slow = true
		s.observe(x, health.Slow, -1)
	}
}

// end counts the end of a send at its host.
func (s *simulation) end(x *send) {
	x.target.End(s.clock())
	s.report(x.host, func(j int) { s.balancers[j].AddRemoteRequests(s.clock(), x.target.ID, 0, 1) })
}

// finish processes the end of a send as the proxy does.
func (s *simulation) finish(x *send, ok, shed bool) {
	pair := [2]int{x.host, x.at.index}
	s.idleSince[pair] = append(s.idleSince[pair], s.now)
	x.over = true
	s.end(x)
	load := float64(x.at.running + len(x.at.waiting))
	x.target.SetLoad(s.clock(), load)
	switch {
	case shed:
		if x.measured {
			s.shed++
		}
	case !ok:
		s.observe(x, health.Failed, load)
	case !x.slow:
		s.observe(x, health.Good, load)
	}
	if ok {
		s.sets[x.host].Record(s.clock(), hedge.Key{}, s.now-x.sent)
	}
	switch r := x.request; {
	case r.answered:
	case ok:
		r.answered = true
		if x.measured {
			s.latencies = append(s.latencies, (s.now - r.began).Seconds())
		}
		if s.Hedging == WithinShare {
			s.cancelOthers(x)
		}
	case slices.ContainsFunc(r.sends, func(o *send) bool { return !o.over }):
	case shed:
		s.place(r)
	case r.repeatable && len(r.sends) < 2:
		r.criteria.Repeatable = false
		s.place(r)
	case x.measured:
		s.failed++
	}
}

// cancelOthers cancels the sends that lost to x.
func (s *simulation) cancelOthers(x *send) {
	for _, o := range x.sends {
		if o.over {
			continue
		}
		if o.sent < x.sent {
			s.sets[o.host].Record(s.clock(), hedge.Key{}, s.now-o.sent)
			s.observeSlow(o)
		}
		s.leave(o)
		s.end(o)
	}
}
