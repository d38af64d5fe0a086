package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/model"
)

// Run acquires and renews leases until ctx ends. It does not release them.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.check(); err != nil {
		return err
	}
	var g, renewals, reads errgroup.Group
	renewals.SetLimit(renewers)
	reads.SetLimit(readers)
	g.Go(func() error {
		every(ctx, tickInterval, func() { k.tick(ctx, &renewals, &reads) })
		return nil
	})
	g.Go(func() error {
		every(ctx, voteInterval, func() { k.vote(ctx) })
		return nil
	})
	return errors.Join(g.Wait(), renewals.Wait(), reads.Wait(), ctx.Err())
}

func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick starts the steps that are due. A step that finds no free worker stays
// due for the next tick.
func (k *Keeper) tick(ctx context.Context, renewals, reads *errgroup.Group) {
	live := slices.Clone(k.members())
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	k.refresh(live, now)
	for _, s := range k.shards {
		if s.busy || now.Before(s.due) {
			continue
		}
		place := slices.Index(s.ranked, k.self)
		switch {
		case s.held && k.shouldRelease(s, now):
			k.start(renewals, s, func() { k.release(ctx, s) })
		case s.held:
			k.start(renewals, s, func() { k.renew(ctx, s) })
		case place < 0 || k.stopping:
			s.known = false
		default:
			k.start(reads, s, func() { k.observe(ctx, s, place) })
		}
	}
}

// start runs a step of a shard. The caller holds the lock.
func (k *Keeper) start(g *errgroup.Group, s *shard, step func()) {
	s.busy = g.TryGo(func() error {
		step()
		k.mu.Lock()
		defer k.mu.Unlock()
		s.busy = false
		return nil
	})
}

// question asks whether the holder of a shard may carry on. Lists are the
// rosters that a taker may find in the lease.
type question struct {
	shard *shard
	lists [][]model.HostID
}

// vote prolongs the leases that are about to lapse by the votes of the cell.
func (k *Keeper) vote(ctx context.Context) {
	asked := k.clock()
	results := make(map[string]bool) // of this round, by roster
	for _, q := range k.lapsing(asked) {
		agreed := true
		for _, members := range q.lists {
			key := fmt.Sprint(members)
			if _, ok := results[key]; !ok {
				results[key] = majority(k.voter.CutOff(ctx, members), members)
			}
			agreed = agreed && results[key]
		}
		if agreed {
			k.carryOn(q, asked.Add(Period))
		}
	}
}

// lapsing returns the held shards whose validity ends within a period.
func (k *Keeper) lapsing(now time.Time) []question {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []question
	for _, s := range k.shards {
		if s.held && s.until.Sub(now) < Period {
			list = append(list, question{s, s.rosters()})
		}
	}
	return list
}

// carryOn prolongs an ownership after a vote, unless the rosters in question
// changed meanwhile.
func (k *Keeper) carryOn(q question, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := q.shard
	if !slices.EqualFunc(q.lists, s.rosters(), slices.Equal) || !s.extend(k.clock(), until) || s.continuing {
		return
	}
	s.continuing = true
	k.log.Warn().Str("shard", s.name).Msg("the lease cannot be renewed; continuing while most of the cell has no platform contact; check the platform")
}
