package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/model"
)

// event is something that happens at a time in a played load.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// server is a target with slots and a queue.
type server struct {
	id      model.TargetID
	slots   int
	running int
	queue   []func()
	sick    func(now time.Duration) bool
}

// load is a load on a pool, of which each daemon sees a part.
type load struct {
	daemons, targets, slots int
	rate                    float64 // requests per second
	work                    float64 // mean seconds
	delay                   time.Duration
	last                    time.Duration
	sick                    float64 // share of the targets that is sick at a time
}

// play plays a load and returns the shares of requests that are answered within
// a second and that fail. With naive set, each request goes to a random target.
func play(seed uint64, l load, naive bool) (timely, failed float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	now := time.Duration(0)
	var agenda events
	at := func(t time.Duration, do func()) { heap.Push(&agenda, event{at: t, do: do}) }

	servers := make(map[model.TargetID]*server)
	var list []*model.Instance
	for i := range l.targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		phase := time.Duration(random.Int64N(int64(20 * time.Second)))
		servers[id] = &server{id: id, slots: l.slots, sick: func(now time.Duration) bool {
			return (now+phase)%(20*time.Second) < time.Duration(l.sick*20*float64(time.Second))
		}}
		list = append(list, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: "r", Domain: "d", Slots: model.Slots(l.slots)}})
	}
	fields := make([]*Field, l.daemons)
	for i := range fields {
		fields[i] = NewField(Site{Region: "r", Domain: "d"})
		fields[i].Update(start, map[model.PoolID][]*model.Instance{"p": list})
	}
	tell := func(from int, do func(*Field)) {
		at(now+l.delay, func() {
			for i, f := range fields {
				if i != from {
					do(f)
				}
			}
		})
	}
	asked, good, bad := 0, 0, 0
	run := func(s *server, done func(ok bool)) {
		s.running++
		took := time.Duration(random.ExpFloat64() * l.work * float64(time.Second))
		ok := true
		if s.sick(now) && random.Float64() < 0.85 {
			took, ok = 2*time.Millisecond, false
		}
		at(now+took, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			done(ok)
		})
	}
	var send func(daemon int, began time.Duration, need Need)
	send = func(daemon int, began time.Duration, need Need) {
		f := fields[daemon]
		t := f.targets[list[random.IntN(len(list))].ID]
		if !naive {
			t, _ = f.Choose(start.Add(now), need, random.IntN)
		}
		id, s := t.ID, servers[t.ID]
		t.Begin(start.Add(now))
		tell(daemon, func(f *Field) { f.Moves(start.Add(now), id, 1, 0) })
		finish := func(ok bool) {
			sight := grade.Good
			if !ok {
				sight = grade.Bad
				if need.Repeat {
					defer send(daemon, began, Need{Pool: need.Pool, Work: need.Work, Bytes: need.Bytes, Tried: []model.TargetID{id}})
				} else {
					bad++
				}
			} else if now-began < time.Second {
				good++
			}
			t.End(start.Add(now))
			t.See(start.Add(now), sight)
			told := float64(s.running + len(s.queue))
			t.Told(start.Add(now), told)
			tell(daemon, func(f *Field) {
				f.Others(start.Add(now), Sight{Target: id, Kind: sight, Count: 1})
				f.Moves(start.Add(now), id, 0, 1)
				f.Load(start.Add(now), id, told)
			})
		}
		if s.running < s.slots {
			run(s, finish)
		} else {
			s.queue = append(s.queue, func() { run(s, finish) })
		}
	}
	request := func() {
		asked++
		// Four of ten requests may be repeated, as at the users.
		send(random.IntN(l.daemons), now, Need{Pool: "p", Work: l.work, Bytes: 5000, Repeat: random.Float64() < 0.4})
	}
	for t := time.Duration(0); t < l.last; t += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)) {
		at(t, request)
	}
	for len(agenda) > 0 {
		e := heap.Pop(&agenda).(event)
		now = e.at
		e.do()
	}
	return float64(good) / float64(asked), float64(bad) / float64(asked)
}

// TestLoads plays heavy loads of the users' pools and checks what callers get,
// against targets chosen at random. At most a twentieth may fail where there is
// room. A request that may be repeated is sent again once, as the proxy does.
func TestLoads(t *testing.T) {
	for name, c := range map[string]struct {
		load   load
		timely float64
		failed float64
	}{
		"two thirds busy":      {load: load{daemons: 36, targets: 25, slots: 6, rate: 260, work: 0.38}, timely: 0.88, failed: 0},
		"sick targets":         {load: load{daemons: 36, targets: 25, slots: 6, rate: 150, work: 0.35, sick: 0.15}, timely: 0.90, failed: 0.05},
		"few slots":            {load: load{daemons: 40, targets: 28, slots: 3, rate: 220, work: 0.19, sick: 0.1}, timely: 0.93, failed: 0.05},
		"many hosts and sizes": {load: load{daemons: 65, targets: 150, slots: 3, rate: 650, work: 0.3, sick: 0.1, delay: 350 * time.Millisecond}, timely: 0.88, failed: 0.06},
	} {
		t.Run(name, func(t *testing.T) {
			c.load.last = 40 * time.Second
			if c.load.delay == 0 {
				c.load.delay = 200 * time.Millisecond
			}
			timely, failed := play(1, c.load, false)
			randomly, spoiled := play(1, c.load, true)
			t.Logf("timely %.3f, at random %.3f; failed %.3f, at random %.3f", timely, randomly, failed, spoiled)
			test.GreaterEq(t, c.timely, timely)
			test.LessEq(t, c.failed, failed)
			test.Greater(t, randomly, timely)
		})
	}
}

// TestForgotten guards against a sound target that nobody uses because it was
// sick long ago.
func TestForgotten(t *testing.T) {
	f := NewField(Site{Region: "r", Domain: "d"})
	now := time.Unix(0, 0)
	f.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", Target: model.Target{ID: "a", Region: "r", Domain: "d", Slots: 3}},
		{Pool: "p", Target: model.Target{ID: "b", Region: "r", Domain: "d", Slots: 3}},
	}})
	for range 6 {
		f.Others(now, Sight{Target: "a", Kind: grade.Bad, Count: 1})
	}
	random := rand.New(rand.NewPCG(1, 1))
	used := false
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		c, ok := f.Choose(now, Need{Pool: "p", Work: 0.2, Repeat: true}, random.IntN)
		test.True(t, ok)
		c.Begin(now)
		c.End(now)
		used = used || c.ID == "a"
	}
	test.True(t, used)
}

// TestNowhere guards against requests to targets that leave or had theirs.
func TestNowhere(t *testing.T) {
	f := NewField(Site{Region: "r", Domain: "d"})
	now := time.Unix(0, 0)
	f.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", Target: model.Target{ID: "a", Region: "r", Slots: 3, Leaving: true}},
		{Pool: "p", Target: model.Target{ID: "b", Region: "r", Slots: 3}},
	}})
	_, ok := f.Choose(now, Need{Pool: "p", Tried: []model.TargetID{"b"}}, rand.IntN)
	test.False(t, ok)
	_, ok = f.Choose(now, Need{Pool: "q"}, rand.IntN)
	test.False(t, ok)
}
