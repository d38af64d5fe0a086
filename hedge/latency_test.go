package hedge

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

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
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// hedging is a way to hedge requests.
type hedging int

const (
	never       hedging = iota
	atObjective         // as without a Set: after 0.9 of the objective, and the other send goes on
	withinShare
)

const (
	simHosts, simTargets, simSlots = 10, 60, 4
	simWork                        = 200 * time.Millisecond
	simObjective                   = time.Second
	simReports                     = 300 * time.Millisecond // until reports arrive
	simFrom, simEnd                = 5 * time.Second, 16 * time.Second
)

// simResult holds quantiles of the latency in seconds, and the work of targets in seconds
// and the hedged sends for one request.
type simResult struct{ p50, p99, p999, work, hedged float64 }

// attempt is a send of a simulated request.
type attempt struct {
	started time.Duration // when the target began to run it; -1: it waits
	over    bool
	end     func(answered bool)
}

// simulate runs a pool of which a share of the targets is eight times slower for 4 s each.
func simulate(mode hedging, slowShare, load, share float64) simResult {
	random := rand.New(rand.NewPCG(7, 7))
	start, now := time.Unix(0, 0), time.Duration(0)
	var queue events
	after := func(d time.Duration, action func()) { heap.Push(&queue, event{now + d, action}) }
	clock := func() time.Time { return start.Add(now) }
	type server struct {
		phase   time.Duration
		running int
		waiting []*attempt
	}
	servers := make(map[model.TargetID]*server)
	var list []*model.Instance
	period := 4 * time.Second
	if slowShare > 0 {
		period = time.Duration(4 / slowShare * float64(time.Second))
	}
	for i := range simTargets {
		id := model.TargetID(fmt.Sprint(i))
		servers[id] = &server{phase: period * time.Duration(i) / simTargets}
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: "r", Domain: "d", Slots: simSlots}})
	}
	balancers, sets, budgets := make([]*place.Balancer, simHosts), make([]*Set, simHosts), make([]*limit.Budget, simHosts)
	broadcast := func(from int, action func(int)) {
		after(simReports, func() {
			for i := range simHosts {
				if i != from {
					action(i)
				}
			}
		})
	}
	for i := range simHosts {
		balancers[i] = place.NewBalancer(place.Location{Region: "r", Domain: "d"})
		balancers[i].Update(start, map[model.PoolID][]*model.Instance{"p": list})
		budgets[i] = limit.NewBudget(limit.Allowance{Ratio: 0.2, Reserve: 180})
		sets[i] = NewSet(Policy{Share: share, Quantile: DefaultQuantile}, func(_ model.PoolID, sent bool) {
			u := Usage{Wanted: 1}
			if sent {
				u.Hedged = 1
			}
			broadcast(i, func(j int) { sets[j].AddRemote(clock(), "p", u) })
		})
	}
	var latencies []float64
	var requests, hedged, work float64
	var run func(id model.TargetID, a *attempt)
	leave := func(id model.TargetID, a *attempt, answered bool) {
		s := servers[id]
		a.over = true
		if a.started >= 0 {
			s.running--
			if a.started >= simFrom {
				work += (now - a.started).Seconds()
			}
			for len(s.waiting) > 0 && s.running < simSlots {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				if !next.over {
					run(id, next)
				}
			}
		}
		a.end(answered)
	}
	run = func(id model.TargetID, a *attempt) {
		s := servers[id]
		s.running++
		a.started = now
		duration := time.Duration((0.5 + 0.5*random.ExpFloat64()) * float64(simWork))
		if slowShare > 0 && (now+s.phase)%period < 4*time.Second {
			duration *= 8
		}
		after(duration, func() {
			if !a.over {
				leave(id, a, true)
			}
		})
	}
	request := func() {
		host, began, measured := random.IntN(simHosts), now, now >= simFrom
		b, set, budget := balancers[host], sets[host], budgets[host]
		done := false
		var open []func() // cancel the sends in flight
		var tried []model.TargetID
		send := func(t *place.Target) {
			number, sent, slow := len(tried), now, false
			tried = append(tried, t.ID)
			t.Begin(clock())
			broadcast(host, func(j int) { balancers[j].AddRemoteRequests(clock(), t.ID, 1, 0) })
			observe := func(o health.Observation, load float64) {
				t.AddObservation(clock(), o)
				broadcast(host, func(j int) {
					balancers[j].AddRemoteObservation(clock(), place.RemoteObservation{Target: t.ID, Kind: o, Count: 1})
					if load >= 0 {
						balancers[j].SetRemoteLoad(clock(), t.ID, load)
					}
				})
			}
			a := &attempt{started: -1}
			a.end = func(answered bool) {
				set.Record(clock(), Key{"r", "p"}, now-sent)
				t.End(clock())
				broadcast(host, func(j int) { balancers[j].AddRemoteRequests(clock(), t.ID, 0, 1) })
				switch {
				case answered && !slow:
					load := float64(servers[t.ID].running + len(servers[t.ID].waiting))
					t.SetLoad(clock(), load)
					observe(health.Good, load)
				case !answered && !slow && number == 0:
					observe(health.Slow, -1)
				}
				if !answered || done {
					return
				}
				done = true
				if measured {
					latencies = append(latencies, (now - began).Seconds())
				}
				if mode == withinShare {
					for _, cancel := range open {
						cancel()
					}
				}
			}
			open = append(open, func() {
				if !a.over {
					leave(t.ID, a, false)
				}
			})
			after(simObjective*9/10, func() {
				if !a.over {
					slow = true
					observe(health.Slow, -1)
				}
			})
			if s := servers[t.ID]; s.running < simSlots {
				run(t.ID, a)
			} else {
				s.waiting = append(s.waiting, a)
			}
		}
		criteria := place.Request{Pool: "p", UsualSeconds: simWork.Seconds(), Bytes: 5000, Repeatable: true}
		set.CountRequests("p", 1)
		budget.AddRequests(1)
		broadcast(host, func(j int) {
			sets[j].AddRemote(clock(), "p", Usage{Requests: 1})
			budgets[j].AddRequests(1)
		})
		if measured {
			requests++
		}
		t, _ := b.Choose(clock(), criteria, random.IntN)
		send(t)
		retry := func() bool {
			ok := budget.Retry(0.6)
			if ok {
				broadcast(host, func(j int) { budgets[j].AddRemoteRetries(1) })
			}
			return ok
		}
		bound := simObjective * 9 / 10
		delay := bound
		if mode == withinShare {
			delay = set.Delay(clock(), Key{"r", "p"}, bound)
		}
		var hedge func(late bool)
		hedge = func(late bool) {
			if done || mode == never {
				return
			}
			criteria.Tried, criteria.Repeatable = tried, mode == atObjective
			var t *place.Target
			if mode == atObjective {
				if !retry() {
					return
				}
				t, _ = b.Choose(clock(), criteria, random.IntN)
			} else {
				var use float64
				t, use = b.ChooseSpare(clock(), criteria, random.IntN)
				d := set.Decide(clock(), "p", Facts{AttemptsLeft: true, TimeLeft: true, Late: late, Use: use, Target: t != nil}, random.Float64(), retry)
				if d.Refusal != Allowed {
					if !late {
						after(bound-delay, func() { hedge(true) })
					}
					return
				}
			}
			if measured {
				hedged++
			}
			send(t)
		}
		after(delay, func() { hedge(delay == bound) })
	}
	rate := load * simTargets * simSlots / simWork.Seconds()
	for at := time.Duration(0); at < simEnd; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		heap.Push(&queue, event{at, request})
	}
	for len(queue) > 0 {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.action()
	}
	slices.Sort(latencies)
	quantile := func(q float64) float64 { return latencies[int(math.Ceil(q*float64(len(latencies))))-1] }
	return simResult{quantile(0.5), quantile(0.99), quantile(0.999), work / requests, hedged / requests}
}

// latencyCases: reference is the way to hedge that must be worse. A share of 0.05 is less
// than what is hedged without a limit.
var latencyCases = []struct {
	slow, load, share float64
	reference         hedging
}{{0.01, 0.3, 0.1, atObjective}, {0.05, 0.3, 0.2, atObjective}, {0.2, 0.3, 0.2, atObjective}, {0.05, 0.3, 0.05, never}, {0.05, 0.9, 0.2, never}}

// TestLatency guards against hedged requests that don't shorten the slowest latencies, that
// exceed their share, or that add work under load.
func TestLatency(t *testing.T) {
	for _, c := range latencyCases {
		t.Run(fmt.Sprintf("slow=%v/load=%v/share=%v", c.slow, c.load, c.share), func(t *testing.T) {
			t.Parallel()
			now := simulate(withinShare, c.slow, c.load, c.share)
			t.Logf("%+v", now)
			test.LessEq(t, c.share, now.hedged)
			if c.load > 0.7 {
				test.LessEq(t, 0.01, now.hedged)
				return
			}
			before := simulate(c.reference, c.slow, c.load, c.share)
			test.LessEq(t, 1.05*before.p50, now.p50)
			test.Less(t, before.p99, now.p99)
			test.Less(t, 1.05*before.p999, now.p999)
			test.LessEq(t, 1.02*before.work, now.work)
		})
	}
}

// BenchmarkLatency prints the figures of all ways to hedge:
// go test -run NONE -bench Latency -benchtime 1x ./hedge.
func BenchmarkLatency(b *testing.B) {
	for _, c := range latencyCases {
		for mode, name := range []string{"never", "at-objective", "within-share"} {
			b.Run(fmt.Sprintf("slow=%v/load=%v/share=%v/%s", c.slow, c.load, c.share, name), func(b *testing.B) {
				r := simulate(hedging(mode), c.slow, c.load, c.share)
				b.ReportMetric(0, "ns/op")
				for unit, value := range map[string]float64{"p50-s": r.p50, "p99-s": r.p99, "p99.9-s": r.p999, "work-s": r.work, "hedged": r.hedged} {
					b.ReportMetric(value, unit)
				}
			})
		}
	}
}
