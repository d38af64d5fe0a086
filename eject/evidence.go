// Package eject runs the outlier detection of one daemon. It reports the outcomes of
// exchanges with targets to the judges of their pools, judges the pools that this daemon
// was chosen for, probes the ejected targets of these pools, and passes verdicts to the
// picker, which chooses targets.
//
// # Usage
//
//	d := eject.New(eject.Dependencies{Self: reporter, Run: incarnation, Picker: picker, ...})
//	d.Register(server)
//	go d.Run(ctx)
//	go eject.NewProber(d, exchange, pools).Run(ctx)
//	d.Observe(result) // after each exchange with a target
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
	clients   *wire.ClientPool // connections to the other daemons
	log       zerolog.Logger

	mu          sync.Mutex
	lastReports map[model.PoolID]time.Time         // time of the last report on each pool judged here
	current     map[model.PoolID]*model.VerdictSet // the applied verdicts
	sent        map[model.PoolID]sentSet
}

// sentSet is the last verdict set of a pool that was sent to the cell.
type sentSet struct {
	at       time.Time
	verdicts []model.Verdict
}

// ack is the answer to a report or a verdict set.
type ack struct{}

// Dependencies holds the dependencies of a Detector.
type Dependencies struct {
	Self    report.Reporter
	Run     model.Incarnation
	Picker  *pick.Picker
	Cell    *peers.Cell
	Clients *wire.ClientPool
	Log     zerolog.Logger
}

// New returns a Detector. Run starts it.
func New(deps Dependencies) *Detector {
	return &Detector{
		self:        deps.Self.Host,
		collector:   report.NewCollector(deps.Self, deps.Run),
		judge:       judge.New(deps.Self.Host, deps.Run),
		picker:      deps.Picker,
		cell:        deps.Cell,
		clients:     deps.Clients,
		log:         deps.Log,
		lastReports: make(map[model.PoolID]time.Time),
		current:     make(map[model.PoolID]*model.VerdictSet),
		sent:        make(map[model.PoolID]sentSet),
	}
}

// Register registers the handlers for reports and verdict sets from other daemons.
func (d *Detector) Register(s *wire.Server) {
	wire.Handle(s, methodReport, func(_ context.Context, r *report.Report) (*ack, error) {
		// Publishing continues after the call, so it does not use the call's context.
		d.handle(context.Background(), r)
		return new(ack), nil
	})
	wire.Handle(s, methodVerdict, func(_ context.Context, set *model.VerdictSet) (*ack, error) {
		d.apply(set)
		return new(ack), nil
	})
}

// Observe counts one exchange with a target. Cancelled exchanges are ignored.
func (d *Detector) Observe(result gate.ExchangeResult) {
	if result.Outcome.Canceled {
		return // no evidence on the target
	}
	d.collector.Record(report.Sample{
		Pool: result.Pool, Target: result.Target, Customer: result.Customer, Route: result.Route,
		Kind: kindOf(&result.Outcome), Latency: result.Outcome.HeaderLatency,
	})
}

// minServerError is the lowest HTTP status that counts as a failure of the target.
const minServerError = 500

// kindOf classifies the outcome of an exchange for a report. Classes without a kind of
// their own, exch.NotRun and exch.Unknown, count as Failed.
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
func (d *Detector) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var lastUrgent time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.send(ctx, d.collector.Flush())
			d.publish(ctx)
		case <-d.collector.UrgentC():
			if time.Since(lastUrgent) >= urgentInterval {
				lastUrgent = time.Now()
				d.send(ctx, d.collector.FlushUrgent())
			}
		}
	}
}

// send sends reports to the judges of their pools. A report that is not delivered is
// lost, since newer ones follow.
func (d *Detector) send(ctx context.Context, reports []report.Report) {
	live := d.cell.Live()
	for i := range reports {
		r := &reports[i]
		host := judge.SelectJudge(r.Pool, live)
		if host == d.self {
			d.handle(ctx, r)
			continue
		}
		address, ok := d.cell.Address(host)
		if !ok {
			continue
		}
		go d.deliver(ctx, address, methodReport, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[report.Report, ack](ctx, c, methodReport, r)
			return err
		})
	}
}

// deliver makes a call to a peer and logs its failure.
func (d *Detector) deliver(ctx context.Context, address, method string, call func(context.Context, *wire.Client) error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := call(ctx, d.clients.Client(address)); err != nil {
		d.log.Debug().Err(err).Str("address", address).Str("method", method).Msg("message to peer lost")
	}
}

// handle passes a report to the judge and publishes changed verdicts immediately.
func (d *Detector) handle(ctx context.Context, r *report.Report) {
	d.startJudging(r.Pool)
	if d.judge.HandleReport(r) {
		d.publishPool(ctx, r.Pool)
	}
}

// startJudging records that this daemon judges the pool. A new judge adopts the verdicts
// of the previous one, so that the loss of that judge does not return all ejected targets
// at once.
func (d *Detector) startJudging(id model.PoolID) {
	d.mu.Lock()
	_, judging := d.lastReports[id]
	d.lastReports[id] = time.Now()
	previous := d.current[id]
	d.mu.Unlock()
	if !judging && previous != nil && previous.Judge != d.self {
		d.judge.Adopt(previous)
	}
}

// publish applies the verdicts of all pools judged here and sends them to the cell, also
// as the heartbeat of the judge.
func (d *Detector) publish(ctx context.Context) {
	for _, id := range d.judgedPools() {
		d.publishPool(ctx, id)
	}
}

// judgedPools returns the pools judged here. It drops those that are idle.
func (d *Detector) judgedPools() []model.PoolID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []model.PoolID
	for id, last := range d.lastReports {
		if time.Since(last) > judgeIdleTime {
			delete(d.lastReports, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

// publishPool applies the verdicts of one pool and sends them to the cell.
func (d *Detector) publishPool(ctx context.Context, id model.PoolID) {
	set := d.judge.Verdicts(id)
	d.apply(&set)
	if !d.shouldSend(&set) {
		return
	}
	for _, host := range d.cell.Live() {
		address, ok := d.cell.Address(host)
		if host == d.self || !ok {
			continue
		}
		go d.deliver(ctx, address, methodVerdict, func(ctx context.Context, c *wire.Client) error {
			_, err := wire.Call[model.VerdictSet, ack](ctx, c, methodVerdict, &set)
			return err
		})
	}
}

// shouldSend reports whether a verdict set must be sent: if it changed, or as a heartbeat.
// It records the set as sent.
func (d *Detector) shouldSend(set *model.VerdictSet) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.sent[set.Pool]
	if time.Since(last.at) < heartbeatInterval && slices.Equal(set.Verdicts, last.verdicts) {
		return false
	}
	d.sent[set.Pool] = sentSet{at: time.Now(), verdicts: set.Verdicts}
	return true
}

// apply passes a verdict set to the picker and, if the picker uses it, stores it and logs
// the changes.
func (d *Detector) apply(set *model.VerdictSet) {
	if !d.picker.ApplyVerdicts(set) {
		return
	}
	suspect := false
	for _, v := range set.Verdicts {
		suspect = suspect || v.Finding == model.FindingSuspect
	}
	d.collector.SetUrgent(set.Pool, suspect)
	d.mu.Lock()
	old := d.current[set.Pool]
	d.current[set.Pool] = set
	d.mu.Unlock()
	d.logChanges(old, set)
}

// logChanges logs each target that is newly ejected or no longer ejected.
func (d *Detector) logChanges(old, set *model.VerdictSet) {
	returned := ejections(old)
	for key, v := range ejections(set) {
		if _, wasEjected := returned[key]; !wasEjected {
			d.log.Warn().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Str("domain", string(v.Domain)).
				Str("finding", string(v.Finding)).Int("answers", v.Answers).Int("bad", v.Bad).Msg("target ejected")
		}
		delete(returned, key)
	}
	for _, v := range returned {
		d.log.Info().Str("pool", string(set.Pool)).Str("target", string(v.Target)).Msg("target returns")
	}
}

// scope is a target as seen by the daemons of one failure domain, or by all if the domain
// is empty.
type scope struct {
	target model.TargetID
	domain model.Domain
}

// ejections returns the verdicts of a set except suspicions. Draining targets are
// included, since they receive no new requests either. The set may be nil.
func ejections(set *model.VerdictSet) map[scope]model.Verdict {
	out := make(map[scope]model.Verdict)
	if set == nil {
		return out
	}
	for _, v := range set.Verdicts {
		if v.Finding != model.FindingSuspect {
			out[scope{v.Target, v.Domain}] = v
		}
	}
	return out
}

// Verdict returns the first verdict on a target in the current set, if there is one.
func (d *Detector) Verdict(pool model.PoolID, id model.TargetID) (model.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := d.current[pool]
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
