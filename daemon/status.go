package daemon

import (
	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/model"
)

// fresh reports whether keyed routes may be served.
func (d *Daemon) fresh() bool { return d.snapshot() != nil }

// Status returns what the daemon knows about itself and its fleet.
func (d *Daemon) Status() admin.Status {
	s := admin.Status{
		Host:   d.settings.Host,
		Region: d.settings.Region,
		Domain: d.settings.Domain,
		Cell:   d.settings.Cell,
		Fresh:  d.fresh(),
		Ready:  d.fresh() && !d.state.stopping.Load(),
	}
	if c := d.snapshot(); c != nil {
		s.Version = c.Version()
	}
	return s
}

// Intent returns the configuration in force.
func (d *Daemon) Intent() *model.Intent {
	if s := d.snapshot(); s != nil {
		return s.Intent()
	}
	return new(model.Intent)
}
