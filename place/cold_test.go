package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// coldPool describes a pool whose targets are cold for some time.
type coldPool struct {
	hosts, targets int
	rate           float64       // requests per second to the pool
	coldRate       float64       // limit of a cold target
	delay          time.Duration // until a host's report reaches the others
	warmShare      float64       // share of the targets that stay warm
	// learnWithin is the time within which the hosts learn that a target is cold, each at
	// a random moment, but lateShare of them after lateBy.
	learnWithin time.Duration
	lateBy      time.Duration
	quiet       time.Duration // without requests at the beginning
	lateShare   float64
	restart     bool    // a host restarts every second of the cold time
	restartAll  bool    // all hosts restart at coldCutFrom
	cutShare    float64 // share of the hosts that lose the others from coldCutFrom to coldCutUntil
	alone       bool    // the hosts that are cut off lose each other as well
}

const (
	coldFrom       = 2 * time.Second
	coldCutFrom    = 5 * time.Second
	coldCutUntil   = 9 * time.Second
	coldUntil      = 12 * time.Second
	coldHeartbeat  = 1500 * time.Millisecond
	coldWork       = 200 * time.Millisecond
	coldOvershoot  = 1.5
	coldSlack      = 8.0
	coldDetectTime = 1500 * time.Millisecond // until a host notices that it lost others
	coldJoinTime   = 500 * time.Millisecond  // until a host that started is connected
)

// poolRequests is the key of the requests to the pool in reports.
const poolRequests = "the pool"

// coldUse is what reached the cold targets.
type coldUse struct {
	worst     int     // largest number of requests in a second to one of them
	perSecond float64 // mean for each of them, once all hosts know that they are cold
	refused   [2]float64
}

// mostPerSecond returns the largest number of arrivals in a sliding second.
func mostPerSecond(arrivals []time.Duration) int {
	first, most := 0, 0
	for i, at := range arrivals {
		for arrivals[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// simulateCold returns what reached the cold targets from coldFrom to coldUntil.
func simulateCold(seed uint64, l coldPool) coldUse {
	random := rand.New(rand.NewPCG(seed, 4))
	start, now := time.Unix(0, 0), time.Duration(0)
	var events eventQueue
	at := func(t time.Duration, action func()) { heap.Push(&events, scheduledEvent{at: t, action: action}) }
	rate := model.Rate(l.coldRate)
	rules := &model.Pool{ID: "p", ColdRate: &rate}
	isCold := func(target int) bool { return float64(target) >= l.warmShare*float64(l.targets) }

	// instances returns the list as the store holds it: entries are written again with
	// each heartbeat.
	instances := func() map[model.PoolID][]*model.Instance {
		var list []*model.Instance
		for i := range l.targets {
			region := model.Region([]string{"north", "south"}[i%2])
			in := &model.Instance{Pool: "p", HasCold: true, Target: model.Target{ID: model.TargetID(fmt.Sprint(i)), Region: region, Domain: model.Domain(region), Slots: 6}}
			if now >= coldFrom && isCold(i) {
				beat := coldFrom + (now-coldFrom)/coldHeartbeat*coldHeartbeat
				in.Revision = uint64(beat)
				in.Cold = model.Millis(max(coldUntil-beat, 0) / time.Millisecond)
			}
			list = append(list, in)
		}
		return map[model.PoolID][]*model.Instance{"p": list}
	}

	balancers := make([]*Balancer, l.hosts)
	joined := make([]time.Duration, l.hosts) // when the host hears the others
	// part returns the part of the fleet that hears the host.
	part := func(host int) int {
		switch cut := now >= coldCutFrom && now < coldCutUntil && float64(host) < l.cutShare*float64(l.hosts); {
		case now < joined[host], cut && l.alone:
			return host + 2
		case cut:
			return 1
		default:
			return 0
		}
	}
	fleet := make(map[int]*reports)
	report := func(from int, id model.TargetID, c counts) {
		p := part(from)
		if fleet[p] == nil {
			fleet[p] = new(reports)
		}
		fleet[p].add(from, id, c)
	}
	setShares := func() {
		sizes := make(map[int]int)
		for i := range balancers {
			sizes[part(i)]++
		}
		for i, b := range balancers {
			b.SetFleetShare(start.Add(now), float64(sizes[part(i)])/float64(l.hosts))
		}
	}
	startHost := func(i int) {
		region := model.Region([]string{"north", "south"}[i%2])
		balancers[i] = NewBalancer(Location{Region: region, Domain: model.Domain(region)},
			WithPools(func(model.PoolID) (*model.Pool, bool) { return rules, true }),
			WithColdTolerance(limit.ColdTolerance{Overshoot: coldOvershoot, Slack: coldSlack}),
			WithDemandReport(func(id model.TargetID, urgent bool) {
				if urgent {
					report(i, id, counts{demand: limit.Demand{Urgent: 1}})
				} else {
					report(i, id, counts{demand: limit.Demand{Other: 1}})
				}
			}))
		balancers[i].SetFleetSize(l.hosts)
		balancers[i].Update(start.Add(now), instances())
	}
	for i := range balancers {
		startHost(i)
		learned := coldFrom + time.Duration(random.Float64()*float64(l.learnWithin))
		if float64(i) < l.lateShare*float64(l.hosts) {
			learned = coldFrom + l.lateBy
		}
		for beat := learned; beat < coldUntil; beat += coldHeartbeat {
			at(beat, func() { balancers[i].Update(start.Add(now), instances()) })
		}
	}
	for t := time.Duration(0); t < coldUntil; t += reportInterval {
		at(t, func() {
			sent := fleet
			fleet = make(map[int]*reports)
			at(now+l.delay-reportInterval/2, func() {
				for i, b := range balancers {
					r := sent[part(i)]
					if r == nil || len(r.own) == 1 && r.own[i] != nil {
						continue // nothing is heard from others
					}
					r.apply(start.Add(now), i, b)
					if all, own := r.all[poolRequests], r.own[i][poolRequests]; own != nil {
						b.AddRemotePoolRequests(start.Add(now), "p", float64(all.sent-own.sent))
					} else if all != nil {
						b.AddRemotePoolRequests(start.Add(now), "p", float64(all.sent))
					}
				}
			})
		})
	}
	if l.cutShare > 0 {
		at(coldCutFrom+coldDetectTime, setShares)
		at(coldCutUntil+coldDetectTime/3, setShares)
	}
	restart := func(t time.Duration, i int) {
		at(t, func() {
			joined[i] = now + coldJoinTime
			startHost(i)
			balancers[i].SetFleetShare(start.Add(now), 1/float64(l.hosts))
		})
		at(t+coldJoinTime, func() { balancers[i].SetFleetShare(start.Add(now), 1) })
	}
	if l.restart {
		for t := coldFrom + 3*time.Second; t < coldUntil-coldJoinTime; t += time.Second {
			restart(t, random.IntN(l.hosts))
		}
	}
	if l.restartAll {
		for i := range balancers {
			restart(coldCutFrom+time.Duration(random.Int64N(int64(time.Second))), i)
		}
	}

	arrivals := make(map[model.TargetID][]time.Duration)
	settled := coldFrom + max(l.learnWithin, l.lateBy) + 2*time.Second
	var use coldUse
	requests := [2]float64{}
	request := func() {
		host, kind := random.IntN(l.hosts), random.IntN(2)
		b := balancers[host]
		report(host, poolRequests, counts{sent: 1})
		t, ok := b.Choose(start.Add(now), Request{Pool: "p", UsualSeconds: coldWork.Seconds(), Bytes: 2000, Repeatable: kind == 0, Urgent: kind == 1}, random.IntN)
		if now >= settled {
			requests[kind]++
			if !ok {
				use.refused[kind]++
			}
		}
		if !ok {
			return
		}
		if now >= coldFrom {
			arrivals[t.ID] = append(arrivals[t.ID], now)
		}
		id := t.ID
		t.Begin(start.Add(now))
		report(host, id, counts{sent: 1})
		at(now+time.Duration(random.ExpFloat64()*float64(coldWork)), func() {
			t.End(start.Add(now))
			report(host, id, counts{ended: 1})
		})
	}
	for t := l.quiet; t < coldUntil; t += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)) {
		at(t, request)
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(scheduledEvent)
		now = e.at
		e.action()
	}
	cold := 0
	for i := range l.targets {
		if !isCold(i) {
			continue
		}
		cold++
		list := arrivals[model.TargetID(fmt.Sprint(i))]
		use.worst = max(use.worst, mostPerSecond(list))
		for _, a := range list {
			if a >= settled {
				use.perSecond++
			}
		}
	}
	use.perSecond /= float64(cold) * (coldUntil - settled).Seconds()
	for kind := range requests {
		use.refused[kind] /= max(requests[kind], 1)
	}
	return use
}

// TestColdTargets guards against a fleet that sends more to cold targets than they bear, or
// much less than they can serve.
func TestColdTargets(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		coldPool
		used float64 // share of the limit that must be used
	}{
		"36 hosts":              {coldPool{hosts: 36, targets: 20, rate: 200, coldRate: 4.7, delay: 350 * ms}, 0.8},
		"100 hosts":             {coldPool{hosts: 100, targets: 20, rate: 200, coldRate: 4.7, delay: 450 * ms}, 0.8},
		"300 hosts":             {coldPool{hosts: 300, targets: 20, rate: 200, coldRate: 4.7, delay: 600 * ms}, 0.8},
		"demand 8 times":        {coldPool{hosts: 36, targets: 10, rate: 376, coldRate: 4.7, delay: 600 * ms}, 0.8},
		"demand 1.1 times":      {coldPool{hosts: 36, targets: 20, rate: 103, coldRate: 4.7, delay: 600 * ms}, 0.8},
		"small limit":           {coldPool{hosts: 300, targets: 10, rate: 20, coldRate: 0.8, delay: 600 * ms}, 0.8},
		"large limit":           {coldPool{hosts: 36, targets: 5, rate: 200, coldRate: 20, delay: 450 * ms}, 0.8},
		"half of the pool warm": {coldPool{hosts: 36, targets: 20, rate: 100, coldRate: 4.7, delay: 450 * ms, warmShare: 0.5}, 0},
		"requests begin":        {coldPool{hosts: 100, targets: 10, rate: 100, coldRate: 4.7, delay: 450 * ms, quiet: 3 * time.Second}, 0.7},
		"hosts restart":         {coldPool{hosts: 36, targets: 20, rate: 200, coldRate: 4.7, delay: 350 * ms, restart: true}, 0.8},
		"all hosts restart":     {coldPool{hosts: 100, targets: 10, rate: 100, coldRate: 4.7, delay: 450 * ms, restartAll: true}, 0.6},
		"regions cut":           {coldPool{hosts: 100, targets: 10, rate: 100, coldRate: 4.7, delay: 450 * ms, cutShare: 0.5}, 0.8},
		"one host cut":          {coldPool{hosts: 36, targets: 20, rate: 200, coldRate: 4.7, delay: 350 * ms, cutShare: 1.0 / 36}, 0.8},
		"all hosts cut":         {coldPool{hosts: 36, targets: 20, rate: 200, coldRate: 4.7, delay: 350 * ms, cutShare: 1, alone: true}, 0.6},
		"some learn late":       {coldPool{hosts: 100, targets: 10, rate: 100, coldRate: 4.7, delay: 450 * ms, learnWithin: 300 * ms, lateBy: 2 * time.Second, lateShare: 0.1}, 0.8},
		"all learn late":        {coldPool{hosts: 100, targets: 20, rate: 60, coldRate: 4.7, delay: 450 * ms, learnWithin: 2 * time.Second, lateBy: 2 * time.Second, lateShare: 0.3}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u := simulateCold(1, c.coldPool)
			allowed := int(coldOvershoot*c.coldRate + coldSlack)
			t.Logf("at most %d in a second, %d allowed; %.2f/s of %.2f/s; refused %.3f urgent, %.3f other", u.worst, allowed, u.perSecond, c.coldRate, u.refused[1], u.refused[0])
			test.LessEq(t, allowed, u.worst)
			test.GreaterEq(t, c.used*c.coldRate, u.perSecond)
			test.LessEq(t, u.refused[0]+0.01, u.refused[1])
		})
	}
}

// newCold returns a balancer with one target "a" in a pool with the rule, and a function
// that writes its entry again.
func newCold(now time.Time, rule *model.Pool, in model.Instance, options ...Option) (*Balancer, func(time.Time, func(*model.Instance))) {
	options = append(options, WithPools(func(id model.PoolID) (*model.Pool, bool) { return rule, rule != nil && id == "p" }),
		WithColdTolerance(limit.ColdTolerance{Overshoot: coldOvershoot, Slack: coldSlack}))
	b := NewBalancer(Location{Region: "r", Domain: "d"}, options...)
	in.Pool, in.Target = "p", model.Target{ID: "a", Region: "r", Domain: "d", Slots: 3}
	update := func(now time.Time, change func(*model.Instance)) {
		change(&in)
		listed := in
		b.Update(now, map[model.PoolID][]*model.Instance{"p": {&listed}})
	}
	update(now, func(*model.Instance) {})
	return b, update
}

// send sends requests until one is refused, and returns how many were not.
func send(b *Balancer, now time.Time, most int) int {
	for n := range most {
		if _, ok := b.Choose(now, Request{Pool: "p"}, rand.New(rand.NewPCG(uint64(n), 5)).IntN); !ok {
			return n
		}
	}
	return most
}

// TestColdAccount guards against entries that are written again, restarts and changes of the
// configuration that give a cold target a new burst.
func TestColdAccount(t *testing.T) {
	now := time.Unix(0, 0)
	rate := model.Rate(4)
	rule := &model.Pool{ID: "p", ColdRate: &rate}
	b, update := newCold(now, rule, model.Instance{HasCold: true, Cold: 9000, Revision: 1, StartedAt: 1})
	spent := func() float64 { return b.targets["a"].cold.pacer.Allowed(now) }
	b.AddRemoteRequests(now, "a", 20, 0)
	test.Eq(t, 0, spent())
	update(now, func(i *model.Instance) { i.Revision, i.Cold = 2, 8000 })
	test.Eq(t, 0, spent())
	update(now, func(i *model.Instance) { i.StartedAt, i.Revision = 2, 3 })
	test.Eq(t, 0, spent())
	other := model.Rate(8)
	rule.ColdRate = &other
	test.Eq(t, 0, spent())
	update(now, func(i *model.Instance) { i.Address = "10.0.0.9:80" })
	test.Eq(t, 0, spent())
}

// TestColdNear guards against a Balancer with WithNearFirst that takes a cold target for warm
// when it computes the state of the pool: Choose panicked, and the target got a new burst.
func TestColdNear(t *testing.T) {
	now := time.Unix(0, 0)
	rate := model.Rate(4)
	b, _ := newCold(now, &model.Pool{ID: "p", ColdRate: &rate}, model.Instance{HasCold: true, Cold: 9000, Revision: 1, StartedAt: 1}, WithNearFirst("h"))
	sent := 0
	for range 10 {
		sent += send(b, now, 100)
		now = now.Add(poolStateAge)
	}
	test.LessEq(t, 15, sent)
	must.NotNil(t, b.targets["a"].cold.pacer)
}

// TestColdTime guards against targets that stay limited after they are warm, that are not
// limited while they are cold, and against a limit where none is configured.
func TestColdTime(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	rate := model.Rate(0)
	rule := &model.Pool{ID: "p", ColdRate: &rate, WarmUp: 3000}
	b, update := newCold(start, rule, model.Instance{HasCold: true, Cold: 2000, Revision: 1})
	b.AddRemoteRequests(start, "a", 100, 0)
	test.Eq(t, 0, send(b, at(0), 9))
	update(at(1), func(*model.Instance) {}) // another entry of the list was written
	test.Eq(t, 0, send(b, at(1.9), 9))
	test.Eq(t, 9, send(b, at(2.1), 9))
	update(at(3), func(i *model.Instance) { i.Revision, i.Cold = 2, 9000 })
	test.Eq(t, 1, b.ColdCount(at(3)))
	update(at(4), func(i *model.Instance) { i.Revision, i.Cold = 3, 0 })
	test.Eq(t, 9, send(b, at(4), 9))
	rule.ColdRate = nil
	update(at(5), func(i *model.Instance) { i.Revision, i.Cold = 4, 9000 })
	test.Eq(t, 9, send(b, at(5), 9))

	// The warm-up of the pool counts for a start that was observed, if the entry is silent.
	rule.ColdRate = &rate
	b, update = newCold(start, rule, model.Instance{StartedAt: 1, Revision: 1})
	test.Eq(t, 0, b.ColdCount(start))
	update(at(10), func(i *model.Instance) { i.StartedAt, i.Revision = 2, 2 })
	test.Eq(t, 1, b.ColdCount(at(12.9)))
	test.Eq(t, 0, b.ColdCount(at(13)))
	update(at(20), func(i *model.Instance) { i.StartedAt, i.Revision, i.HasCold = 3, 3, true })
	test.Eq(t, 0, b.ColdCount(at(20)))
}

// TestColdAndLimited guards against a cold target whose own limit is exceeded.
func TestColdAndLimited(t *testing.T) {
	now := time.Unix(0, 0)
	rate := model.Rate(50)
	b, _ := newCold(now, &model.Pool{ID: "p", ColdRate: &rate}, model.Instance{HasCold: true, Cold: 60000, Revision: 1})
	b.targets["a"].Announce(now, Announcement{Limited: true, Limit: 2})
	random := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for at := now; at.Before(now.Add(30 * time.Second)); at = at.Add(20 * time.Millisecond) {
		if _, ok := b.Choose(at, Request{Pool: "p"}, random.IntN); ok {
			sent++
		}
	}
	test.Between(t, 30, sent, 66)
}

// TestColdWait guards against a Retry-After of a pool that is not cold, and one that does not
// follow from the remaining cold time and the limit.
func TestColdWait(t *testing.T) {
	now := time.Unix(0, 0)
	rate := model.Rate(4)
	rule := &model.Pool{ID: "p", ColdRate: &rate}
	b, update := newCold(now, rule, model.Instance{HasCold: true, Cold: 9000, Revision: 1})
	b.AddRemotePoolRequests(now, "p", 0)
	now = now.Add(10 * coldDemandTime)
	update(now, func(i *model.Instance) { i.Revision = 2 })
	test.Eq(t, 250*time.Millisecond, b.ColdWait(now, &Request{Pool: "p"}))
	for range 700 {
		now = now.Add(10 * time.Millisecond)
		b.AddRemotePoolRequests(now, "p", 0.12)
	}
	test.Between(t, time.Second, b.ColdWait(now, &Request{Pool: "p"}), 2*time.Second) // the rest of the cold time
	update(now, func(i *model.Instance) { i.Revision = 3 })
	test.Between(t, 2500*time.Millisecond, b.ColdWait(now, &Request{Pool: "p"}), 3500*time.Millisecond)
	update(now, func(i *model.Instance) { i.Revision, i.Cold = 4, 0 })
	test.Eq(t, 0, b.ColdWait(now, &Request{Pool: "p"}))
	rule.ColdRate = nil
	test.Eq(t, 0, b.ColdWait(now, &Request{Pool: "p"}))
}

// TestColdWaitAllowed guards against a refusal that takes a pool for warm, because of targets
// that the request may not use.
func TestColdWaitAllowed(t *testing.T) {
	now := time.Unix(0, 0)
	rate := model.Rate(4)
	b := NewBalancer(Location{Region: "r", Domain: "d"}, WithPools(func(model.PoolID) (*model.Pool, bool) { return &model.Pool{ColdRate: &rate}, true }))
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {
		{Pool: "p", HasCold: true, Cold: 9000, Target: model.Target{ID: "cold", Region: "r", Domain: "d", Slots: 3}},
		{Pool: "p", Target: model.Target{ID: "warm", Region: "s", Domain: "e", Slots: 3}},
	}})
	test.Eq(t, 0, b.ColdWait(now, &Request{Pool: "p"}))
	test.Eq(t, 250*time.Millisecond, b.ColdWait(now, &Request{Pool: "p", Regions: []model.Region{"r"}}))
	b.SetEvacuated(evacuated("e"))
	test.Eq(t, 250*time.Millisecond, b.ColdWait(now, &Request{Pool: "p"}))
}
