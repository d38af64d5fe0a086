package origin

import (
	"time"

	"rhubarbdrift.example/model"
)

// failingShare is the smallest total share of failing, stalled and lost requests
// at which a truthful /health reports a failing target.
const failingShare = 0.5

// LoadReport is the response of the load endpoint.
type LoadReport struct {
	Slots    model.Slots `json:"slots"`
	Busy     model.Slots `json:"busy"`
	Draining bool        `json:"draining"`
}

// report is what the health and load endpoints respond.
type report struct {
	at      time.Time
	healthy bool
	load    LoadReport
}

// report returns a new report, or repeats the last one until it is older
// than the Stale of the faults.
func (s *Server) report() report {
	f := s.faults.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale == 0 || time.Since(s.lastReport.at) >= f.Stale.Duration() {
		s.lastReport = s.newReport(f)
	}
	return s.lastReport
}

// newReport returns a report of the actual state, falsified as f.Health and f.Load
// demand.
func (s *Server) newReport(f *Faults) report {
	failing := f.Shed || f.Fail+f.Stall+f.DropResponse >= failingShare
	out := report{at: time.Now(), healthy: f.Health == ReportGood || f.Health == ReportActual && !failing,
		load: LoadReport{Slots: s.slots, Busy: min(s.Busy(), s.slots), Draining: f.Drain}}
	switch f.Load {
	case ReportGood:
		out.load.Busy = 0
	case ReportBad:
		out.load.Busy = s.slots
	}
	return out
}
