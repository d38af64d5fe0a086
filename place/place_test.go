package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/health"
	"rhubarbdrift.example/model"
)

// scheduledEvent is an action at a point of the simulated time.
type scheduledEvent struct {
	at     time.Duration
	action func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// server simulates a target with concurrent slots and a queue. While it is unhealthy,
// it fails most requests at once.
type server struct {
	id        model.TargetID
	slots     int
	running   int
	queue     []func()
	unhealthy func(now time.Duration) bool
}

// workload describes the load on a pool that is shared by several daemons.
type workload struct {
	daemons, targets, slots int
	rate                    float64       // requests per second
	work                    float64       // mean duration in seconds
	delay                   time.Duration // time until a daemon's reports reach the others
	duration                time.Duration
	unhealthyShare          float64 // share of the targets that is unhealthy at any time
}

// simulate returns the shares of requests that succeed within a second and that
// fail. With randomTarget set, each request goes to a random target.
func simulate(seed uint64, l workload, randomTarget bool) (timely, failed float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	now := time.Duration(0)
	var events eventQueue
	at := func(t time.Duration, action func()) { heap.Push(&events, scheduledEvent{at: t, action: action}) }

	servers := make(map[model.TargetID]*server)
	var instances []*model.Instance
	for i := range l.targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		phase := time.Duration(random.Int64N(int64(20 * time.Second)))
		servers[id] = &server{id: id, slots: l.slots, unhealthy: func(now time.Duration) bool {
			return (now+phase)%(20*time.Second) < time.Duration(l.unhealthyShare*20*float64(time.Second))
		}}
		instances = append(instances, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: "r", Domain: "d", Slots: model.Slots(l.slots)}})
	}
	balancers := make([]*Balancer, l.daemons)
	for i := range balancers {
		balancers[i] = NewBalancer(Location{Region: "r", Domain: "d"})
		balancers[i].Update(start, map[model.PoolID][]*model.Instance{"p": instances})
	}
	broadcast := func(from int, action func(*Balancer)) {
		at(now+l.delay, func() {
			for i, b := range balancers {
				if i != from {
					action(b)
				}
			}
		})
	}
	requests, timelyCount, failedCount := 0, 0, 0
	run := func(s *server, done func(ok bool)) {
		s.running++
		serviceTime := time.Duration(random.ExpFloat64() * l.work * float64(time.Second))
		ok := true
		if s.unhealthy(now) && random.Float64() < 0.85 {
			serviceTime, ok = 2*time.Millisecond, false
		}
		at(now+serviceTime, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			done(ok)
		})
	}
	var send func(daemon int, began time.Duration, criteria Request)
	send = func(daemon int, began time.Duration, criteria Request) {
		b := balancers[daemon]
		t := b.targets[instances[random.IntN(len(instances))].ID]
		if !randomTarget {
			t, _ = b.Choose(start.Add(now), criteria, random.IntN)
		}
		id, s := t.ID, servers[t.ID]
		t.Begin(start.Add(now))
		broadcast(daemon, func(b *Balancer) { b.AddRemoteRequests(start.Add(now), id, 1, 0) })
		finish := func(ok bool) {
			observed := health.Good
			if !ok {
				observed = health.Failed
				if criteria.Repeatable {
					defer send(daemon, began, Request{Pool: criteria.Pool, UsualSeconds: criteria.UsualSeconds, Bytes: criteria.Bytes, Tried: []model.TargetID{id}})
				} else {
					failedCount++
				}
			} else if now-began < time.Second {
				timelyCount++
			}
			t.End(start.Add(now))
			t.AddObservation(start.Add(now), observed)
			reportedLoad := float64(s.running + len(s.queue))
			t.SetLoad(start.Add(now), reportedLoad)
			broadcast(daemon, func(b *Balancer) {
				b.AddRemoteObservation(start.Add(now), RemoteObservation{Target: id, Kind: observed, Count: 1})
				b.AddRemoteRequests(start.Add(now), id, 0, 1)
				b.SetRemoteLoad(start.Add(now), id, reportedLoad)
			})
		}
		if s.running < s.slots {
			run(s, finish)
		} else {
			s.queue = append(s.queue, func() { run(s, finish) })
		}
	}
	request := func() {
		requests++
		// Four of ten requests may be repeated, as in users' deployments.
		send(random.IntN(l.daemons), now, Request{Pool: "p", UsualSeconds: l.work, Bytes: 5000, Repeatable: random.Float64() < 0.4})
	}
	for t := time.Duration(0); t < l.duration; t += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)) {
		at(t, request)
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(scheduledEvent)
		now = e.at
		e.action()
	}
	return float64(timelyCount) / float64(requests), float64(failedCount) / float64(requests)
}

// TestLoads guards against selection that is no better than random under heavy
// loads like those of users' pools. Where there is capacity, at most a twentieth
// of the requests may fail, or 6% in the largest pool. A request that may be
// repeated is sent again once, as in the proxy.
func TestLoads(t *testing.T) {
	for name, c := range map[string]struct {
		workload workload
		timely   float64
		failed   float64
	}{
		"two thirds busy":      {workload: workload{daemons: 36, targets: 25, slots: 6, rate: 260, work: 0.38}, timely: 0.88, failed: 0},
		"sick targets":         {workload: workload{daemons: 36, targets: 25, slots: 6, rate: 150, work: 0.35, unhealthyShare: 0.15}, timely: 0.90, failed: 0.05},
		"few slots":            {workload: workload{daemons: 40, targets: 28, slots: 3, rate: 220, work: 0.19, unhealthyShare: 0.1}, timely: 0.93, failed: 0.05},
		"many hosts and sizes": {workload: workload{daemons: 65, targets: 150, slots: 3, rate: 650, work: 0.3, unhealthyShare: 0.1, delay: 350 * time.Millisecond}, timely: 0.88, failed: 0.06},
	} {
		t.Run(name, func(t *testing.T) {
			c.workload.duration = 40 * time.Second
			if c.workload.delay == 0 {
				c.workload.delay = 200 * time.Millisecond
			}
			timely, failed := simulate(1, c.workload, false)
			randomTimely, randomFailed := simulate(1, c.workload, true)
			t.Logf("timely %.3f, at random %.3f; failed %.3f, at random %.3f", timely, randomTimely, failed, randomFailed)
			test.GreaterEq(t, c.timely, timely)
			test.LessEq(t, c.failed, failed)
			test.Greater(t, randomTimely, timely)
		})
	}
}

// TestForgotten guards against a healthy target that stays unused because it was
// unhealthy long ago.
func TestForgotten(t *testing.T) {
	b := NewBalancer(Location{Region: "r", Domain: "d"})
	now := time.Unix(0, 0)
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", Target: model.Target{ID: "a", Region: "r", Domain: "d", Slots: 3}},
		{Pool: "p", Target: model.Target{ID: "b", Region: "r", Domain: "d", Slots: 3}},
	}})
	for range 6 {
		b.AddRemoteObservation(now, RemoteObservation{Target: "a", Kind: health.Failed, Count: 1})
	}
	random := rand.New(rand.NewPCG(1, 1))
	used := false
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		c, ok := b.Choose(now, Request{Pool: "p", UsualSeconds: 0.2, Repeatable: true}, random.IntN)
		test.True(t, ok)
		c.Begin(now)
		c.End(now)
		used = used || c.ID == "a"
	}
	test.True(t, used)
}

// TestNowhere guards against selecting a target that is leaving or was already tried.
func TestNowhere(t *testing.T) {
	b := NewBalancer(Location{Region: "r", Domain: "d"})
	now := time.Unix(0, 0)
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", Target: model.Target{ID: "a", Region: "r", Slots: 3, Leaving: true}},
		{Pool: "p", Target: model.Target{ID: "b", Region: "r", Slots: 3}},
	}})
	_, ok := b.Choose(now, Request{Pool: "p", Tried: []model.TargetID{"b"}}, rand.IntN)
	test.False(t, ok)
	_, ok = b.Choose(now, Request{Pool: "q"}, rand.IntN)
	test.False(t, ok)
}
