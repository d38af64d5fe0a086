package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/claim"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kern"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/store"
)

// sweepInterval is the time between two batches of deletions.
const sweepInterval = time.Second

// leastFleet is the number of daemons that share the budget of claim writes
// while the host list shows fewer, which it may because it lags.
const leastFleet = 40

// sweepShard is the shard whose owner deletes old claims.
const sweepShard model.Shard = 0

// claims adapts package claim to the gate and deletes old claims.
type claims struct {
	keeper    *claim.Keeper
	leases    *lease.Keeper
	directory *peers.Directory
	log       zerolog.Logger
}

// claimed is one claim of this daemon.
type claimed struct {
	keeper *claim.Keeper
	ticket claim.Ticket
}

// Begin claims a request before it is sent.
func (c *claims) Begin(ctx context.Context, id model.CustomerID, key string, fingerprint model.Digest) (gate.Claim, error) {
	t, err := c.keeper.Begin(ctx, id, key, fingerprint)
	if err != nil {
		return nil, err
	}
	return &claimed{keeper: c.keeper, ticket: t}, nil
}

// Done records the answer's status.
func (c *claimed) Done(ctx context.Context, status int) error {
	return c.keeper.Finish(ctx, c.ticket, claim.Result{State: claim.StateDone, Status: status})
}

// Release deletes the claim of a request that was not run.
func (c *claimed) Release(ctx context.Context) error {
	return c.keeper.Finish(ctx, c.ticket, claim.Result{State: claim.StateReleased})
}

// Abandon leaves the claim open, since the request may have run.
func (c *claimed) Abandon(ctx context.Context) error {
	return c.keeper.Finish(ctx, c.ticket, claim.Result{State: claim.StateOpen})
}

// Run deletes claims past their retention while this daemon owns the shard for it.
func (c *claims) Run(ctx context.Context) error {
	return kern.Every(ctx, sweepInterval, c.sweep)
}

func (c *claims) sweep(ctx context.Context) {
	c.keeper.SetDaemons(max(leastFleet, len(c.directory.Hosts())))
	if !c.leases.Holds(sweepShard) {
		return
	}
	if n, err := c.keeper.Sweep(ctx); err != nil {
		c.log.Debug().Err(err).Int("deleted", n).Msg("old claims not deleted")
	}
}

func (d *Daemon) buildClaims() error {
	platform, err := kern.Find[store.Store](d.kernel, nameStore)
	if err != nil {
		return err
	}
	leases, err := kern.Find[*lease.Keeper](d.kernel, nameLease)
	if err != nil {
		return err
	}
	return kern.Provide(d.kernel, nameClaims, &claims{
		keeper: claim.New(platform, claim.WithDaemons(leastFleet)), leases: leases,
		directory: d.state.directory, log: d.log,
	})
}
