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

// Run acquires and renews leases until ctx ends. It does not release them; see
// Release. It returns an error if a required option is missing, otherwise that
// of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.checkOptions(); err != nil {
		return err
	}
	var g, renewals, reads errgroup.Group
	renewals.SetLimit(maxConcurrentRenewals)
	reads.SetLimit(maxConcurrentReads)
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

// every calls f now and then at each interval until ctx ends.
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

// tick starts the steps that are due. A step for which no worker is free is
// started by a later tick.
func (k *Keeper) tick(ctx context.Context, renewals, reads *errgroup.Group) {
	live := slices.Clone(k.listLive())
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	k.updateLive(live, now)
	for _, s := range k.shards {
		if s.busy || now.Before(s.due) {
			continue
		}
		position := slices.Index(s.ranked, k.self)
		switch {
		case s.held && k.shouldRelease(s, now):
			k.start(renewals, s, func() { k.release(ctx, s) })
		case s.held:
			k.start(renewals, s, func() { k.renew(ctx, s) })
		case position < 0 || k.stopping:
			s.observed = false
		default:
			k.start(reads, s, func() { k.observe(ctx, s, position) })
		}
	}
}

// start runs a step of a shard in g if a worker is free. The caller holds the
// lock.
func (k *Keeper) start(g *errgroup.Group, s *shard, step func()) {
	s.busy = g.TryGo(func() error {
		step()
		k.mu.Lock()
		defer k.mu.Unlock()
		s.busy = false
		return nil
	})
}

// extensionVote is a vote on whether the holder of a shard may continue without
// renewals. It needs a quorum of each roster that another daemon may find in
// the lease.
type extensionVote struct {
	shard   *shard
	rosters [][]model.HostID
}

// vote extends the leases that are about to expire if the cell's members vote
// for it. The extension counts from before the vote.
func (k *Keeper) vote(ctx context.Context) {
	requestedAt := k.clock()
	results := make(map[string]bool) // of this call, by roster
	for _, v := range k.expiring(requestedAt) {
		agreed := true
		for _, members := range v.rosters {
			roster := fmt.Sprint(members)
			if _, ok := results[roster]; !ok {
				results[roster] = k.voter.CountDisconnected(ctx, members) >= model.OutageQuorum(len(members))
			}
			agreed = agreed && results[roster]
		}
		if agreed {
			k.extendByVote(v, requestedAt.Add(VotePeriod))
		}
	}
}

// expiring returns a vote for each held shard whose lease expires within VotePeriod.
func (k *Keeper) expiring(now time.Time) []extensionVote {
	k.mu.Lock()
	defer k.mu.Unlock()
	var votes []extensionVote
	for _, s := range k.shards {
		if s.held && s.validUntil.Sub(now) < VotePeriod {
			votes = append(votes, extensionVote{s, s.possibleRosters()})
		}
	}
	return votes
}

// extendByVote extends an ownership after a successful vote, unless the rosters
// that had to vote changed meanwhile. It logs only the first extension since the
// last renewal.
func (k *Keeper) extendByVote(v extensionVote, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := v.shard
	if !slices.EqualFunc(v.rosters, s.possibleRosters(), slices.Equal) || !s.extend(k.clock(), until) || s.extendedByVote {
		return
	}
	s.extendedByVote = true
	k.log.Warn().Str("shard", s.name).Msg("lease cannot be renewed and is kept while two thirds of the cell cannot reach the platform; check the platform")
}
