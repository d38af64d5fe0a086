package daemon

import (
	"rhubarbdrift.example/admit"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/lease"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/wire"
)

func (d *Daemon) buildLimits() error {
	keeper, err := kernel.Find[*lease.Keeper](d.services, nameLease)
	if err != nil {
		return err
	}
	server, err := kernel.Find[*wire.Server](d.services, nameWire)
	if err != nil {
		return err
	}
	s := d.settings
	l := admit.New(admit.Dependencies{
		Origin:    quota.Origin{Host: s.Host, Incarnation: d.incarnation, Region: s.Region},
		Regions:   s.Regions,
		Shards:    s.Shards,
		Platform:  d.state.store,
		Leases:    keeper,
		Customers: d.customer,
		Directory: d.state.directory,
		Cell:      d.state.cell,
		Pool:      d.state.peers,
		Clock:     d.clock,
	})
	l.Register(server)
	return kernel.Provide(d.services, nameLimits, l)
}

func (d *Daemon) customer(id model.CustomerID) (*model.Customer, bool) {
	snapshot := d.snapshot()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Customer(id)
}
