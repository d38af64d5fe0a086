package gauge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/queue"
)

const (
	// shedTime is the time of a target's answer that it has no free slot.
	shedTime = time.Millisecond
	// attempts bounds the attempts of a request.
	attempts = 3
	// pauseTime is the mean time between two looks for a target with a free
	// slot. It is random, so that no two requests look at the same time.
	pauseTime = 2 * time.Millisecond
	// domainCount is the number of failure domains.
	domainCount = 4
)

// site is a pool with all its daemons: each has its own queue and its own
// picker, and targets shed what exceeds their slots.
type site struct {
	daemons []daemon

	mu     sync.Mutex
	flight map[model.TargetID]int
}

// daemon is the queue and the target choice of one daemon.
type daemon struct {
	*pick.Picker
	queue *queue.Queue
}

// quietSource announces no free slots; the queue looks for them periodically.
type quietSource struct{ *pick.Picker }

// Free implements queue.Source.
func (quietSource) Free(model.PoolID) <-chan struct{} { return nil }

func newSite(p Pool) *site {
	conf := &model.Pool{ID: "pool", Floor: 0.5}
	region := func(i int) model.Region { return model.Region(fmt.Sprint("r", i%2)) }
	domain := func(i int) model.Domain { return model.Domain(fmt.Sprint("d", i%domainCount)) }
	for i := range p.Targets {
		conf.Targets = append(conf.Targets, model.Target{
			ID: model.TargetID(fmt.Sprint("t", i)), Slots: p.Slots, Connections: 330, Region: region(i), Domain: domain(i),
		})
	}
	var all []pick.Daemon
	for i := range 2 * perRegion {
		all = append(all, pick.Daemon{Host: model.HostID(fmt.Sprint("h", i)), Region: region(i), Domain: domain(i)})
	}
	s := &site{flight: make(map[model.TargetID]int)}
	for i, self := range all {
		d := daemon{Picker: pick.New(self, pick.WithSource(rand.NewPCG(crowdSeed, 100+uint64(i))))}
		d.Update([]*model.Pool{conf}, all)
		d.queue = queue.New(conf.ID, quietSource{d.Picker}, queue.WithLength(queue.DefaultLength, queue.DefaultLength))
		s.daemons = append(s.daemons, d)
	}
	return s
}

// serve runs one request like package gate: queue, target choice, attempts.
func (s *site) serve(ctx context.Context, r *request) bool {
	random := rand.New(rand.NewPCG(r.seed, crowdSeed))
	d := s.daemons[random.IntN(len(s.daemons))]
	deadline := time.Now().Add(patience)
	release, err := d.queue.Enter(ctx, r.customer, 1, deadline)
	if err != nil {
		return false
	}
	defer release()
	need := pick.Need{Pool: "pool", Deadline: deadline, Repeat: true}
	for len(need.Tried) < attempts {
		h, err := d.Pick(need)
		if fault.Is(err, pick.KindBusy) && len(need.Tried) == 0 {
			time.Sleep(time.Duration((0.5 + random.Float64()) * float64(pauseTime)))
			continue
		}
		if err != nil {
			return false
		}
		if s.run(h, r.work) {
			return true
		}
		need.Tried = append(need.Tried, h.Target().ID)
	}
	return false
}

// run sends one attempt and reports whether the target answered.
func (s *site) run(h *pick.Hold, work time.Duration) bool {
	t := h.Target()
	if !s.begin(t) {
		time.Sleep(shedTime)
		h.Done(pick.Shed)
		return false
	}
	time.Sleep(work)
	s.mu.Lock()
	s.flight[t.ID]--
	s.mu.Unlock()
	h.Done(pick.Whole)
	return true
}

func (s *site) begin(t *model.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flight[t.ID] >= int(t.Slots) {
		return false
	}
	s.flight[t.ID]++
	return true
}

// fleet returns the policies of a whole fleet. Requests of one customer are
// served in the order of their deadlines, and all allow the same time, so that
// a queue that takes all for those of one customer is first in, first out.
func (p Pool) fleet() map[string]func() server {
	return map[string]func() server{
		Ours: func() server { return newSite(p).serve },
		First: func() server {
			s := newSite(p)
			return func(ctx context.Context, r *request) bool {
				r.customer = "all"
				return s.serve(ctx, r)
			}
		},
	}
}
