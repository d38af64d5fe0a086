package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

const (
	// evacuationInterval is how often the progress of evacuations is checked for the log
	// and the metrics.
	evacuationInterval = 50 * time.Millisecond
	// spreadTime is the time in which a change of the list of evacuations reaches all hosts
	// that can be reached, also if the host that reads the store is lost (2 s), and a
	// chosen target has the request.
	spreadTime = 3 * time.Second
	// holdTime is how long a host that was paused for nearly the bound of an evacuation
	// chooses no target: several messages of its neighbours, which hold the newest list.
	// A host that gets none continues with the list that it knows.
	holdTime = 500 * time.Millisecond
)

// holdAfterPause keeps this host from choosing targets by a list of evacuations that may be
// older than the bound, because this host was paused. Requests are refused meanwhile. It
// does nothing if the host only lost contact.
func (e *Entry) holdAfterPause(now time.Time) {
	if age := e.config.ReadAge(); e.evacuations != nil && age > e.settings.EvacuationBound-spreadTime {
		e.log.Warn().Dur("age", age).Dur("hold", holdTime).Msg("this host was paused; no target is chosen until it may know all evacuations")
		e.balancer.HoldRequests(now.Add(holdTime))
	}
}

// followEvacuations logs and measures the progress of evacuations until ctx ends. It returns
// nil.
func (e *Entry) followEvacuations(ctx context.Context) error {
	t := time.NewTicker(evacuationInterval)
	defer t.Stop()
	scope := e.meter.Scope().SubScope("evacuation")
	progress := evacuationProgress{domains: make(map[model.Domain]*domainProgress), bound: e.settings.EvacuationBound}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if e.holder.Current() == nil {
			continue // the age of the lists is not known yet
		}
		state := e.balancer.Evacuation()
		for _, line := range progress.update(time.Now(), state, e.config.ReadAge()) {
			ev := e.log.Info()
			if line.domain != "" {
				ev = ev.Str("domain", string(line.domain)).Int("in_flight", line.inFlight).Dur("since", line.since)
			}
			ev.Msg(line.event)
		}
		for domain := range e.settings.RegionOfDomain {
			tagged := scope.Tagged(map[string]string{"domain": string(domain)})
			tagged.Gauge("in_flight").Update(float64(state.InFlight[domain]))
			evacuated := 0.0
			if state.Domains[domain] {
				evacuated = 1
			}
			tagged.Gauge("evacuated").Update(evacuated)
		}
	}
}

// Events of evacuations in the log.
const (
	eventEvacuated   = "failure domain evacuated"
	eventDrained     = "last request of this host to an evacuated failure domain ended"
	eventReturned    = "failure domain in service again"
	eventListLate    = "list of evacuations may be outdated; the last one stays in force"
	eventListCurrent = "list of evacuations is current again"
)

// evacuationLine is one line of the log. Without a domain it concerns the list.
type evacuationLine struct {
	event    string
	domain   model.Domain
	inFlight int           // requests of this host in flight in the domain
	since    time.Duration // since this host learned of the evacuation
}

// evacuationProgress turns states of the balancer into log lines, one for each change.
type evacuationProgress struct {
	domains map[model.Domain]*domainProgress
	bound   time.Duration
	late    bool // the list is older than the bound
}

// domainProgress is the state of one evacuated domain.
type domainProgress struct {
	since   time.Time
	drained bool
}

// update returns the lines for a state, in the order of the domains. Age is the time since
// this host last knew the state of the store.
func (p *evacuationProgress) update(now time.Time, s place.EvacuationState, age time.Duration) []evacuationLine {
	var lines []evacuationLine
	if late := s.Known && age > p.bound; late != p.late {
		p.late = late
		event := eventListCurrent
		if late {
			event = eventListLate
		}
		lines = append(lines, evacuationLine{event: event})
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Domains)) {
		inFlight, d := s.InFlight[domain], p.domains[domain]
		if d == nil {
			d = &domainProgress{since: now}
			p.domains[domain] = d
			lines = append(lines, evacuationLine{eventEvacuated, domain, inFlight, 0})
		}
		if drained := inFlight == 0; drained != d.drained {
			d.drained = drained
			if drained {
				lines = append(lines, evacuationLine{eventDrained, domain, 0, now.Sub(d.since)})
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(p.domains)) {
		if !s.Domains[domain] {
			lines = append(lines, evacuationLine{eventReturned, domain, s.InFlight[domain], now.Sub(p.domains[domain].since)})
			delete(p.domains, domain)
		}
	}
	return lines
}
