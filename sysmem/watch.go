package sysmem

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/budget"
)

const (
	// descriptorTicks is the number of ticks between two counts of all descriptors, which
	// read a directory with an entry for each.
	descriptorTicks = 8
	// shortShare is the part of the connections of callers above which they are reported
	// as short.
	shortShare = 0.75
)

// Watcher updates the clock and the metrics of an account, and logs when memory or
// descriptors become short and when they no longer are. All fields are required.
type Watcher struct {
	Account     *budget.Account
	Scope       tally.Scope
	Log         zerolog.Logger
	Callers     func() int // open connections of callers
	Targets     func() int // open connections to targets
	CallerLimit int
}

// Run runs until ctx ends and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	t := time.NewTicker(budget.TickInterval)
	defer t.Stop()
	m := newMetrics(w.Scope)
	var previous budget.Status
	wereShort := false
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		w.Account.Tick(time.Now())
		status := w.Account.Status()
		m.update(&previous, &status)
		if status.Short != previous.Short {
			event := w.Log.Info().Bool("short", status.Short).Int64("held", status.Total).Int64("limit", status.Limit)
			for kind, held := range status.Held {
				event = event.Int64(budget.Kind(kind).String(), held)
			}
			event.Int64("evicted", status.Evicted).Msg("memory for callers")
		}
		previous = status
		if tick%descriptorTicks != 0 {
			continue
		}
		callers, targets := w.Callers(), w.Targets()
		m.updateDescriptors(callers, targets)
		if short := float64(callers) > shortShare*float64(w.CallerLimit); short != wereShort {
			wereShort = short
			w.Log.Info().Bool("short", short).Int("callers", callers).Int("limit", w.CallerLimit).Int("targets", targets).Msg("descriptors for callers")
		}
	}
}

// metrics are the metrics of the account and of the descriptors.
type metrics struct {
	held     []tally.Gauge   // by kind
	refusals []tally.Counter // by reason
	evicted  tally.Counter
	open     map[string]tally.Gauge // descriptors, by kind
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("memory")
	m := &metrics{evicted: s.Counter("evicted"), open: make(map[string]tally.Gauge)}
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

func (m *metrics) updateDescriptors(callers, targets int) {
	m.open["callers"].Update(float64(callers))
	m.open["targets"].Update(float64(targets))
	m.open["other"].Update(float64(max(0, OpenDescriptors()-callers-targets)))
}

func (m *metrics) update(previous, now *budget.Status) {
	for kind, held := range now.Held {
		m.held[kind].Update(float64(held))
	}
	for reason, count := range now.Refusals {
		m.refusals[reason].Inc(count - previous.Refusals[reason])
	}
	m.evicted.Inc(now.Evicted - previous.Evicted)
}
