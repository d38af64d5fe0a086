package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/header"
	"rhubarbdrift.example/health"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/refuse"
)

const (
	// defaultAttempts is the maximum number of targets for a route without a limit.
	defaultAttempts = 2
	// slowShare is the share of the route's latency objective after which a request
	// counts as slow. About one in twenty takes that long at a healthy target.
	slowShare = 0.9
)

// sendAttempt is one exchange of a call.
type sendAttempt struct {
	target     *place.Target
	listed     model.Instance // the target's entry when it was chosen
	out        exch.Outcome
	targetResp *fasthttp.Response
	room       exch.Room // memory for the response
	slow       atomic.Bool
	number     int32 // of the send within its call, from 1
	hedged     bool  // it was sent while another was in flight
}

// dispatch is the state of a call's exchanges.
type dispatch struct {
	*call
	ctx      context.Context
	seconds  float64           // usual duration of the request at a target, in seconds
	bytes    float64           // usual size of the request and its response together
	results  chan *sendAttempt // ended exchanges; has room for all of a call
	inFlight int
	fallback *response    // a target's error response, returned if no other target succeeds
	refused  bool         // a target refused the request because it had no free slot
	winner   atomic.Int32 // number of the send whose response was delivered; 0: none
	timedOut bool         // the exchange that ended last, or one at the deadline, got no response in time
	rooms    rooms
}

// run sends the request until there is a final response.
func (c *call) run() *response {
	ctx, cancel, stop := c.exchangeContext()
	seconds, bytes := c.proxy.requestStats.get(c.route)
	d := &dispatch{call: c, ctx: ctx, seconds: seconds, bytes: bytes, results: make(chan *sendAttempt, maxTriedTargets+1)}
	c.proxy.deps.Limiter.CountRequest(c.pool)
	if h := c.proxy.deps.Hedges; h != nil {
		h.CountRequests(c.pool, 1)
	}
	decided := false
	defer func() {
		if !decided { // loop panicked
			cancel()
			d.rooms.keepOnly(nil)
		}
	}()
	resp := d.loop()
	decided = true
	d.rooms.keepOnly(resp)
	if d.inFlight == 0 || resp == nil || ctx.Err() != nil || d.proxy.hasStopped() {
		cancel()
		return resp
	}
	// Without Hedges, the other exchange of a hedged request goes on, since its target
	// already works on it.
	stop()
	go func() {
		defer cancel()
		if d.proxy.deps.Hedges != nil {
			defer time.AfterFunc(settleTime, cancel).Stop()
		}
		for range d.inFlight {
			<-d.results
		}
	}()
	return resp
}

// settleTime is the time in which the losing exchange of a hedged request may end by itself.
// After it, the exchange is cancelled and its connection closed. A new connection to a target
// in another failure domain of the region takes about as long.
const settleTime = 5 * time.Millisecond

func (d *dispatch) loop() *response {
	if resp := d.sendNext(); resp != nil {
		return resp
	}
	bound := d.slowAfter()
	delay := d.hedgeDelay(bound)
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	for {
		select {
		case s := <-d.results:
			d.inFlight--
			if resp := d.handleResult(s); resp != nil {
				return resp
			}
		case <-hedgeTimer.C:
			if d.hedge(delay >= bound) && delay < bound {
				hedgeTimer.Reset(bound - delay)
				delay = bound
			}
		case <-d.ctx.Done():
			if d.request.Context().Err() != nil {
				return nil
			}
			return d.finishAtDeadline()
		case <-d.proxy.stopped:
			return d.finishAtDeadline()
		}
	}
}

// sendNext sends the request to the best target. It returns a response if it can't,
// or nil if the caller closed the connection, which loop detects.
func (d *dispatch) sendNext() *response {
	if d.request.Context().Err() != nil {
		return nil
	}
	if resp := d.recheckKey(); resp != nil {
		return d.refuseOrFinish(resp)
	}
	criteria := d.criteria()
	t, ok := d.proxy.deps.Balancer.Choose(time.Now(), criteria, rand.IntN)
	if !ok {
		if d.fallback != nil || d.mayHaveRun || d.inFlight > 0 {
			return d.finish()
		}
		return d.noTargetRefusal(&criteria)
	}
	d.send(t)
	return nil
}

// criteria returns what the next target is chosen by.
func (d *dispatch) criteria() place.Request {
	// A failure of the last send is final, so a repeatable request that was sent
	// before is placed as carefully as one that must not be repeated.
	mayRepeat := d.repeatable() && d.sends == 0
	return place.Request{Pool: d.pool, UsualSeconds: d.seconds, Bytes: d.bytes, Repeatable: mayRepeat, Urgent: d.urgent(), Tried: d.tried, Regions: d.regions}
}

// send starts an exchange with the target.
func (d *dispatch) send(t *place.Target) {
	listed := t.Listed()
	d.tried = append(d.tried, listed.ID)
	d.proxy.metrics.sends[t.Tier()].Inc(1)
	s := &sendAttempt{target: t, listed: listed, targetResp: new(fasthttp.Response), number: int32(len(d.tried)), hedged: d.inFlight > 0}
	d.inFlight++
	s.room.Memory = d.rooms.open(d.call)
	d.bodyUsers.Add(1)
	go func() {
		defer d.endExchange(s)
		d.exchange(s)
	}()
}

// noTargetRefusal returns the refusal of a request for which no target was found.
func (d *dispatch) noTargetRefusal(criteria *place.Request) *response {
	exclusion := d.proxy.deps.Balancer.Exclusion(time.Now(), criteria)
	switch exclusion {
	case place.ExcludedByRegions:
		d.recordRegionsRefusal()
	case place.ExcludedByEvacuation:
		d.proxy.metrics.evacuationRefusals.Inc(1)
	case place.NotExcluded:
		if d.proxy.deps.Balancer.ColdWait(time.Now(), criteria) > 0 {
			d.proxy.metrics.coldRefusals.Inc(1)
		}
	}
	return d.noTargetResponse(exclusion)
}

// noTargetResponse returns the refusal for an exclusion without counting it.
func (d *dispatch) noTargetResponse(exclusion place.Exclusion) *response {
	switch exclusion {
	case place.ExcludedByRegions:
		return d.regionsResponse()
	case place.ExcludedByEvacuation:
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "all targets that may serve the request are in evacuated failure domains", "retry later"), placementDelay())
	case place.ExcludedByOutdatedList:
		return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "this daemon may not know all evacuated failure domains", "retry, which may reach another daemon"), shortRetryDelay)
	}
	return d.refuseWithoutTarget()
}

// endExchange releases what an exchange held. It ends one that panicked, so that it does not
// end the process; the target may have run the request then.
func (d *dispatch) endExchange(s *sendAttempt) {
	cause := recover()
	defer d.dropBody()
	defer d.rooms.end(s.room.Memory)
	if cause == nil {
		return
	}
	d.proxy.log.Error().Any("cause", cause).Str("request", d.id).Str("stack", string(debug.Stack())).Msg("exchange failed")
	s.out = exch.Outcome{Class: exch.Unknown, Written: 1}
	d.results <- s
}

// refuseOrFinish returns the refusal, unless a target may have run the request.
func (d *dispatch) refuseOrFinish(resp *response) *response {
	if d.mayHaveRun {
		return d.finish()
	}
	return resp
}

func (d *dispatch) repeatable() bool { return d.route.Repeatable(d.request.Method) }

func (d *dispatch) usualTime() time.Duration { return time.Duration(d.seconds * float64(time.Second)) }

// maxReturnDelay bounds the time after which a caller is told to return: by then other
// targets may have been added.
const maxReturnDelay = 20 * time.Second

// returnDelay returns the Retry-After of a request that the pool's targets can't serve
// now: about the time until a slot or the first target that wants a pause is free, or until
// cold targets can serve more. It is spread, so that callers don't return all at once, and
// shorter for the most urgent requests, so that these return first.
func (d *dispatch) returnDelay() time.Duration {
	now, balancer, request := time.Now(), d.proxy.deps.Balancer, &place.Request{Pool: d.pool, Regions: d.regions}
	earliest := min(max(d.usualTime(), balancer.PauseLeft(now, request), balancer.ColdWait(now, request)), maxReturnDelay)
	spread := time.Duration(rand.Int64N(int64(earliest)/2 + 1))
	if d.urgent() {
		return earliest + spread
	}
	return earliest + earliest/2 + spread
}

// urgent reports whether the request is of the most urgent rank of its pool.
func (d *dispatch) urgent() bool { return d.rank() <= d.snapshot.MinRank(d.pool) }

func (d *dispatch) slowAfter() time.Duration {
	if d.route.Objective > 0 {
		return time.Duration(slowShare * float64(d.route.Objective.Duration()))
	}
	return d.route.Timeout().Duration() / 2
}

// exchange sends the request to one target and records the observation of it. A
// target that refuses the request without reporting its load is assumed to run and
// queue twice as many requests as it has slots.
func (d *dispatch) exchange(s *sendAttempt) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	d.buildRequest(req)
	if since, leaving := s.target.LeavingFor(time.Now()); leaving {
		d.proxy.log.Warn().Str("request", d.id).Str("target", string(s.listed.ID)).Dur("since", since).Msg("request sent to a target that leaves")
	}
	s.target.Begin(time.Now())
	d.proxy.deps.ReportRequests(s.listed.ID, 1, 0)
	end := sync.OnceFunc(func() {
		s.target.End(time.Now())
		d.proxy.deps.ReportRequests(s.listed.ID, 0, 1)
	})
	defer end()
	slowTimer := time.AfterFunc(d.slowAfter(), func() {
		if s.room.Waited() {
			return
		}
		s.slow.Store(true)
		d.recordObservation(s, health.Slow, -1, &exch.Outcome{HeaderLatency: d.slowAfter()})
	})
	defer slowTimer.Stop()
	started := time.Now()
	do := d.proxy.deps.Exchange.DoNonRepeatable
	if d.repeatable() {
		do = d.proxy.deps.Exchange.Do
	}
	s.out = do(exch.WithRoom(d.ctx, &s.room), &s.listed.Target, req, s.targetResp)
	slowTimer.Stop()
	end()
	d.recordLatency(s, time.Since(started))
	d.recordAnnouncement(s, started, &s.out)
	load, reported := d.proxy.deps.Protocol.ParseLoad(string(s.targetResp.Header.Peek(d.proxy.deps.Protocol.Load)))
	if !reported {
		load = -1
	}
	slots := float64(s.listed.Slots)
	if s.out.Class == exch.Shed && !reported {
		load = 2 * slots
	}
	observed, ok := observationOf(&s.out, s.slow.Load(), reported && load < slots)
	switch {
	case ok:
		d.recordObservation(s, observed, load, &s.out)
	case load >= 0:
		s.target.SetLoad(time.Now(), load)
	}
	if s.out.Class == exch.Complete {
		d.proxy.requestStats.add(d.route, time.Since(started), int(s.body().Len()+d.body.Len()))
	}
	d.results <- s
}

// recordObservation records an observation and reports it to the other daemons. A
// negative load is unknown. While the exchange still runs, its outcome has no class.
func (d *dispatch) recordObservation(s *sendAttempt, observed health.Observation, load float64, out *exch.Outcome) {
	now := time.Now()
	s.target.AddObservation(now, observed)
	if load >= 0 {
		s.target.SetLoad(now, load)
	}
	d.proxy.deps.ReportObservation(s.listed.ID, observed, load)
	if observed != health.Good {
		d.proxy.log.Info().Str("request", d.id).Str("target", string(s.listed.ID)).Stringer("class", out.Class).
			Int("status", out.Status).Stringer("sight", observed).Float64("sick", s.target.UnhealthyProbability(now)).
			Dur("wait", out.HeaderLatency).AnErr("cause", out.Err).Msg("exchange")
	}
}

// recordAnnouncement records what the target said about itself in its response, and
// logs what is new.
func (d *dispatch) recordAnnouncement(s *sendAttempt, sentAt time.Time, out *exch.Outcome) {
	if !out.Announced {
		return
	}
	news := s.target.Announce(time.Now(), place.Announcement{Leaving: out.Draining, Limited: out.Limited, Limit: out.Limit, RetryAfter: out.RetryAfter, SentAt: sentAt})
	if out.Limited || news.Limit {
		// A limit is reported each time, so that hosts that just started learn of it.
		d.proxy.deps.ReportLimit(s.listed.ID, out.Limited, out.Limit)
	}
	log := func(event string) *zerolog.Event {
		return d.proxy.log.Info().Str("request", d.id).Str("target", string(s.listed.ID)).Int("status", out.Status).Str("announced", event)
	}
	if news.Leaving {
		d.proxy.deps.ReportLeaving(s.listed.ID, news.StartedAt)
		log("leaves").Bool("listed", news.Listed).Msg("target announcement")
	}
	if news.Limit {
		log("limit").Bool("limited", out.Limited).Float64("limit", float64(out.Limit)).Msg("target announcement")
	}
	if out.RetryAfter > 0 {
		log("pause").Dur("pause", out.RetryAfter).Msg("target announcement")
	}
}

// handleResult processes the end of an exchange. It returns the final response, or
// nil if there is none yet. A send of which the target received no byte needs no
// retry budget.
func (d *dispatch) handleResult(s *sendAttempt) *response {
	d.lastClass = s.out.Class.String()
	if s.out.Written > 0 {
		d.sends++
	}
	d.timedOut = s.out.Class == exch.NoResponse
	next := decide(&s.out, d.repeatable())
	switch next {
	case deliver:
		d.winner.Store(s.number)
		if s.hedged {
			d.proxy.metrics.won.Inc(1)
		}
		return d.targetResponse(s)
	case resend:
		d.refused = d.refused || s.out.Class == exch.Shed
		if d.inFlight > 0 {
			return nil
		}
	case repeat:
		d.mayHaveRun = true
		if s.out.Class == exch.Complete {
			d.fallback = d.targetResponse(s)
		}
		if d.inFlight > 0 {
			return nil
		}
	case giveUp:
		d.mayHaveRun = true
		return d.finish()
	}
	if d.ctx.Err() != nil {
		return nil // loop handles the end of the context
	}
	unsent := s.out.Written == 0
	if !d.sendLimits().allowed(s.out.NotRun()) || !unsent && !d.proxy.deps.Limiter.Retry(d.pool, retryReserve(next, d.urgent())) {
		return d.finish()
	}
	d.proxy.metrics.retries.Inc(1)
	return d.sendNext()
}

// rank returns the urgency of the request, that of its customer or else that of its
// route; 0 is the most urgent.
func (c *call) rank() int {
	if c.customer != nil && c.customer.Rank != nil {
		return *c.customer.Rank
	}
	return c.route.Rank
}

func (d *dispatch) sendLimits() sendLimits {
	attempts := d.route.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	return sendLimits{attempts: attempts, sends: d.sends + d.inFlight, tried: len(d.tried), remaining: time.Until(d.deadline), requestTime: d.usualTime()}
}

// hedge sends a repeatable request to a second target while the first one is slow. Late is
// set once the bound of the delay has passed. It reports whether it may be asked again.
func (d *dispatch) hedge(late bool) (again bool) {
	if !d.repeatable() || d.inFlight != 1 {
		return false
	}
	if d.proxy.deps.Hedges != nil {
		return d.hedgeWithinShare(late)
	}
	if !d.sendLimits().allowed(false) {
		return false
	}
	if d.sendLimits().remaining < d.usualTime() || !d.proxy.deps.Limiter.Retry(d.pool, hedgeReserve) {
		return false
	}
	d.proxy.metrics.retries.Inc(1)
	// If there is no other target, or the key was withdrawn, the first exchange goes
	// on alone.
	_ = d.sendNext()
	return false
}

// hedgeWithinShare is hedge with a share of hedged requests. If the request is not hedged,
// the first exchange goes on alone.
func (d *dispatch) hedgeWithinShare(late bool) (again bool) {
	hedges := d.proxy.deps.Hedges
	if !hedges.Enabled() {
		return false
	}
	if d.recheckKey() != nil {
		d.proxy.metrics.hedges[hedge.KeyRefused].Inc(1)
		return false
	}
	limits := d.sendLimits()
	facts := hedge.Facts{AttemptsLeft: limits.allowed(false), TimeLeft: limits.remaining >= d.usualTime(), Late: late}
	var target *place.Target
	if facts.AttemptsLeft && facts.TimeLeft {
		criteria := d.criteria()
		criteria.Repeatable = false // it is placed carefully, as the last one
		target, facts.Use = d.proxy.deps.Balancer.ChooseSpare(time.Now(), criteria, rand.IntN)
		facts.Target = target != nil
	}
	decision := hedges.Decide(time.Now(), d.pool, facts, rand.Float64(), func() bool { return d.proxy.deps.Limiter.Retry(d.pool, hedgeReserve) })
	d.proxy.metrics.hedges[decision.Refusal].Inc(1)
	if decision.Changed {
		d.proxy.log.Info().Str("pool", string(d.pool)).Bool("active", decision.Active).Float64("use", facts.Use).Msg("hedging changed")
	}
	if decision.Refusal != hedge.Allowed {
		return true
	}
	d.proxy.metrics.retries.Inc(1)
	d.send(target)
	return false
}

// hedgeDelay returns the time after which a second send is considered, at most the bound.
func (d *dispatch) hedgeDelay(bound time.Duration) time.Duration {
	if h := d.proxy.deps.Hedges; h != nil {
		return h.Delay(time.Now(), d.latencyKey(), bound)
	}
	return bound
}

func (d *dispatch) latencyKey() hedge.Key { return hedge.Key{Route: d.route.ID, Pool: d.pool} }

// recordLatency records the latency of a send for the delay of later hedged requests. A send
// that lost to a later one counts as slow: it took longer than most of the route's requests
// and was cancelled before its own slowness was noted.
func (d *dispatch) recordLatency(s *sendAttempt, elapsed time.Duration) {
	h := d.proxy.deps.Hedges
	if h == nil || !d.repeatable() {
		return
	}
	lost := s.out.Canceled && s.number < d.winner.Load()
	if lost || s.out.Class == exch.Complete || s.out.Class == exch.NoResponse && !s.out.Canceled {
		h.Record(time.Now(), d.latencyKey(), elapsed)
	}
	if lost && !s.room.Waited() && s.slow.CompareAndSwap(false, true) {
		d.recordObservation(s, health.Slow, -1, &s.out)
	}
}

// finishAtDeadline returns the response at the deadline.
func (d *dispatch) finishAtDeadline() *response {
	d.timedOut = d.inFlight > 0
	d.mayHaveRun = d.mayHaveRun || d.timedOut
	return d.finish()
}

// finish returns the response when the request is not sent again.
func (d *dispatch) finish() *response {
	switch {
	case d.fallback != nil:
		return d.fallback
	case d.mayHaveRun && d.timedOut:
		return refusal(refuse.New(refuse.KindLate, refuse.Unknown, "the target did not answer in time", "ask for the state before sending the request again"), 0)
	case d.mayHaveRun:
		return refusal(refuse.New(refuse.KindTarget, refuse.Unknown, "the target's answer was lost", "ask for the state before sending the request again"), 0)
	case d.refused:
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "the targets have no free slots", "retry later"), d.returnDelay())
	default:
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "no target could be reached", "retry later"), shortRetryDelay)
	}
}

// targetResponse converts the target's response for the caller.
func (d *dispatch) targetResponse(s *sendAttempt) *response {
	status := s.targetResp.StatusCode()
	if reservedStatus(status) {
		// The target ran the request, but callers take this status to mean that it did
		// not run.
		return refusal(refuse.New(refuse.KindTarget, refuse.Unknown, "the target failed the request", "ask for the state before sending the request again"), 0)
	}
	header.RemoveHopByHop(&s.targetResp.Header)
	resp := &response{status: status, kind: "answer", headers: make(http.Header), body: s.body(), memory: s.room.Memory}
	for name, value := range s.targetResp.Header.All() {
		resp.headers.Add(string(name), string(value))
	}
	for _, name := range d.proxy.deps.Protocol.InternalHeaders {
		resp.headers.Del(name)
	}
	resp.headers.Del("Content-Length")
	return resp
}

// buildRequest builds the request for a target.
func (d *dispatch) buildRequest(req *fasthttp.Request) {
	protocol := &d.proxy.deps.Protocol
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(d.request.Method)
	h.SetRequestURI(d.request.RequestURI)
	for name, values := range d.request.Header {
		if http.CanonicalHeaderKey(name) == http.CanonicalHeaderKey(protocol.Key) || name == protocol.Customer || name == protocol.Deadline {
			continue
		}
		for _, v := range values {
			h.Add(name, v)
		}
	}
	header.RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Del("Expect")
	h.SetHost(d.request.Host)
	if d.customer != nil {
		h.Set(protocol.Customer, string(d.customer.ID))
	}
	switch parts := d.body.Parts(); {
	case len(parts) > 1:
		req.SetBodyStream(d.body.Reader(), int(d.body.Len()))
	case len(parts) == 1:
		req.SetBodyRaw(parts[0])
	case d.request.ContentLength != 0:
		req.SetBodyRaw(nil)
	}
}
