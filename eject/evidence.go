// Package eject runs a daemon's part in the ejection of bad targets: it sends
// what the daemon learns about targets to the judges of their pools, judges the
// pools that it was chosen for, probes their ejected targets, and applies the
// verdicts to the choice of targets.
//
// # Usage
//
//	e := eject.New(eject.Parts{Self: reporter, Run: incarnation, Picker: picker, ...})
//	e.Register(server)
//	go e.Run(ctx)
//	go eject.NewProbes(e, exchange, pools).Run(ctx)
//	e.Observe(sample) // after each exchange with a target
package eject

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/gate"
	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/peers"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/wire"
)

const (
	methodReport  = "judge.report"
	methodVerdict = "judge.verdict"
	// reportInterval is the time between two reports and between two verdict sets.
	reportInterval = time.Second
	// urgentInterval bounds the reports that do not wait for the interval.
	urgentInterval = 200 * time.Millisecond
	// sendTimeout bounds the transfer of a report or a verdict set.
	sendTimeout = 500 * time.Millisecond
	// signInterval is the time between two verdict sets that say the same. The
	// sets are the sign that the judge is live; they expire after 10 s.
	signInterval = 3 * time.Second
	// judgeIdle is how long a judge without reports goes on publishing.
	judgeIdle = 10 * time.Second
)

// Evidence sends what this daemon learns about targets to the judges of their
// pools, judges the pools that this daemon was chosen for, and applies verdicts.
type Evidence struct {
	self      model.HostID
	collector *report.Collector
	judge     *judge.Judge
	picker    *pick.Picker
	cell      *peers.Cell
	pool      *wire.Pool
	log       zerolog.Logger

	mu     sync.Mutex
	judged map[model.PoolID]time.Time // last report of the pools judged here
	sets   map[model.PoolID]*model.VerdictSet
	sent   map[model.PoolID]sign
}

// sign is the last verdict set that was sent to the cell.
type sign struct {
	at   time.Time
	list []model.Verdict
}

// ack is the answer to a report or a verdict set.
type ack struct{}

// Parts are what Evidence works with.
type Parts struct {
	Self   report.Reporter
	Run    model.Incarnation
	Picker *pick.Picker
	Cell   *peers.Cell
	Pool   *wire.Pool
	Log    zerolog.Logger
}

// New returns evidence that does not run yet.
func New(p Parts) *Evidence {
	return &Evidence{
		self:      p.Self.Host,
		collector: report.NewCollector(p.Self, p.Run),
		judge:     judge.New(p.Self.Host, p.Run),
		picker:    p.Picker,
		cell:      p.Cell,
		pool:      p.Pool,
		log:       p.Log,
		judged:    make(map[model.PoolID]time.Time),
		sets:      make(map[model.PoolID]*model.VerdictSet),
		sent:      make(map[model.PoolID]sign),
	}
}

// Register makes the server take reports and verdict sets of other daemons.
func (e *Evidence) Register(s *wire.Server) {
	wire.Handle(s, methodReport, func(_ context.Context, r *report.Report) (*ack, error) {
		// The verdicts are published after the call has ended.
		e.handle(context.Background(), r)
		return new(ack), nil
	})
	wire.Handle(s, methodVerdict, func(_ context.Context, set *model.VerdictSet) (*ack, error) {
		e.apply(set)
		return new(ack), nil
	})
}

// Observe counts one exchange.
func (e *Evidence) Observe(s gate.Sample) {
	if s.Outcome.Canceled {
		return // it says nothing about the target
	}
	e.collector.Record(report.Sample{
		Pool: s.Pool, Target: s.Target, Customer: s.Customer, Route: s.Route,
		Kind: kindOf(&s.Outcome), Latency: s.Outcome.Wait,
	})
}

// serverError is the lowest status that counts as a failure of the target.
const serverError = 500

func kindOf(o *exch.Outcome) report.Kind {
	switch {
	case o.Draining:
		return report.Draining
	case o.Class == exch.Shed:
		return report.Shed
	case o.Class == exch.Silent:
		return report.Silent
	case o.Class == exch.Broken:
		return report.Broken
	case o.Class != exch.Whole || o.Status >= serverError:
		return report.Failed
	default:
		return report.Whole
	}
}

// Run sends reports and publishes verdicts until ctx ends.
func (e *Evidence) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var urgent time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.send(ctx, e.collector.Flush())
			e.publish(ctx)
		case <-e.collector.Wake():
			if time.Since(urgent) >= urgentInterval {
				urgent = time.Now()
				e.send(ctx, e.collector.Urgent())
			}
		}
	}
}

// send passes reports on to the judges of their pools. A report that does not
// arrive is lost: newer ones follow.
func (e *Evidence) send(ctx context.Context, list []report.Report) {
	live := e.cell.Live()
	for i := range list {
		r := &list[i]
		host := judge.Chosen(r.Pool, live)
		if host == e.self {
			e.handle(ctx, r)
			continue
		}
		address, ok := e.cell.Address(host)
		if !ok {
			continue
		}
		go e.post(ctx, address, methodReport, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[report.Report, ack](ctx, c, methodReport, r)
			return err
		})
	}
}

func (e *Evidence) post(ctx context.Context, address, method string, call func(context.Context, *wire.Client) error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := call(ctx, e.pool.Client(address)); err != nil {
		e.log.Debug().Err(err).Str("address", address).Str("method", method).Msg("message lost")
	}
}

// handle judges a report and publishes verdicts that changed at once.
func (e *Evidence) handle(ctx context.Context, r *report.Report) {
	e.begin(r.Pool)
	if e.judge.Handle(r) {
		e.publishPool(ctx, r.Pool)
	}
}

// begin notes that this daemon judges the pool. It starts from the verdicts
// of the judge before, whose loss must not return all ejected targets at once.
func (e *Evidence) begin(id model.PoolID) {
	e.mu.Lock()
	_, known := e.judged[id]
	e.judged[id] = time.Now()
	old := e.sets[id]
	e.mu.Unlock()
	if !known && old != nil && old.Judge != e.self {
		e.judge.Adopt(old)
	}
}

// publish sends the verdicts of all pools judged here, also as a sign that
// the judge is live.
func (e *Evidence) publish(ctx context.Context) {
	for _, id := range e.active() {
		e.publishPool(ctx, id)
	}
}

func (e *Evidence) active() []model.PoolID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []model.PoolID
	for id, last := range e.judged {
		if time.Since(last) > judgeIdle {
			delete(e.judged, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

func (e *Evidence) publishPool(ctx context.Context, id model.PoolID) {
	set := e.judge.Verdicts(id)
	e.apply(&set)
	if !e.due(&set) {
		return
	}
	for _, host := range e.cell.Live() {
		address, ok := e.cell.Address(host)
		if host == e.self || !ok {
			continue
		}
		go e.post(ctx, address, methodVerdict, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[model.VerdictSet, ack](ctx, c, methodVerdict, &set)
			return err
		})
	}
}

// due reports whether a verdict set is sent: when it says something new, and
// from time to time as a sign of life.
func (e *Evidence) due(set *model.VerdictSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.sent[set.Pool]
	if time.Since(last.at) < signInterval && slices.Equal(set.List, last.list) {
		return false
	}
	e.sent[set.Pool] = sign{at: time.Now(), list: set.List}
	return true
}

// apply uses a verdict set for the choice of targets.
func (e *Evidence) apply(set *model.VerdictSet) {
	if !e.picker.Apply(set) {
		return
	}
	suspect := false
	for _, v := range set.List {
		suspect = suspect || v.Finding == model.FindSuspect
	}
	e.collector.Hurry(set.Pool, suspect)
	e.mu.Lock()
	old := e.sets[set.Pool]
	e.sets[set.Pool] = set
	e.mu.Unlock()
	e.logChanges(old, set)
}

// logChanges writes one line for each target that is ejected or returns.
func (e *Evidence) logChanges(old, set *model.VerdictSet) {
	before := ejections(old)
	for key, v := range ejections(set) {
		if _, known := before[key]; !known {
			e.log.Warn().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Str("domain", string(v.Domain)).
				Str("finding", string(v.Finding)).Int("answers", v.Answers).Int("bad", v.Bad).Msg("target ejected")
		}
		delete(before, key)
	}
	for _, v := range before {
		e.log.Info().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Msg("target returns")
	}
}

// scope is a target for the daemons of one failure domain, or for all.
type scope struct {
	target model.TargetID
	domain model.Domain
}

func ejections(set *model.VerdictSet) map[scope]model.Verdict {
	list := make(map[scope]model.Verdict)
	if set == nil {
		return list
	}
	for _, v := range set.List {
		if v.Finding != model.FindSuspect {
			list[scope{v.Target, v.Domain}] = v
		}
	}
	return list
}

// Verdict returns the verdict on a target for the status page.
func (e *Evidence) Verdict(pool model.PoolID, id model.TargetID) (model.Verdict, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.sets[pool]
	if set == nil {
		return model.Verdict{}, false
	}
	for _, v := range set.List {
		if v.Target == id {
			return v, true
		}
	}
	return model.Verdict{}, false
}
