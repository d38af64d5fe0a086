package place

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// nearFleet describes hosts and one pool over four failure domains in two regions.
type nearFleet struct {
	targets  [4]int                                 // of each domain; default: 12
	slots    [4]int                                 // of each domain's targets; default: 4
	load     float64                                // as a share of the slots with the defaults
	peak     float64                                // load until 2 s before nearFrom; 0: as load
	server   func(domain, i int) (fails, slow bool) // whether a target fails most requests or is four times slower
	cutHosts int                                    // hosts that send and receive no reports
	lostPath bool                                   // the first host reaches no target of its own domain
}

// nearResult is what a simulation measured after nearFrom. Crossed counts the sends to
// other domains, farCrossed those to other regions, and shed those that full targets refused.
type nearResult struct {
	sends, crossed, farCrossed, connections, shed, refused, failed float64
	pairs                                                          map[[3]int]bool // seed, host and target
	perTarget, latencies                                           []float64
	spillChanges                                                   int // of all hosts, from the start
}

func (r *nearResult) requests() float64 { return float64(len(r.latencies)) + r.refused + r.failed }

// least returns the sends to the least used target as a share of the mean.
func (r *nearResult) least() float64 { return slices.Min(r.perTarget) / mean(r.perTarget) }

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

func (r *nearResult) String() string {
	return fmt.Sprintf("crossed %.3f, shed %.4f, refused %.4f, failed %.4f, least %.2f, spill changes %d", r.crossed/r.sends, r.shed/r.sends, r.refused/r.requests(), r.failed/r.requests(), r.least(), r.spillChanges)
}

func (r *nearResult) add(o *nearResult) {
	for _, p := range [][2]*float64{{&r.sends, &o.sends}, {&r.crossed, &o.crossed}, {&r.farCrossed, &o.farCrossed}, {&r.connections, &o.connections}, {&r.shed, &o.shed}, {&r.refused, &o.refused}, {&r.failed, &o.failed}} {
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
}

const (
	nearHosts    = 98
	nearWork     = 300 * time.Millisecond
	nearDuration = 8 * time.Second
	nearFrom     = 4 * time.Second
)

// simulateNear runs the fleet with the reports of hosts, at 80 ms, arriving after 350 ms.
func simulateNear(seed uint64, f nearFleet, near bool) *nearResult {
	if f.targets == ([4]int{}) {
		f.targets = [4]int{12, 12, 12, 12}
	}
	if f.slots == ([4]int{}) {
		f.slots = [4]int{4, 4, 4, 4}
	}
	random := rand.New(rand.NewPCG(seed, 5))
	start, now := time.Unix(0, 0), time.Duration(0)
	var events eventQueue
	at := func(t time.Duration, action func()) { heap.Push(&events, scheduledEvent{at: t, action: action}) }
	locations := make([]Location, 4)
	for i := range locations {
		region := model.Region([]string{"north", "south"}[i/2])
		locations[i] = Location{region, model.Domain(fmt.Sprintf("%s-%d", region, i%2))}
	}
	type simServer struct {
		server
		index, domain int
		fails, slow   bool
	}
	servers := make(map[model.TargetID]*simServer)
	var instances []*model.Instance
	for d, l := range locations {
		for i := range f.targets[d] {
			id := model.TargetID(fmt.Sprintf("t%d-%d", d, i))
			s := &simServer{server: server{slots: f.slots[d]}, index: len(instances), domain: d}
			if f.server != nil {
				s.fails, s.slow = f.server(d, i)
			}
			servers[id] = s
			instances = append(instances, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: l.Region, Domain: l.Domain, Slots: model.Slots(f.slots[d])}})
		}
	}
	balancers, names := make([]*Balancer, nearHosts), make([][]model.HostID, 4)
	for i := range balancers {
		names[i%4] = append(names[i%4], model.HostID(fmt.Sprintf("h%d", i)))
	}
	for i := range balancers {
		var options []Option
		if near {
			options = append(options, WithNearFirst(model.HostID(fmt.Sprintf("h%d", i))))
		}
		balancers[i] = NewBalancer(locations[i%4], options...)
		balancers[i].SetDomainHosts(names[i%4])
		balancers[i].Update(start, map[model.PoolID][]*model.Instance{"p": instances})
	}
	r := &nearResult{pairs: make(map[[3]int]bool), perTarget: make([]float64, len(instances))}
	type report struct {
		from int
		add  func(*Balancer)
	}
	var pending []report
	for t := time.Duration(0); t < nearDuration; t += reportInterval {
		at(t, func() {
			sent := pending
			pending = nil
			at(now+350*time.Millisecond-reportInterval/2, func() {
				for i, b := range balancers {
					r.spillChanges += len(b.SpillChanges())
					for _, p := range sent {
						if p.from != i && i >= f.cutHosts && p.from >= f.cutHosts {
							p.add(b)
						}
					}
				}
			})
		})
	}
	idleSince := make(map[[2]int][]time.Duration) // idle connections of a pair
	work := func(s *simServer, done func(ok bool)) {
		s.running++
		duration, ok := time.Duration((0.4+0.6*random.ExpFloat64())*float64(nearWork)), true
		switch {
		case s.fails && random.Float64() < 0.85:
			duration, ok = 2*time.Millisecond, false
		case s.slow:
			duration *= 4
		}
		at(now+duration, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			done(ok)
		})
	}
	measured := func(began time.Duration) bool { return began >= nearFrom }
	var send func(host int, began time.Duration, c Request, repeatable bool)
	send = func(host int, began time.Duration, c Request, repeatable bool) {
		b := balancers[host]
		t, ok := b.Choose(start.Add(now), c, random.IntN)
		if !ok || len(c.Tried) > 3 {
			if measured(began) {
				r.refused++
			}
			return
		}
		id, s := t.ID, servers[t.ID]
		pair := [2]int{host, s.index}
		c.Tried = append(slices.Clone(c.Tried), id)
		if f.lostPath && host == 0 && s.domain == 0 {
			t.AddObservation(start.Add(now), health.Unreachable)
			at(now+250*time.Millisecond, func() { send(host, began, c, repeatable) })
			return
		}
		maxIdle, reuse := 8*time.Second, -1
		if !c.Repeatable {
			maxIdle = 200 * time.Millisecond // as exch does
		}
		for i, since := range idleSince[pair] {
			if now-since < maxIdle {
				reuse = i
			}
		}
		if reuse >= 0 {
			idleSince[pair] = slices.Delete(idleSince[pair], reuse, reuse+1)
		}
		trip := time.Duration(0)
		if t.Domain != b.location.Domain {
			trip = 2 * time.Millisecond
		}
		if t.Region != b.location.Region {
			trip = 25 * time.Millisecond
		}
		if measured(began) {
			r.sends++
			r.perTarget[s.index]++
			r.pairs[[3]int{int(seed), host, s.index}] = true
			if reuse < 0 {
				r.connections++
			}
			if trip > 0 {
				r.crossed++
			}
			if trip > 2*time.Millisecond {
				r.farCrossed++
			}
		}
		t.Begin(start.Add(now))
		tell := func(add func(*Balancer)) { pending = append(pending, report{host, add}) }
		tell(func(b *Balancer) { b.AddRemoteRequests(start.Add(now), id, 1, 0) })
		sent := now
		finish := func(ok, shed bool) {
			at(now+trip, func() {
				idleSince[pair] = append(idleSince[pair], now)
				t.End(start.Add(now))
				load := float64(s.running + len(s.queue))
				t.SetLoad(start.Add(now), load)
				observed := health.Good
				if !ok {
					observed = health.Failed
				} else if now-sent >= 4*nearWork {
					observed = health.Slow
				}
				if !shed {
					t.AddObservation(start.Add(now), observed)
				}
				tell(func(b *Balancer) {
					if !shed {
						b.AddRemoteObservation(start.Add(now), RemoteObservation{Target: id, Kind: observed, Count: 1})
					}
					b.AddRemoteRequests(start.Add(now), id, 0, 1)
					b.SetRemoteLoad(start.Add(now), id, load)
				})
				switch {
				case shed:
					if measured(began) {
						r.shed++
					}
					send(host, began, c, repeatable)
				case ok:
					if measured(began) {
						r.latencies = append(r.latencies, (now - began).Seconds())
					}
				case repeatable && len(c.Tried) < 2:
					c.Repeatable = false
					send(host, began, c, repeatable)
				default:
					if measured(began) {
						r.failed++
					}
				}
			})
		}
		at(now+trip, func() {
			switch {
			case s.running < s.slots:
				work(s, func(ok bool) { finish(ok, false) })
			case len(s.queue) < s.slots:
				s.queue = append(s.queue, func() { work(s, func(ok bool) { finish(ok, false) }) })
			default:
				finish(false, true)
			}
		})
	}
	for t := time.Duration(0); t < nearDuration; {
		load := f.load
		if f.peak > 0 && t < nearFrom-2*time.Second {
			load = f.peak
		}
		t += time.Duration(random.ExpFloat64() / (load * 4 * 12 * 4) * float64(nearWork))
		at(t, func() {
			repeatable := random.Float64() < 0.4
			send(random.IntN(nearHosts), now, Request{Pool: "p", UsualSeconds: nearWork.Seconds(), Bytes: 5000, Repeatable: repeatable}, repeatable)
		})
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(scheduledEvent)
		now = e.at
		e.action()
	}
	return r
}

// nearCases are the cases of BenchmarkNearFirst. Those with bounds are also tests, so that
// these take a few seconds with the race detector.
var nearCases = []struct {
	name  string
	fleet nearFleet
	// Bounds: the shares of the sends that cross domains and that full targets refuse, the
	// share of the requests that fail or are refused, and the sends to the least used
	// target as a share of the mean.
	crossed, shed, lost, least float64
}{
	{"a third full", nearFleet{load: 0.33}, 0.01, 0.005, 0, 0.3},
	{name: "two thirds full", fleet: nearFleet{load: 0.66}},
	{"nearly full", nearFleet{load: 0.85}, 0.35, 0.45, 0.03, 0.5},
	{"after a peak", nearFleet{load: 0.33, peak: 1}, 0.05, 0.02, 0.002, 0.3},
	{"many targets with few slots", nearFleet{load: 0.33, targets: [4]int{24, 24, 24, 24}, slots: [4]int{2, 2, 2, 2}}, 0.03, 0.01, 0, 0.1},
	{"small domain", nearFleet{load: 0.4, targets: [4]int{2, 22, 12, 12}}, 0.25, 0.02, 0, 0.3},
	{name: "domain without targets", fleet: nearFleet{load: 0.4, targets: [4]int{0, 24, 12, 12}}},
	{"domain short of capacity", nearFleet{load: 0.4, slots: [4]int{1, 6, 4, 4}}, 0.25, 0.05, 0.001, 0.05},
	{name: "region short of capacity", fleet: nearFleet{load: 0.5, slots: [4]int{1, 1, 6, 6}}},
	{name: "failing targets", fleet: nearFleet{load: 0.33, server: func(d, i int) (bool, bool) { return d == 0 && i < 4, false }}},
	{"failing domain", nearFleet{load: 0.33, server: func(d, _ int) (bool, bool) { return d == 0, false }}, 0.35, 0.05, 0.002, 0.01},
	{"slow targets", nearFleet{load: 0.33, server: func(_, i int) (bool, bool) { return false, i < 2 }}, 0.01, 0.01, 0, 0.05},
	{"hosts cut off", nearFleet{load: 0.33, cutHosts: 30}, 0.05, 0.005, 0.001, 0.3},
	{"path to the own domain lost", nearFleet{load: 0.33, lostPath: true}, 0.03, 0.005, 0.002, 0.3},
}

// TestNearFirst guards against sends that leave the domain without need, against targets
// without traffic, and against queues and failures where the near targets don't suffice.
func TestNearFirst(t *testing.T) {
	for _, c := range nearCases {
		if c.crossed == 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := simulateNear(1, c.fleet, true)
			t.Log(r)
			test.LessEq(t, c.crossed, r.crossed/r.sends)
			test.LessEq(t, c.shed, r.shed/r.sends)
			test.LessEq(t, c.lost, (r.refused+r.failed)/r.requests())
			test.GreaterEq(t, c.least, r.least())
			// Each host of one domain may begin to spill over and cease, not repeatedly.
			test.LessEq(t, nearHosts, r.spillChanges)
		})
	}
}

// BenchmarkNearFirst prints the figures of both ways to choose, of four seeds each:
// go test -run NONE -bench NearFirst -benchtime 1x ./place.
func BenchmarkNearFirst(b *testing.B) {
	for _, c := range nearCases {
		for _, near := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/near=%v", c.name, near), func(b *testing.B) {
				var sum nearResult
				for seed := range uint64(4) {
					sum.add(simulateNear(seed+1, c.fleet, near))
				}
				b.ReportMetric(0, "ns/op")
				slices.Sort(sum.latencies)
				for unit, value := range map[string]float64{
					"crossed": sum.crossed / sum.sends, "region": sum.farCrossed / sum.sends, "pairs": float64(len(sum.pairs)) / 4, "connections": sum.connections / sum.requests(),
					"shed": sum.shed / sum.sends, "refused": sum.refused / sum.requests(), "failed": sum.failed / sum.requests(), "least": sum.least(),
					"mean-s": mean(sum.latencies), "p99-s": sum.latencies[len(sum.latencies)*99/100],
				} {
					b.ReportMetric(value, unit)
				}
			})
		}
	}
}

// BenchmarkChoose measures the processor time of a choice among 96 targets, and that of the
// state of a pool, which is computed at every choice here.
func BenchmarkChoose(b *testing.B) {
	for _, options := range [][]Option{nil, {WithNearFirst("h")}} {
		b.Run(fmt.Sprintf("near=%v", options != nil), func(b *testing.B) {
			balancer, now := NewBalancer(Location{"r", "d0"}, options...), time.Unix(0, 0)
			var list []*model.Instance
			for i := range 96 {
				list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Region: "r", Domain: model.Domain(fmt.Sprint("d", i%4)), Slots: 4}})
			}
			balancer.Update(now, map[model.PoolID][]*model.Instance{"p": list})
			for b.Loop() {
				now = now.Add(poolStateAge)
				balancer.Choose(now, Request{Pool: "p", UsualSeconds: 0.3, Bytes: 5000}, rand.IntN)
			}
		})
	}
}

// TestSubsets guards against targets that are in no host's subset or in very many, and
// against a lost host that moves most subsets of the others.
func TestSubsets(t *testing.T) {
	for _, c := range []struct{ hosts, targets int }{{1, 7}, {5, 24}, {25, 7}, {25, 24}, {66, 2}} {
		subsets := func(names []model.HostID) (all [][2]string, users map[model.TargetID]int) {
			users = make(map[model.TargetID]int)
			for _, name := range names {
				b := NewBalancer(Location{"r", "d"}, WithNearFirst(name))
				var list []*model.Instance
				for i := range c.targets {
					list = append(list, &model.Instance{Target: model.Target{ID: model.TargetID(fmt.Sprint("t", i)), Region: "r", Domain: "d"}})
				}
				b.Update(time.Unix(0, 0), map[model.PoolID][]*model.Instance{"p": list})
				b.SetDomainHosts(names)
				for id := range b.pools["p"].subset {
					users[id]++
					all = append(all, [2]string{string(name), string(id)})
				}
			}
			return all, users
		}
		var names []model.HostID
		for i := range c.hosts {
			names = append(names, model.HostID(fmt.Sprint("h", i)))
		}
		before, users := subsets(names)
		test.MapLen(t, c.targets, users)
		low, high := c.hosts, 0
		for _, n := range users {
			low, high = min(low, n), max(high, n)
		}
		test.LessEq(t, 2, high-low, test.Sprint(c))
		if c.hosts > 20 {
			after, _ := subsets(names[:c.hosts-1])
			moved := 0
			for _, pair := range after {
				if !slices.Contains(before, pair) {
					moved++
				}
			}
			test.LessEq(t, len(before)/8, moved, test.Sprint(c))
		}
	}
}

// TestNearUnhealthy guards against a request that may not be repeated and goes to an
// unhealthy near target while others are healthy.
func TestNearUnhealthy(t *testing.T) {
	b := NewBalancer(Location{"r", "d"}, WithNearFirst("h"))
	now := time.Unix(0, 0)
	var list []*model.Instance
	for i := range 24 {
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Region: "r", Domain: model.Domain([]string{"d", "e"}[i%2]), Slots: 4}})
	}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": list})
	for i, instance := range list {
		kind := []health.Observation{health.Failed, health.Good}[i%2]
		for range 5 {
			b.AddRemoteObservation(now, RemoteObservation{Target: instance.ID, Kind: kind, Count: 1})
		}
	}
	for range 100 {
		target, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.3, Bytes: 5000}, rand.IntN)
		test.True(t, ok)
		must.EqOp(t, "e", target.Domain)
	}
}
