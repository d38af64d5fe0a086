package eval

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
	// shedTime is the latency of a response by which a target sheds a request.
	shedTime = time.Millisecond
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 3
	// pollInterval is the mean time between two polls of a request for a target with
	// a free slot. Each interval is drawn at random, so that no two requests poll at
	// the same time.
	pollInterval = 2 * time.Millisecond
	// domainCount is the number of failure domains.
	domainCount = 4
)

// simulation is a pool with all its daemons: each has its own queue and its own
// picker, and targets shed requests that exceed their slots. Unlike simul.Fleet it has
// queues and no faults.
type simulation struct {
	daemons []daemon

	mu       sync.Mutex
	inFlight map[model.TargetID]int // running requests
}

// daemon holds the queue and the picker of one daemon.
type daemon struct {
	*pick.Picker
	queue *queue.Queue
}

// pollingSource has the capacity of a picker but never signals free slots, so that the
// queue finds them by polling.
type pollingSource struct{ *pick.Picker }

// SlotFreed implements queue.Source.
func (pollingSource) SlotFreed(model.PoolID) <-chan struct{} { return nil }

// newSimulation returns a simulation of the pool with the daemons of two regions.
func newSimulation(p Pool) *simulation {
	pool := &model.Pool{ID: "pool", Floor: 0.5}
	region := func(i int) model.Region { return model.Region(fmt.Sprint("r", i%2)) }
	domain := func(i int) model.Domain { return model.Domain(fmt.Sprint("d", i%domainCount)) }
	for i := range p.Targets {
		pool.Targets = append(pool.Targets, model.Target{
			ID: model.TargetID(fmt.Sprint("t", i)), Slots: p.Slots, Connections: 330, Region: region(i), Domain: domain(i),
		})
	}
	var all []pick.Daemon
	for i := range 2 * perRegion {
		all = append(all, pick.Daemon{Host: model.HostID(fmt.Sprint("h", i)), Region: region(i), Domain: domain(i)})
	}
	s := &simulation{inFlight: make(map[model.TargetID]int)}
	for i, self := range all {
		d := daemon{Picker: pick.New(self, pick.WithSource(rand.NewPCG(overloadSeed, 100+uint64(i))))}
		d.Update([]*model.Pool{pool}, all)
		d.queue = queue.New(pool.ID, pollingSource{d.Picker}, queue.WithMaxWaiting(queue.DefaultMaxWaiting, queue.DefaultMaxWaiting))
		s.daemons = append(s.daemons, d)
	}
	return s
}

// serve executes one request as package gate does: it waits in the queue, picks a
// target and retries on others.
func (s *simulation) serve(ctx context.Context, r *request) bool {
	random := rand.New(rand.NewPCG(r.seed, overloadSeed))
	d := s.daemons[random.IntN(len(s.daemons))]
	deadline := time.Now().Add(requestTimeout)
	release, err := d.queue.Acquire(ctx, r.customer, 1, deadline)
	if err != nil {
		return false
	}
	defer release()
	criteria := pick.Request{Pool: "pool", Deadline: deadline, Repeatable: true}
	for len(criteria.TriedTargets) < maxAttempts {
		slot, err := d.Pick(criteria)
		if fault.Is(err, pick.KindBusy) && len(criteria.TriedTargets) == 0 {
			time.Sleep(time.Duration((0.5 + random.Float64()) * float64(pollInterval)))
			continue
		}
		if err != nil {
			return false
		}
		if s.run(slot, r.work) {
			return true
		}
		criteria.TriedTargets = append(criteria.TriedTargets, slot.Target().ID)
	}
	return false
}

// run sends one attempt and reports whether the target executed it.
func (s *simulation) run(slot *pick.Slot, work time.Duration) bool {
	t := slot.Target()
	if !s.acquire(t) {
		time.Sleep(shedTime)
		slot.Done(pick.Shed)
		return false
	}
	time.Sleep(work)
	s.mu.Lock()
	s.inFlight[t.ID]--
	s.mu.Unlock()
	slot.Done(pick.Complete)
	return true
}

// acquire occupies a slot of the target and reports whether one was free.
func (s *simulation) acquire(t *model.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[t.ID] >= int(t.Slots) {
		return false
	}
	s.inFlight[t.ID]++
	return true
}

// fleetPolicies returns constructors of the policies by name, each for a whole fleet.
// A queue serves the requests of one customer in the order of their deadlines, and
// all requests have the same timeout. Assigning all to one customer therefore gives
// first in, first out.
func (p Pool) fleetPolicies() map[string]func() executor {
	return map[string]func() executor{
		PolicyOurs: func() executor { return newSimulation(p).serve },
		PolicyFIFO: func() executor {
			s := newSimulation(p)
			return func(ctx context.Context, r *request) bool {
				r.customer = "all"
				return s.serve(ctx, r)
			}
		},
	}
}
