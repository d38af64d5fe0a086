package daemon

import (
	"sync/atomic"

	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/admit"
	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/eject"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/plan"
	"rhubarbdrift.example/queue"
	"rhubarbdrift.example/serve"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/sysmem"
	"rhubarbdrift.example/wire"
)

// The names under which services are registered in the kernel.
const (
	nameStore    = "store"
	nameHosts    = "hosts"
	nameWire     = "wire"
	namePeers    = "peers"
	nameCell     = "cell"
	nameFeed     = "feed"
	nameLease    = "lease"
	nameHandover = "handover"
	nameClaims   = "claims"
	nameEvidence = "evidence"
	nameProbes   = "probes"
	nameExchange = "exchange"
	namePicker   = "picker"
	nameQueues   = "queues"
	nameLimits   = "limits"
	nameGate     = "gate"
	nameCallers  = "callers"
	nameAdmin    = "admin"
	nameGauges   = "gauges"
	nameMemory   = "memory"
)

// maxConnections is the largest number of connections to one target. It must not be
// smaller than the number of requests in flight that the picker allows, which is at
// most the target's slots: requests without a connection would be refused.
const maxConnections = 256

// state contains the objects that several services of the daemon share.
type state struct {
	store     store.Store
	holder    *conf.Holder
	directory *peers.Directory
	peers     *wire.ClientPool // connections to the other daemons
	counters  *wire.Counters
	cell      *peers.Cell
	detector  *eject.Detector
	stopping  atomic.Bool
}

// build creates and registers all services, each after those that it depends on.
func (d *Daemon) build() error {
	d.state.holder = conf.NewHolder()
	steps := []func() error{
		d.buildStore,
		d.buildWire,
		d.buildCell,
		d.buildLease,
		d.buildPicker,
		d.buildEvidence,
		d.buildQueues,
		d.buildLimits,
		d.buildClaims,
		d.buildGate,
		d.buildAdmin,
		d.buildGauges,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) buildStore() error {
	client := store.NewClient(d.settings.Platform, store.WithMaxAnswer(budget.StoreAnswer(d.machine.Memory)),
		store.WithEraObserver(func(before, after store.Era) {
			d.log.Warn().Uint32("era", uint32(after)).Uint32("before", uint32(before)).Msg("store came back from an older copy")
		}))
	if err := kernel.Provide[store.Store](d.services, nameStore, client); err != nil {
		return err
	}
	d.state.store = client
	d.state.directory = peers.NewDirectory(client, d.log)
	return kernel.Provide(d.services, nameHosts, d.state.directory)
}

func (d *Daemon) buildWire() error {
	d.state.counters = wire.NewCounters()
	d.state.peers = wire.NewPool(wire.WithCounters(d.state.counters))
	server := wire.NewServer(wire.WithCounters(d.state.counters), wire.WithLog(d.log))
	if err := kernel.Provide(d.services, nameWire, server); err != nil {
		return err
	}
	return kernel.Provide(d.services, namePeers, &serve.GRPC{Address: d.settings.Listen.Peers, Server: server, Log: d.log})
}

func (d *Daemon) buildPicker() error {
	_, targets := budget.Connections(d.machine.Descriptors, budget.ForMemory(d.machine.Memory))
	exchange := exch.New(exch.WithMaxConnections(maxConnections), exch.WithMaxOpen(targets))
	if err := kernel.Provide(d.services, nameExchange, exchange); err != nil {
		return err
	}
	p := pick.New(d.self())
	update := func() {
		if c := d.snapshot(); c != nil {
			p.Update(c.Pools(), d.fleet())
		}
	}
	d.state.holder.Subscribe(func(*conf.Snapshot) { update() })
	d.state.directory.OnChange(update)
	return kernel.Provide(d.services, namePicker, p)
}

// fleet returns the daemons that the targets' slots are divided among: this one
// and all others that are not leaving.
func (d *Daemon) fleet() []pick.Daemon {
	list := []pick.Daemon{d.self()}
	for _, h := range d.state.directory.Hosts() {
		if h.ID != d.settings.Host && !h.Leaving {
			list = append(list, pick.Daemon{Host: h.ID, Region: h.Region, Domain: h.Domain})
		}
	}
	return list
}

func (d *Daemon) self() pick.Daemon {
	return pick.Daemon{Host: d.settings.Host, Region: d.settings.Region, Domain: d.settings.Domain}
}

func (d *Daemon) buildGate() error {
	picker, err := kernel.Find[*pick.Picker](d.services, namePicker)
	if err != nil {
		return err
	}
	exchange, err := kernel.Find[*exch.Client](d.services, nameExchange)
	if err != nil {
		return err
	}
	limits, err := kernel.Find[*admit.Limits](d.services, nameLimits)
	if err != nil {
		return err
	}
	claims, err := kernel.Find[*claims](d.services, nameClaims)
	if err != nil {
		return err
	}
	queues, err := kernel.Find[*queue.Set](d.services, nameQueues)
	if err != nil {
		return err
	}
	callers, _ := budget.Connections(d.machine.Descriptors, budget.ForMemory(d.machine.Memory))
	callers = min(callers, d.settings.Connections)
	g := gate.New(gate.Dependencies{
		Snapshot:    d.snapshot,
		ConfigFresh: d.fresh,
		Limiter:     limits,
		Claims:      claims,
		Queues:      queues,
		Picker:      picker,
		Exchanger:   exchange,
		Observe:     d.state.detector.Observe,
	}, gate.WithLog(d.log), gate.WithMeter(d.meter.Scope()), gate.WithAccount(d.account, callers))
	if err := kernel.Provide(d.services, nameGate, g); err != nil {
		return err
	}
	err = kernel.Provide(d.services, nameMemory, &sysmem.Watcher{
		Account: d.account, Scope: d.meter.Scope(), Log: d.log, Callers: g.Connections, Targets: exchange.Open, CallerLimit: callers,
	})
	if err != nil {
		return err
	}
	return kernel.Provide(d.services, nameCallers, &serve.FastHTTP{
		Name: nameCallers, Address: d.settings.Listen.Callers, Server: g.Server(), Log: d.log, Wait: g.Wait, Wrap: g.Listener,
	})
}

func (d *Daemon) buildAdmin() error {
	platform, err := kernel.Find[store.Store](d.services, nameStore)
	if err != nil {
		return err
	}
	a := admin.New(plan.New(platform, plan.WithInForce(d.snapshot)), d,
		admin.WithOperators(d.settings.Operators),
		admin.WithMetrics(d.meter.FastHTTPHandler()),
		admin.WithLog(d.log))
	return kernel.Provide(d.services, nameAdmin, &serve.FastHTTP{
		Name: nameAdmin, Address: d.settings.Listen.Admin, Server: a.Server(), Log: d.log,
	})
}
