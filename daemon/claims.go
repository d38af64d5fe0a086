package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/claim"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/store"
)

// sweepInterval is the time between two batches of deletions of old claims.
const sweepInterval = time.Second

// minFleet is the minimum divisor of the budget of claim writes, which is divided
// among the daemons. The host list lags and may contain fewer daemons than are
// running.
const minFleet = 40

// sweepShard is the shard whose owner deletes old claims.
const sweepShard model.Shard = 0

// claims adapts package claim to the interface of the gate and deletes old claims.
type claims struct {
	keeper    *claim.Keeper
	leases    *lease.Keeper
	directory *peers.Directory
	era       func() store.Era // latest era of the platform's store of which this daemon has heard
	log       zerolog.Logger
}

// activeClaim is a claim that this daemon holds for a request in progress.
type activeClaim struct {
	keeper *claim.Keeper
	record claim.Claim
}

// Begin writes the claim of a request, before the request is sent to a target.
func (c *claims) Begin(ctx context.Context, id model.CustomerID, key string, fingerprint model.Digest) (gate.Claim, error) {
	begun, err := c.keeper.Begin(ctx, id, key, fingerprint)
	if err != nil {
		return nil, err
	}
	return &activeClaim{keeper: c.keeper, record: begun}, nil
}

// Done records that the request ran, with the HTTP status of its answer.
func (c *activeClaim) Done(ctx context.Context, status int) error {
	return c.keeper.Finish(ctx, c.record, claim.Result{State: claim.StateDone, Status: status})
}

// Release deletes the claim of a request that has not run.
func (c *activeClaim) Release(ctx context.Context) error {
	return c.keeper.Finish(ctx, c.record, claim.Result{State: claim.StateReleased})
}

// Abandon leaves the claim open, because the request may have run.
func (c *activeClaim) Abandon(ctx context.Context) error {
	return c.keeper.Finish(ctx, c.record, claim.Result{State: claim.StateOpen})
}

// Run deletes claims past their retention until ctx ends. Only the daemon that
// owns sweepShard deletes.
func (c *claims) Run(ctx context.Context) error {
	return kernel.Every(ctx, sweepInterval, c.sweep)
}

// sweep updates the number of daemons that share the budget of claim writes, writes claims again
// that the platform lost and, if this daemon owns sweepShard, deletes a batch of old claims.
func (c *claims) sweep(ctx context.Context) {
	c.keeper.SetDaemons(max(minFleet, len(c.directory.Hosts())))
	if err := c.keeper.Follow(ctx, c.era()); err != nil {
		c.log.Debug().Err(err).Msg("cannot write the latest claims again")
	}
	if !c.leases.Holds(sweepShard) {
		return
	}
	if n, err := c.keeper.Sweep(ctx); err != nil {
		c.log.Debug().Err(err).Int("deleted", n).Msg("cannot delete old claims")
	}
}

func (d *Daemon) buildClaims() error {
	platform, err := kernel.Find[store.Store](d.services, nameStore)
	if err != nil {
		return err
	}
	leases, err := kernel.Find[*lease.Keeper](d.services, nameLease)
	if err != nil {
		return err
	}
	return kernel.Provide(d.services, nameClaims, &claims{
		keeper: claim.New(platform, claim.WithDaemons(minFleet)), leases: leases,
		directory: d.state.directory, log: d.log,
		era: func() store.Era { return d.state.cell.Member().Roster().Version.Era() },
	})
}
