package daemon

import (
	"rhubarbdrift.example/eject"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/wire"
)

// buildEvidence builds the service evidence, the outlier detector of package eject, and
// the service probes, which sends its health probes. It registers both with the kernel,
// and the detector's handlers for reports and verdict sets with the wire server.
func (d *Daemon) buildEvidence() error {
	picker, err := kernel.Find[*pick.Picker](d.services, namePicker)
	if err != nil {
		return err
	}
	server, err := kernel.Find[*wire.Server](d.services, nameWire)
	if err != nil {
		return err
	}
	exchange, err := kernel.Find[*exch.Client](d.services, nameExchange)
	if err != nil {
		return err
	}
	e := eject.New(eject.Dependencies{
		Self:    report.Reporter{Host: d.settings.Host, Domain: d.settings.Domain},
		Run:     d.incarnation,
		Picker:  picker,
		Cell:    d.state.cell,
		Clients: d.state.peers,
		Log:     d.log,
	})
	e.Register(server)
	d.state.detector = e
	if err := kernel.Provide(d.services, nameEvidence, e); err != nil {
		return err
	}
	return kernel.Provide(d.services, nameProbes, eject.NewProber(e, exchange, d.pool))
}

// pool returns a pool of the configuration in force, and whether it exists.
func (d *Daemon) pool(id model.PoolID) (*model.Pool, bool) {
	s := d.snapshot()
	if s == nil {
		return nil, false
	}
	return s.Pool(id)
}
