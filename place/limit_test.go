package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
)

// limitedPool describes a pool of which some targets name limits from limitedFrom on.
type limitedPool struct {
	daemons, targets int
	rate             float64 // requests per second to the pool
	limitedShare     float64 // share of the targets that name limits
	minLimit         float64 // of the limits, which are spread evenly up to maxLimit
	maxLimit         float64
	delay            time.Duration // until a daemon's report reaches the others
	cutShare         float64       // share of the daemons that are cut off from all others from cutFrom on
}

const (
	limitedFrom  = 5 * time.Second
	cutFrom      = 11 * time.Second
	limitedUntil = 20 * time.Second
	// limitGrace is the time after which a limit must be kept.
	limitGrace = 3 * time.Second
	limitWork  = 200 * time.Millisecond
)

// limitUse is what reached one target with a limit.
type limitUse struct {
	limit    float64
	arrivals []time.Duration
	// cutArrivals are the arrivals from daemons that were cut off.
	cutArrivals int
}

// worst returns the largest number of arrivals in 4 s once the limit must be kept.
func (u *limitUse) worst() int {
	first, most := 0, 0
	for i, at := range u.arrivals {
		for u.arrivals[first] <= at-4*time.Second || u.arrivals[first] < limitedFrom+limitGrace {
			if first == i {
				break
			}
			first++
		}
		if at >= limitedFrom+limitGrace {
			most = max(most, i-first+1)
		}
	}
	return most
}

// reportInterval is the time between two messages of a daemon.
const reportInterval = 80 * time.Millisecond

// counts is what daemons report about one target.
type counts struct {
	sent, ended int
	demand      limit.Demand
	limited     bool
	limit       model.Rate
}

func (c *counts) add(o counts) {
	c.sent += o.sent
	c.ended += o.ended
	c.demand.Urgent += o.demand.Urgent
	c.demand.Other += o.demand.Other
	if o.limited {
		c.limited, c.limit = true, o.limit
	}
}

// reports holds what all daemons reported in one interval, and the part of each of them.
type reports struct {
	all map[model.TargetID]*counts
	own map[int]map[model.TargetID]*counts
}

func (r *reports) add(from int, id model.TargetID, c counts) {
	if r.all == nil {
		r.all, r.own = make(map[model.TargetID]*counts), make(map[int]map[model.TargetID]*counts)
	}
	if r.own[from] == nil {
		r.own[from] = make(map[model.TargetID]*counts)
	}
	for _, m := range []map[model.TargetID]*counts{r.all, r.own[from]} {
		if m[id] == nil {
			m[id] = new(counts)
		}
		m[id].add(c)
	}
}

// apply applies the reports of all other daemons.
func (r *reports) apply(now time.Time, to int, b *Balancer) {
	for id, sum := range r.all {
		c := *sum
		if own := r.own[to][id]; own != nil {
			c.add(counts{sent: -own.sent, ended: -own.ended, demand: limit.Demand{Urgent: -own.demand.Urgent, Other: -own.demand.Other}})
		}
		b.AddRemoteRequests(now, id, c.sent, c.ended)
		b.AddRemoteDemand(now, id, c.demand)
		if c.limited {
			b.SetRemoteLimit(now, id, true, c.limit)
		}
	}
}

// simulateLimits returns the use of each target with a limit, and the number of requests
// that were refused from limitedFrom+limitGrace on, the most urgent and the others.
func simulateLimits(seed uint64, l limitedPool) (uses []*limitUse, urgentRefused, otherRefused float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	start, now := time.Unix(0, 0), time.Duration(0)
	var events eventQueue
	at := func(t time.Duration, action func()) { heap.Push(&events, scheduledEvent{at: t, action: action}) }
	limits := make(map[model.TargetID]*limitUse)
	var instances []*model.Instance
	for i := range l.targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		region := model.Region([]string{"north", "south"}[i%2])
		instances = append(instances, &model.Instance{Pool: "p", Target: model.Target{ID: id, Region: region, Domain: model.Domain(region), Slots: 3}})
		if float64(i) < l.limitedShare*float64(l.targets) {
			u := &limitUse{limit: l.minLimit + (l.maxLimit-l.minLimit)*random.Float64()}
			uses = append(uses, u)
			limits[id] = u
		}
	}
	balancers := make([]*Balancer, l.daemons)
	var fleet reports
	isCut := func(daemon int) bool { return now >= cutFrom && float64(daemon) < l.cutShare*float64(l.daemons) }
	report := func(from int, id model.TargetID, c counts) {
		if !isCut(from) {
			fleet.add(from, id, c)
		}
	}
	for t := time.Duration(0); t < limitedUntil; t += reportInterval {
		at(t, func() {
			sent := fleet
			fleet = reports{}
			at(now+l.delay-reportInterval/2, func() {
				for i, b := range balancers {
					if !isCut(i) {
						sent.apply(start.Add(now), i, b)
					}
				}
			})
		})
	}
	for i := range balancers {
		region := model.Region([]string{"north", "south"}[i%2])
		balancers[i] = NewBalancer(Location{Region: region, Domain: model.Domain(region)}, WithDemandReport(func(id model.TargetID, urgent bool) {
			if urgent {
				report(i, id, counts{demand: limit.Demand{Urgent: 1}})
			} else {
				report(i, id, counts{demand: limit.Demand{Other: 1}})
			}
		}))
		balancers[i].Update(start, map[model.PoolID][]*model.Instance{"p": instances})
	}
	at(cutFrom, func() {
		cut := int(l.cutShare * float64(l.daemons))
		for i, b := range balancers {
			share := float64(l.daemons-cut) / float64(l.daemons)
			if i < cut {
				share = 1 / float64(l.daemons)
			}
			b.SetFleetShare(start.Add(now), share)
		}
	})
	requests := [2]float64{}
	refused := [2]float64{}
	request := func() {
		daemon, kind := random.IntN(l.daemons), random.IntN(2)
		b := balancers[daemon]
		t, ok := b.Choose(start.Add(now), Request{Pool: "p", UsualSeconds: limitWork.Seconds(), Bytes: 2000, Repeatable: kind == 0, Urgent: kind == 1}, random.IntN)
		if now >= limitedFrom+limitGrace {
			requests[kind]++
			if !ok {
				refused[kind]++
			}
		}
		if !ok {
			return
		}
		id, sentAt, use := t.ID, start.Add(now), limits[t.ID]
		if use != nil {
			use.arrivals = append(use.arrivals, now)
			if isCut(daemon) {
				use.cutArrivals++
			}
		}
		named := use != nil && now >= limitedFrom
		t.Begin(start.Add(now))
		report(daemon, id, counts{sent: 1})
		at(now+time.Duration(random.ExpFloat64()*float64(limitWork)), func() {
			t.End(start.Add(now))
			ended := counts{ended: 1}
			if named {
				t.Announce(start.Add(now), Announcement{Limited: true, Limit: model.Rate(use.limit), SentAt: sentAt})
				ended.limited, ended.limit = true, model.Rate(use.limit)
			}
			report(daemon, id, ended)
		})
	}
	for t := time.Duration(0); t < limitedUntil; t += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)) {
		at(t, request)
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(scheduledEvent)
		now = e.at
		e.action()
	}
	return uses, refused[1] / requests[1], refused[0] / requests[0]
}

// TestTargetAboveItsLimit guards against a fleet that exceeds or wastes the limits of targets.
func TestTargetAboveItsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limitedPool
		seeds uint64
	}{
		"most of a pool":          {limitedPool{daemons: 40, targets: 28, rate: 170, limitedShare: 0.7, minLimit: 1, maxLimit: 7, delay: 350 * time.Millisecond}, 5},
		"the whole pool":          {limitedPool{daemons: 40, targets: 28, rate: 170, limitedShare: 1, minLimit: 1, maxLimit: 7, delay: 350 * time.Millisecond}, 5},
		"a tenth of a pool":       {limitedPool{daemons: 40, targets: 28, rate: 170, limitedShare: 0.1, minLimit: 0.5, maxLimit: 2, delay: 350 * time.Millisecond}, 5},
		"many hosts, small limit": {limitedPool{daemons: 131, targets: 320, rate: 700, limitedShare: 0.7, minLimit: 0.5, maxLimit: 1.5, delay: 600 * time.Millisecond}, 1},
		"many hosts, whole pool":  {limitedPool{daemons: 131, targets: 320, rate: 700, limitedShare: 1, minLimit: 0.5, maxLimit: 1.5, delay: 600 * time.Millisecond}, 1},
		"a limit of zero":         {limitedPool{daemons: 40, targets: 28, rate: 170, limitedShare: 0.3, delay: 350 * time.Millisecond}, 5},
		"hosts cut off":           {limitedPool{daemons: 40, targets: 28, rate: 170, limitedShare: 0.7, minLimit: 1, maxLimit: 7, delay: 350 * time.Millisecond, cutShare: 0.5}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range c.seeds {
				uses, urgentRefused, otherRefused := simulateLimits(seed, c.limitedPool)
				sum, used, cut := 0.0, 0.0, 0.0
				for _, u := range uses {
					allowed := int(1.5*u.limit*4 + 5)
					test.LessEq(t, allowed, u.worst(), test.Sprintf("seed %d, limit %.2f/s", seed, u.limit))
					for _, at := range u.arrivals {
						if at >= limitedFrom+limitGrace {
							used++
						}
					}
					cut += float64(u.cutArrivals)
					sum += u.limit
				}
				used /= (limitedUntil - limitedFrom - limitGrace).Seconds()
				cut /= (limitedUntil - cutFrom).Seconds()
				t.Logf("seed %d: limits %.0f/s, used %.1f/s; refused %.3f of the urgent, %.3f of the others; by cut hosts %.1f/s", seed, sum, used, urgentRefused, otherRefused, cut)
				if urgentRefused+otherRefused > 0 {
					test.GreaterEq(t, sum/2, used)
				}
				test.LessEq(t, otherRefused+0.01, urgentRefused)
				test.LessEq(t, c.cutShare*sum*1.1, cut)
			}
		})
	}
}
