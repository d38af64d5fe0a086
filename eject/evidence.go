// Package eject runs the outlier detection of one daemon. It reports the outcomes of
// exchanges with targets to the judges of their pools, judges the pools that this daemon
// was chosen for, probes the ejected targets of these pools, and passes verdicts to the
// picker, which chooses targets.
//
// # Usage
//
//	e := eject.New(eject.Dependencies{Self: reporter, Run: incarnation, Picker: picker, ...})
//	e.Register(server)
//	go e.Run(ctx)
//	go eject.NewProber(e, exchange, pools).Run(ctx)
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
	// reportInterval is the time between two regular reports, between two evaluations
	// of the verdicts and between two rounds of probes.
	reportInterval = time.Second
	// urgentInterval is the minimum time between two urgent reports.
	urgentInterval = 200 * time.Millisecond
	// sendTimeout is the timeout for sending a report or a verdict set.
	sendTimeout = 500 * time.Millisecond
	// heartbeatInterval is the time after which an unchanged verdict set is sent again.
	// The sets are the heartbeat of the judge and expire after 10 s.
	heartbeatInterval = 3 * time.Second
	// judgeIdleTime is how long a judge publishes verdicts after the last report.
	judgeIdleTime = 10 * time.Second
)

// Detector reports the outcomes of exchanges to the judges of the pools, judges the pools
// that this daemon was chosen for, and applies verdicts. It is safe for concurrent use.
type Detector struct {
	self      model.HostID
	collector *report.Collector
	judge     *judge.Judge
	picker    *pick.Picker
	cell      *peers.Cell
	pool      *wire.Pool
	log       zerolog.Logger

	mu          sync.Mutex
	lastReports map[model.PoolID]time.Time         // time of the last report on each pool judged here
	current     map[model.PoolID]*model.VerdictSet // the applied verdicts
	sent        map[model.PoolID]sentSet
}

// sentSet is the last verdict set of a pool that was sent to the cell.
type sentSet struct {
	at   time.Time
	list []model.Verdict
}

// ack is the answer to a report or a verdict set.
type ack struct{}

// Dependencies holds the dependencies of a Detector.
type Dependencies struct {
	Self   report.Reporter
	Run    model.Incarnation
	Picker *pick.Picker
	Cell   *peers.Cell
	Pool   *wire.Pool
	Log    zerolog.Logger
}

// New returns a Detector. Run starts it.
func New(p Dependencies) *Detector {
	return &Detector{
		self:        p.Self.Host,
		collector:   report.NewCollector(p.Self, p.Run),
		judge:       judge.New(p.Self.Host, p.Run),
		picker:      p.Picker,
		cell:        p.Cell,
		pool:        p.Pool,
		log:         p.Log,
		lastReports: make(map[model.PoolID]time.Time),
		current:     make(map[model.PoolID]*model.VerdictSet),
		sent:        make(map[model.PoolID]sentSet),
	}
}

// Register registers the handlers for reports and verdict sets from other daemons.
func (e *Detector) Register(s *wire.Server) {
	wire.Handle(s, methodReport, func(_ context.Context, r *report.Report) (*ack, error) {
		// Publishing continues after the call, so it does not use the call's context.
		e.handle(context.Background(), r)
		return new(ack), nil
	})
	wire.Handle(s, methodVerdict, func(_ context.Context, set *model.VerdictSet) (*ack, error) {
		e.apply(set)
		return new(ack), nil
	})
}

// Observe counts one exchange with a target. Cancelled exchanges are ignored.
func (e *Detector) Observe(s gate.ExchangeResult) {
	if s.Outcome.Canceled {
		return // no evidence on the target
	}
	e.collector.Record(report.Sample{
		Pool: s.Pool, Target: s.Target, Customer: s.Customer, Route: s.Route,
		Kind: kindOf(&s.Outcome), Latency: s.Outcome.HeaderLatency,
	})
}

// minServerError is the lowest HTTP status that counts as a failure of the target.
const minServerError = 500

// kindOf classifies the outcome of an exchange for a report.
func kindOf(o *exch.Outcome) report.Kind {
	switch {
	case o.Draining:
		return report.Draining
	case o.Class == exch.Shed:
		return report.Shed
	case o.Class == exch.NoResponse:
		return report.NoResponse
	case o.Class == exch.Broken:
		return report.Broken
	case o.Class != exch.Complete || o.Status >= minServerError:
		return report.Failed
	default:
		return report.Complete
	}
}

// Run sends reports and publishes verdicts until ctx ends.
func (e *Detector) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var lastUrgent time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.send(ctx, e.collector.Flush())
			e.publish(ctx)
		case <-e.collector.UrgentC():
			if time.Since(lastUrgent) >= urgentInterval {
				lastUrgent = time.Now()
				e.send(ctx, e.collector.FlushUrgent())
			}
		}
	}
}

// send sends reports to the judges of their pools. A report that is not delivered is
// lost, since newer ones follow.
func (e *Detector) send(ctx context.Context, list []report.Report) {
	live := e.cell.Live()
	for i := range list {
		r := &list[i]
		host := judge.SelectJudge(r.Pool, live)
		if host == e.self {
			e.handle(ctx, r)
			continue
		}
		address, ok := e.cell.Address(host)
		if !ok {
			continue
		}
		go e.deliver(ctx, address, methodReport, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[report.Report, ack](ctx, c, methodReport, r)
			return err
		})
	}
}

// deliver makes a call to a peer and logs its failure.
func (e *Detector) deliver(ctx context.Context, address, method string, call func(context.Context, *wire.Client) error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := call(ctx, e.pool.Client(address)); err != nil {
		e.log.Debug().Err(err).Str("address", address).Str("method", method).Msg("message to peer lost")
	}
}

// handle passes a report to the judge and publishes changed verdicts immediately.
func (e *Detector) handle(ctx context.Context, r *report.Report) {
	e.startJudging(r.Pool)
	if e.judge.HandleReport(r) {
		e.publishPool(ctx, r.Pool)
	}
}

// startJudging records that this daemon judges the pool. A new judge adopts the verdicts
// of the previous one, so that the loss of that judge does not return all ejected targets
// at once.
func (e *Detector) startJudging(id model.PoolID) {
	e.mu.Lock()
	_, judging := e.lastReports[id]
	e.lastReports[id] = time.Now()
	previous := e.current[id]
	e.mu.Unlock()
	if !judging && previous != nil && previous.Judge != e.self {
		e.judge.Adopt(previous)
	}
}

// publish applies the verdicts of all pools judged here and sends them to the cell, also
// as the heartbeat of the judge.
func (e *Detector) publish(ctx context.Context) {
	for _, id := range e.judgedPools() {
		e.publishPool(ctx, id)
	}
}

// judgedPools returns the pools judged here. It drops those that are idle.
func (e *Detector) judgedPools() []model.PoolID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []model.PoolID
	for id, last := range e.lastReports {
		if time.Since(last) > judgeIdleTime {
			delete(e.lastReports, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

// publishPool applies the verdicts of one pool and sends them to the cell.
func (e *Detector) publishPool(ctx context.Context, id model.PoolID) {
	set := e.judge.Verdicts(id)
	e.apply(&set)
	if !e.shouldSend(&set) {
		return
	}
	for _, host := range e.cell.Live() {
		address, ok := e.cell.Address(host)
		if host == e.self || !ok {
			continue
		}
		go e.deliver(ctx, address, methodVerdict, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[model.VerdictSet, ack](ctx, c, methodVerdict, &set)
			return err
		})
	}
}

// shouldSend reports whether a verdict set must be sent: if it changed, or as a heartbeat.
// It records the set as sent.
func (e *Detector) shouldSend(set *model.VerdictSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.sent[set.Pool]
	if time.Since(last.at) < heartbeatInterval && slices.Equal(set.Verdicts, last.list) {
		return false
	}
	e.sent[set.Pool] = sentSet{at: time.Now(), list: set.Verdicts}
	return true
}

// apply passes a verdict set to the picker and, if the picker uses it, stores it and logs
// the changes.
func (e *Detector) apply(set *model.VerdictSet) {
	if !e.picker.ApplyVerdicts(set) {
		return
	}
	suspect := false
	for _, v := range set.Verdicts {
		suspect = suspect || v.Finding == model.FindingSuspect
	}
	e.collector.SetUrgent(set.Pool, suspect)
	e.mu.Lock()
	old := e.current[set.Pool]
	e.current[set.Pool] = set
	e.mu.Unlock()
	e.logChanges(old, set)
}

// logChanges logs each target that is newly ejected or no longer ejected.
func (e *Detector) logChanges(old, set *model.VerdictSet) {
	returned := ejections(old)
	for key, v := range ejections(set) {
		if _, wasEjected := returned[key]; !wasEjected {
			e.log.Warn().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Str("domain", string(v.Domain)).
				Str("finding", string(v.Finding)).Int("answers", v.Answers).Int("bad", v.Bad).Msg("target ejected")
		}
		delete(returned, key)
	}
	for _, v := range returned {
		e.log.Info().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Msg("target returns")
	}
}

// scope is a target as seen by the daemons of one failure domain, or by all if the domain
// is empty.
type scope struct {
	target model.TargetID
	domain model.Domain
}

// ejections returns the verdicts of a set except suspicions. The set may be nil.
func ejections(set *model.VerdictSet) map[scope]model.Verdict {
	list := make(map[scope]model.Verdict)
	if set == nil {
		return list
	}
	for _, v := range set.Verdicts {
		if v.Finding != model.FindingSuspect {
			list[scope{v.Target, v.Domain}] = v
		}
	}
	return list
}

// Verdict returns the first verdict on a target in the current set, if there is one.
func (e *Detector) Verdict(pool model.PoolID, id model.TargetID) (model.Verdict, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.current[pool]
	if set == nil {
		return model.Verdict{}, false
	}
	for _, v := range set.Verdicts {
		if v.Target == id {
			return v, true
		}
	}
	return model.Verdict{}, false
}
