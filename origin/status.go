package origin

import (
	"time"

	"rhubarbdrift.example/model"
)

// failingShare is the smallest total share of failing, stalled and lost requests
// at which a truthful /health reports a failing target.
const failingShare = 0.5

// Load is the response of the load endpoint.
type Load struct {
	Slots    model.Slots `json:"slots"`
	Busy     model.Slots `json:"busy"`
	Draining bool        `json:"draining"`
}

// status is what the health and load endpoints report.
type status struct {
	at      time.Time
	healthy bool
	load    Load
}

// status returns the status to report: the current one, or the last reported one
// until it is older than f.Stale.
func (s *Server) status() status {
	f := s.faults.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale == 0 || time.Since(s.lastStatus.at) >= f.Stale.Duration() {
		s.lastStatus = s.currentStatus(f)
	}
	return s.lastStatus
}

// currentStatus returns the actual status, changed by f.Health and f.Load.
func (s *Server) currentStatus(f *Faults) status {
	failing := f.Shed || f.Fail+f.Stall+f.DropResponse >= failingShare
	out := status{at: time.Now(), healthy: f.Health == ReportGood || f.Health == ReportActual && !failing,
		load: Load{Slots: s.slots, Busy: min(s.Busy(), s.slots), Draining: f.Drain}}
	switch f.Load {
	case ReportGood:
		out.load.Busy = 0
	case ReportBad:
		out.load.Busy = s.slots
	}
	return out
}
