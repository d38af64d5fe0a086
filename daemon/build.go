package daemon

import (
	"sync/atomic"

	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kern"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/plan"
	"rhubarbdrift.example/queue"
	"rhubarbdrift.example/store"
)

// The names under which the services are registered.
const (
	nameStore    = "store"
	nameFollow   = "follow"
	nameExchange = "exchange"
	namePicker   = "picker"
	nameQueues   = "queues"
	nameLimits   = "limits"
	nameGate     = "gate"
	nameCallers  = "callers"
	nameAdmin    = "admin"
)

// state is what several services of the daemon share.
type state struct {
	holder   *conf.Holder
	stopping atomic.Bool
}

// build registers all services in the order in which they depend on each other.
func (d *Daemon) build() error {
	d.state.holder = conf.NewHolder()
	steps := []func() error{
		d.buildStore,
		d.buildPicker,
		d.buildQueues,
		d.buildLimits,
		d.buildGate,
		d.buildAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) buildStore() error {
	client := store.NewClient(d.settings.Platform)
	if err := kern.Provide[store.Store](d.kernel, nameStore, client); err != nil {
		return err
	}
	return kern.Provide(d.kernel, nameFollow, &follow{store: client, holder: d.state.holder, log: d.log})
}

func (d *Daemon) buildPicker() error {
	x := exch.New()
	if err := kern.Provide(d.kernel, nameExchange, x); err != nil {
		return err
	}
	p := pick.New(d.self())
	d.state.holder.Subscribe(func(s *conf.Snapshot) { p.Update(poolsOf(s), []pick.Daemon{d.self()}) })
	return kern.Provide(d.kernel, namePicker, p)
}

func (d *Daemon) self() pick.Daemon {
	return pick.Daemon{Host: d.settings.Host, Region: d.settings.Region, Domain: d.settings.Domain}
}

func (d *Daemon) buildGate() error {
	picker, err := kern.Find[*pick.Picker](d.kernel, namePicker)
	if err != nil {
		return err
	}
	exchange, err := kern.Find[*exch.Client](d.kernel, nameExchange)
	if err != nil {
		return err
	}
	limits, err := kern.Find[*limits](d.kernel, nameLimits)
	if err != nil {
		return err
	}
	queues, err := kern.Find[*queue.Set](d.kernel, nameQueues)
	if err != nil {
		return err
	}
	g := gate.New(gate.Parts{
		Snapshot: d.snapshot,
		Fresh:    d.fresh,
		Limiter:  limits,
		Claims:   noClaims{},
		Queues:   queues,
		Picker:   picker,
		Exchange: exchange,
		Observe:  func(gate.Sample) {},
	}, gate.WithLog(d.log), gate.WithMeter(d.meter.Scope()), gate.WithConnections(d.settings.Connections))
	if err := kern.Provide(d.kernel, nameGate, g); err != nil {
		return err
	}
	return kern.Provide(d.kernel, nameCallers, &listener{
		name: nameCallers, address: d.settings.Listen.Callers, server: g.Server(), log: d.log, wait: g.Wait,
	})
}

func (d *Daemon) buildAdmin() error {
	platform, err := kern.Find[store.Store](d.kernel, nameStore)
	if err != nil {
		return err
	}
	a := admin.New(plan.New(platform), d,
		admin.WithOperators(d.settings.Operators),
		admin.WithMetrics(d.meter.Handler()),
		admin.WithLog(d.log))
	return kern.Provide(d.kernel, nameAdmin, &listener{
		name: nameAdmin, address: d.settings.Listen.Admin, server: a.Server(), log: d.log,
	})
}
