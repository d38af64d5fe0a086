package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/sysmem"
)

const (
	// descriptorTicks is the number of ticks between two counts of all descriptors, which
	// read a directory with an entry for each.
	descriptorTicks = 8
	// shortShare is the part of the connections of callers above which they are reported
	// as short.
	shortShare = 0.75
)

// buildAccount creates the account for memory and divides the descriptors.
func (e *Entry) buildAccount() {
	s := e.settings
	e.machine = sysmem.System(sysmem.Machine{Memory: s.Memory, Descriptors: s.Descriptors})
	limits := budget.ForMemory(e.machine.Memory)
	if s.HeldBytes > 0 {
		limits.Total = s.HeldBytes
	}
	e.account = budget.New(limits)
	e.callerConnections, e.targetConnections = budget.Connections(e.machine.Descriptors, limits)
	if s.CallerConnections > 0 {
		e.callerConnections = s.CallerConnections
	}
}

// watchAccount updates the account's clock and metrics, and logs when memory becomes short
// or is no longer short. It returns nil when ctx ends.
func (e *Entry) watchAccount(ctx context.Context) error {
	t := time.NewTicker(budget.TickInterval)
	defer t.Stop()
	m := newAccountMetrics(e.meter.Scope())
	var previous budget.Status
	wereShort := false
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		e.account.Tick(time.Now())
		status := e.account.Status()
		m.update(&previous, &status)
		if tick%descriptorTicks == 0 {
			callers, targets := e.callerServer.Open(), e.exchange.Open()
			m.updateDescriptors(callers, targets)
			if short := float64(callers) > shortShare*float64(e.callerConnections); short != wereShort {
				wereShort = short
				e.log.Info().Bool("short", short).Int("callers", callers).Int("limit", e.callerConnections).Int("targets", targets).Msg("descriptors for callers")
			}
		}
		if status.Short != previous.Short {
			event := e.log.Info().Bool("short", status.Short).Int64("held", status.Total).Int64("limit", status.Limit)
			for kind, held := range status.Held {
				event = event.Int64(budget.Kind(kind).String(), held)
			}
			event.Int64("evicted", status.Evicted).Msg("memory for callers")
		}
		previous = status
	}
}

// accountMetrics are the metrics of the account and of the connections to targets.
type accountMetrics struct {
	held     []tally.Gauge   // by kind
	refusals []tally.Counter // by reason
	evicted  tally.Counter
	open     map[string]tally.Gauge // descriptors, by kind
}

func newAccountMetrics(s tally.Scope) *accountMetrics {
	s = s.SubScope("memory")
	m := &accountMetrics{evicted: s.Counter("evicted"), open: make(map[string]tally.Gauge)}
	for _, kind := range []string{"callers", "targets", "other"} {
		m.open[kind] = s.Tagged(map[string]string{"kind": kind}).Gauge("descriptors")
	}
	var empty budget.Status
	for kind := range empty.Held {
		m.held = append(m.held, s.Tagged(map[string]string{"kind": budget.Kind(kind).String()}).Gauge("held"))
	}
	for reason := range empty.Refusals {
		m.refusals = append(m.refusals, s.Tagged(map[string]string{"reason": budget.Reason(reason).String()}).Counter("refusals"))
	}
	return m
}

func (m *accountMetrics) updateDescriptors(callers, targets int) {
	m.open["callers"].Update(float64(callers))
	m.open["targets"].Update(float64(targets))
	m.open["other"].Update(float64(max(0, sysmem.OpenDescriptors()-callers-targets)))
}

func (m *accountMetrics) update(previous, now *budget.Status) {
	for kind, held := range now.Held {
		m.held[kind].Update(float64(held))
	}
	for reason, count := range now.Refusals {
		m.refusals[reason].Inc(count - previous.Refusals[reason])
	}
	m.evicted.Inc(now.Evicted - previous.Evicted)
}
