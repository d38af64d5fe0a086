package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/model"
)

// Set holds one queue per pool.
type Set struct {
	source   Source
	settings settings

	mu    sync.Mutex // serializes Update
	pools atomic.Pointer[map[model.PoolID]*Queue]
}

// NewSet returns a Set without pools. The options apply to each queue.
func NewSet(source Source, options ...Option) *Set {
	s := &Set{source: source, settings: newSettings(options)}
	empty := make(map[model.PoolID]*Queue)
	s.pools.Store(&empty)
	return s
}

// Update replaces the pools. Queues of pools that stay are kept. Those of
// removed pools refuse their waiting requests; running ones are not affected.
func (s *Set) Update(pools []*model.Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.pools.Load()
	next := make(map[model.PoolID]*Queue, len(pools))
	for _, p := range pools {
		q := old[p.ID]
		if q == nil {
			q = newQueue(p.ID, s.source, s.settings)
		}
		next[p.ID] = q
	}
	s.pools.Store(&next)
	for id, q := range old {
		if next[id] == nil {
			q.Close()
		}
	}
}

// Acquire waits for capacity of the pool like Queue.Acquire. The customer is nil
// on open routes, whose requests all count as one customer's. If the pool does
// not exist, the error has the kind fault.KindMissing.
func (s *Set) Acquire(ctx context.Context, pool model.PoolID, c *model.Customer, deadline time.Time) (release func(), err error) {
	q := (*s.pools.Load())[pool]
	if q == nil {
		return nil, errPool
	}
	if c == nil {
		return q.Acquire(ctx, "", 1, deadline)
	}
	return q.Acquire(ctx, c.ID, c.Weight, deadline)
}

// Waiting returns the number of requests that wait for the pool, or 0 if it does
// not exist.
func (s *Set) Waiting(pool model.PoolID) int {
	if q := (*s.pools.Load())[pool]; q != nil {
		return q.Waiting()
	}
	return 0
}
