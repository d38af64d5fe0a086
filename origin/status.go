package origin

import (
	"time"

	"rhubarbdrift.example/model"
)

// failingShare is the share of failing requests from which /health reports a
// failure, unless it lies.
const failingShare = 0.5

// Load is the document of the load endpoint.
type Load struct {
	Slots    model.Slots `json:"slots"`
	Busy     model.Slots `json:"busy"`
	Draining bool        `json:"draining"`
}

// status is what the health and load endpoints claim.
type status struct {
	at      time.Time
	healthy bool
	load    Load
}

// status returns the current claims, or earlier ones while they are stale.
func (s *Server) status() status {
	f := s.faults.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale == 0 || time.Since(s.last.at) >= f.Stale.Duration() {
		s.last = s.claim(f)
	}
	return s.last
}

func (s *Server) claim(f *Faults) status {
	failing := f.Shed || f.Fail+f.Stall+f.Lose >= failingShare
	out := status{at: time.Now(), healthy: f.Health == Good || f.Health == Truth && !failing,
		load: Load{Slots: s.slots, Busy: min(s.Busy(), s.slots), Draining: f.Drain}}
	switch f.Load {
	case Good:
		out.load.Busy = 0
	case Bad:
		out.load.Busy = s.slots
	}
	return out
}
