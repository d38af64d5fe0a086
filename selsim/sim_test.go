package selsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// fleet describes hosts and one pool over four failure domains in two regions.
type fleet struct {
	hosts      int
	targets    [4]int                                 // of each domain; default: 12
	slots      [4]int                                 // of each domain's targets; default: 4
	load       float64                                // as a share of the slots with the defaults
	peak       float64                                // load until 2 s before from; 0: as load
	server     func(domain, i int) (fails, slow bool) // whether a target fails most requests or is four times slower
	gray       float64                                // share of the targets that is eight times slower for 4 s each
	cutHosts   int                                    // hosts that send and receive no reports
	lostPath   bool                                   // the first host reaches no target of its own domain
	near       bool                                   // WithNearFirst
	repeatable float64                                // share of the requests that may be repeated
	hedging    hedging
	share      float64       // of hedged requests
	from, end  time.Duration // what is measured
}

// hedging is a way to send slow requests a second time.
type hedging int

const (
	never       hedging = iota
	atObjective         // without a share: after 0.9 of the objective, and the other send goes on
	withinShare
)

const (
	meanWork     = 300 * time.Millisecond
	objective    = time.Second
	slowAfter    = objective * 9 / 10
	reportPeriod = 80 * time.Millisecond  // between the messages of a host
	reportDelay  = 350 * time.Millisecond // until the reports of a host arrive at the others
	pool         = model.PoolID("p")
)

// figures are what a simulation measured. Counts are by the names of table.
type figures struct {
	counts               map[string]float64
	pairs                map[[3]int]bool // seed, host and target
	perTarget, latencies []float64
	spillChanges         int // of all hosts, from the start
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// table returns the shares of the sends (crossed: to other domains, region: to other regions,
// shed: refused by full targets) and of the requests, the sends to the least used target as a
// share of the mean, and latencies.
func (r *figures) table() map[string]float64 {
	slices.Sort(r.latencies)
	quantile := func(q float64) float64 { return r.latencies[int(q*float64(len(r.latencies)-1))] }
	requests := float64(len(r.latencies)) + r.counts["refused"] + r.counts["failed"]
	t := map[string]float64{
		"pairs": float64(len(r.pairs)), "least": slices.Min(r.perTarget) / mean(r.perTarget), "mean-s": mean(r.latencies),
		"p50-s": quantile(0.5), "p99-s": quantile(0.99), "p99.9-s": quantile(0.999),
	}
	for _, name := range []string{"crossed", "region", "shed"} {
		t[name] = r.counts[name] / r.counts["sends"]
	}
	for _, name := range []string{"connections", "refused", "failed", "hedged", "work-s"} {
		t[name] = r.counts[name] / requests
	}
	return t
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
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	fleet
	*figures
	seed      int
	random    *rand.Rand
	now       time.Duration
	events    events
	servers   map[model.TargetID]*server
	locations [4]place.Location // of the domains; the hosts take turns
	balancers []*place.Balancer
	sets      []*hedge.Set
	budgets   []*limit.Budget
	pending   []func(host int)           // reports since the last ones were sent
	idleSince map[[2]int][]time.Duration // idle connections of a host and a target
}

type server struct {
	index, slots, running int
	fails, slow           bool
	waiting               []*send
}

type request struct {
	host       int
	began      time.Duration
	repeatable bool
	measured   bool
	criteria   place.Request
	answered   bool
	sends      []*send
}

type send struct {
	*request
	target *place.Target
	at     *server
	trip   time.Duration
	sent   time.Duration
	ran    time.Duration // when the target began to run it; 0: it has not
	slow   bool          // an observation was made while it ran
	over   bool
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) after(d time.Duration, action func()) {
	heap.Push(&s.events, event{s.now + d, action})
}

// count counts something of a request that is measured.
func (s *simulation) count(r *request, name string, is bool) {
	if r.measured && is {
		s.counts[name]++
	}
}

// report applies something at all other hosts once the host's next report arrives.
func (s *simulation) report(from int, apply func(host int)) {
	s.pending = append(s.pending, func(host int) {
		if from != host && host >= s.cutHosts && from >= s.cutHosts {
			apply(host)
		}
	})
}

func (s *simulation) sendReports() {
	sent := s.pending
	s.pending = nil
	s.after(reportDelay-reportPeriod/2, func() {
		for i, b := range s.balancers {
			s.spillChanges += len(b.SpillChanges())
			for _, apply := range sent {
				apply(i)
			}
		}
	})
	if s.now < s.end {
		s.after(reportPeriod, s.sendReports)
	}
}

// run simulates the fleet with the seeds from 1.
func run(seeds int, f fleet) *figures {
	if f.targets == ([4]int{}) {
		f.targets = [4]int{12, 12, 12, 12}
	}
	if f.slots == ([4]int{}) {
		f.slots = [4]int{4, 4, 4, 4}
	}
	sum := &figures{counts: make(map[string]float64), pairs: make(map[[3]int]bool)}
	for seed := range seeds {
		runSeed(sum, seed+1, f)
	}
	return sum
}

func runSeed(sum *figures, seed int, f fleet) {
	s := &simulation{fleet: f, figures: sum, seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 5)), servers: make(map[model.TargetID]*server), idleSince: make(map[[2]int][]time.Duration)}
	var list []*model.Instance
	for d := range s.locations {
		region := model.Region([]string{"north", "south"}[d/2])
		s.locations[d] = place.Location{Region: region, Domain: model.Domain(fmt.Sprintf("%s-%d", region, d%2))}
		for i := range s.targets[d] {
			t := model.Target{ID: model.TargetID(fmt.Sprintf("t%d-%d", d, i)), Region: region, Domain: s.locations[d].Domain, Slots: model.Slots(s.slots[d])}
			s.servers[t.ID] = &server{index: len(list), slots: s.slots[d]}
			if f.server != nil {
				s.servers[t.ID].fails, s.servers[t.ID].slow = f.server(d, i)
			}
			list = append(list, &model.Instance{Pool: pool, Target: t})
		}
	}
	if s.perTarget == nil {
		s.perTarget = make([]float64, len(list))
	}
	names := make([][]model.HostID, 4)
	for i := range f.hosts {
		names[i%4] = append(names[i%4], model.HostID(fmt.Sprint(i)))
	}
	for i := range f.hosts {
		var options []place.Option
		if f.near {
			options = append(options, place.WithNearFirst(model.HostID(fmt.Sprint(i))))
		}
		b := place.NewBalancer(s.locations[i%4], options...)
		b.SetDomainHosts(names[i%4])
		b.Update(s.clock(), map[model.PoolID][]*model.Instance{pool: list})
		s.balancers = append(s.balancers, b)
		s.budgets = append(s.budgets, limit.NewBudget(limit.Allowance{Ratio: 0.2, Reserve: 180}))
		s.sets = append(s.sets, hedge.NewSet(hedge.Policy{Share: f.share, Quantile: hedge.DefaultQuantile}, func(_ model.PoolID, sent bool) {
			u := hedge.Usage{Wanted: 1}
			if sent {
				u.Hedged = 1
			}
			s.report(i, func(j int) { s.sets[j].AddRemote(s.clock(), pool, u) })
		}))
	}
	s.sendReports()
	for t := time.Duration(0); t < f.end; {
		load := f.load
		if f.peak > 0 && t < f.from-2*time.Second {
			load = f.peak
		}
		t += time.Duration(s.random.ExpFloat64() / (load * 4 * 12 * 4) * float64(meanWork))
		s.after(t, s.begin)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
}

// begin begins a request.
func (s *simulation) begin() {
	r := &request{host: s.random.IntN(s.hosts), began: s.now, repeatable: s.random.Float64() < s.repeatable, measured: s.now >= s.from}
	r.criteria = place.Request{Pool: pool, UsualSeconds: meanWork.Seconds(), Bytes: 5000, Repeatable: r.repeatable}
	count := func(host int) {
		s.sets[host].AddRemote(s.clock(), pool, hedge.Usage{Requests: 1})
		s.budgets[host].AddRequests(1)
	}
	count(r.host)
	s.report(r.host, count)
	s.place(r)
	delay := slowAfter
	if s.hedging == withinShare {
		delay = s.sets[r.host].Delay(s.clock(), hedge.Key{}, slowAfter)
	}
	if s.hedging != never && r.repeatable {
		s.after(delay, func() { s.hedge(r, slowAfter-delay) })
	}
}

// place sends a request to a target that is chosen as in the proxy.
func (s *simulation) place(r *request) {
	t, ok := s.balancers[r.host].Choose(s.clock(), r.criteria, s.random.IntN)
	if ok && len(r.criteria.Tried) <= 3 {
		s.send(r, t)
	} else {
		s.count(r, "refused", true)
	}
}

// hedge sends a slow request a second time, and asks again after a delay if it may not.
func (s *simulation) hedge(r *request, again time.Duration) {
	if r.answered || len(r.sends) != 1 || r.sends[0].over {
		return
	}
	b, criteria := s.balancers[r.host], r.criteria
	retry := func() bool {
		if !s.budgets[r.host].Retry(0.6) {
			return false
		}
		s.report(r.host, func(j int) { s.budgets[j].AddRemoteRetries(1) })
		return true
	}
	var t *place.Target
	if s.hedging == atObjective {
		if t, _ = b.Choose(s.clock(), criteria, s.random.IntN); !retry() {
			return
		}
	} else {
		criteria.Repeatable = false
		var use float64
		t, use = b.ChooseSpare(s.clock(), criteria, s.random.IntN)
		facts := hedge.Facts{AttemptsLeft: true, TimeLeft: true, Late: again <= 0, Use: use, Target: t != nil}
		if s.sets[r.host].Decide(s.clock(), pool, facts, s.random.Float64(), retry).Refusal != hedge.Allowed {
			if again > 0 {
				s.after(again, func() { s.hedge(r, 0) })
			}
			return
		}
	}
	s.count(r, "hedged", true)
	s.send(r, t)
}

func (s *simulation) send(r *request, t *place.Target) {
	x, home := &send{request: r, target: t, at: s.servers[t.ID], sent: s.now}, s.locations[r.host%4]
	r.criteria.Tried = append(slices.Clone(r.criteria.Tried), t.ID)
	if s.lostPath && r.host == 0 && t.Domain == home.Domain {
		t.AddObservation(s.clock(), health.Unreachable)
		s.after(250*time.Millisecond, func() { s.place(r) })
		return
	}
	r.sends = append(r.sends, x)
	if t.Domain != home.Domain {
		x.trip = 2 * time.Millisecond
	}
	if t.Region != home.Region {
		x.trip = 25 * time.Millisecond
	}
	s.count(r, "connections", s.connect(x))
	s.count(r, "sends", true)
	s.count(r, "crossed", t.Domain != home.Domain)
	s.count(r, "region", t.Region != home.Region)
	if r.measured {
		s.perTarget[x.at.index]++
		s.pairs[[3]int{s.seed, r.host, x.at.index}] = true
	}
	t.Begin(s.clock())
	s.report(r.host, func(j int) { s.balancers[j].AddRemoteRequests(s.clock(), t.ID, 1, 0) })
	s.after(slowAfter, func() { s.observeSlow(x) })
	s.after(x.trip, func() {
		switch {
		case x.over:
		case x.at.running < x.at.slots:
			s.work(x)
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

// work runs a request at its target.
func (s *simulation) work(x *send) {
	x.at.running++
	x.ran = s.now
	duration, ok := time.Duration((0.4+0.6*s.random.ExpFloat64())*float64(meanWork)), true
	period := time.Duration(4 / s.gray * float64(time.Second)) // unused without gray targets
	switch {
	case x.at.fails && s.random.Float64() < 0.85:
		duration, ok = 2*time.Millisecond, false
	case x.at.slow:
		duration *= 4
	case s.gray > 0 && (s.now+period*time.Duration(x.at.index)/time.Duration(len(s.perTarget)))%period < 4*time.Second:
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
	if x.ran == 0 {
		return
	}
	x.at.running--
	if x.measured {
		s.counts["work-s"] += (s.now - x.ran).Seconds()
	}
	for len(x.at.waiting) > 0 && x.at.running < x.at.slots {
		next := x.at.waiting[0]
		x.at.waiting = x.at.waiting[1:]
		if !next.over {
			s.work(next)
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

// endAt counts the end of a send at its host.
func (s *simulation) endAt(x *send) {
	x.target.End(s.clock())
	s.report(x.host, func(j int) { s.balancers[j].AddRemoteRequests(s.clock(), x.target.ID, 0, 1) })
}

// finish processes the end of a send as the proxy does.
func (s *simulation) finish(x *send, ok, shed bool) {
	pair := [2]int{x.host, x.at.index}
	s.idleSince[pair] = append(s.idleSince[pair], s.now)
	x.over = true
	s.endAt(x)
	load := float64(x.at.running + len(x.at.waiting))
	x.target.SetLoad(s.clock(), load)
	switch {
	case shed:
		s.count(x.request, "shed", true)
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
		if r.measured {
			s.latencies = append(s.latencies, (s.now - r.began).Seconds())
		}
		if s.hedging == withinShare {
			s.cancelOthers(x)
		}
	case slices.ContainsFunc(r.sends, func(o *send) bool { return !o.over }):
	case shed:
		s.place(r)
	case r.repeatable && len(r.sends) < 2:
		r.criteria.Repeatable = false
		s.place(r)
	default:
		s.count(r, "failed", true)
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
		s.endAt(o)
	}
}
