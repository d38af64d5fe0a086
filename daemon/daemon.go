package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/clock"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/config"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/meter"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/sysmem"
)

// stopTimeout bounds the wait for running requests after the listeners are
// closed. Exchanges without progress time out much earlier, so it only ends a
// stop that waits for a response that never ends.
const stopTimeout = time.Hour

// Daemon runs the services of one entry host.
type Daemon struct {
	settings    *config.Settings
	incarnation model.Incarnation
	clock       model.Clock // of leases, limits and the proofs of the cell
	release     string
	log         zerolog.Logger
	services    *kernel.Kernel
	meter       *meter.Meter
	machine     sysmem.Machine
	account     *budget.Account // for what callers make this process hold
	state       state           // objects that several services share
}

// Option sets an optional property of a Daemon.
type Option func(*Daemon)

// WithLog sets the logger. The default discards all events.
func WithLog(l zerolog.Logger) Option {
	return func(d *Daemon) { d.log = l }
}

// WithRelease sets the program version that is logged at start.
func WithRelease(version string) Option {
	return func(d *Daemon) { d.release = version }
}

// New builds a daemon from settings that were validated. Run opens its listeners.
func New(s *config.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		incarnation: model.Incarnation(uuid.NewString()),
		clock:       clock.New(clock.SinceBoot),
		log:         zerolog.Nop(),
		services:    kernel.New(),
		meter:       meter.New(),
	}
	for _, o := range options {
		o(d)
	}
	d.machine = sysmem.System(sysmem.Machine{Memory: int64(s.MemoryMB) << 20, Descriptors: s.Descriptors})
	d.account = budget.New(budget.ForMemory(d.machine.Memory))
	if err := d.build(); err != nil {
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends, then makes a planned stop. It returns the error of
// the first service that failed or of the planned stop, or nil. The services are
// cancelled after the stop; kernel.Run drops the errors that they return from then on.
func (d *Daemon) Run(ctx context.Context) error {
	sysmem.SetRuntimeLimit(d.machine)
	d.log.Info().Str("release", d.release).Str("region", string(d.settings.Region)).
		Str("domain", string(d.settings.Domain)).Msg("daemon started")
	// The services must outlive ctx, because the planned stop needs them.
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, base := errgroup.WithContext(base)
	g.Go(func() error { return d.services.Run(base) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return d.stop()
		case <-base.Done():
			return nil
		}
	})
	err := g.Wait()
	_ = d.meter.Close()
	d.log.Info().Err(err).Msg("daemon stopped")
	return err
}

// stop makes the planned stop. It makes the readiness check fail (Ready) and every
// further answer close its connection (gate.Gate.Drain), waits for the load balancer,
// and stops the services once all running requests have finished, or after
// stopTimeout.
func (d *Daemon) stop() error {
	d.log.Info().Dur("drain", d.settings.DrainTime()).Msg("planned stop started")
	d.state.stopping.Store(true)
	g, err := kernel.Find[*gate.Gate](d.services, nameGate)
	if err != nil {
		return err
	}
	g.Drain()
	time.Sleep(d.settings.DrainTime())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return d.services.Stop(ctx)
}

// snapshot returns the configuration in force, or nil.
func (d *Daemon) snapshot() *conf.Snapshot { return d.state.holder.Current() }
