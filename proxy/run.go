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
	out        exch.Outcome
	targetResp *fasthttp.Response
	slow       atomic.Bool
}

// dispatch is the state of a call's exchanges.
type dispatch struct {
	*call
	ctx      context.Context
	seconds  float64           // usual duration of the request at a target, in seconds
	bytes    float64           // usual size of the request and its response together
	results  chan *sendAttempt // ended exchanges; has room for all of a call
	inFlight int
	fallback *response // a target's error response, returned if no other target succeeds
	refused  bool      // a target refused the request because it had no free slot
	timedOut bool      // the exchange that ended last, or one at the deadline, got no response in time
}

// run sends the request until there is a final response.
func (c *call) run() *response {
	ctx, cancel, stop := c.exchangeContext()
	seconds, bytes := c.proxy.requestStats.get(c.route)
	d := &dispatch{call: c, ctx: ctx, seconds: seconds, bytes: bytes, results: make(chan *sendAttempt, maxTriedTargets+1)}
	c.proxy.deps.Limiter.CountRequest(c.pool)
	resp := d.loop()
	if d.inFlight == 0 || resp == nil || ctx.Err() != nil || d.proxy.hasStopped() {
		cancel()
		return resp
	}
	// Lets the other exchange of a hedged request finish, since its target already
	// works on it.
	stop()
	go func() {
		defer cancel()
		for range d.inFlight {
			<-d.results
		}
	}()
	return resp
}

func (d *dispatch) loop() *response {
	if resp := d.sendNext(); resp != nil {
		return resp
	}
	hedgeTimer := time.NewTimer(d.slowAfter())
	defer hedgeTimer.Stop()
	for {
		select {
		case s := <-d.results:
			d.inFlight--
			if resp := d.handleResult(s); resp != nil {
				return resp
			}
		case <-hedgeTimer.C:
			d.hedge()
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
	// A failure of the last send is final, so a repeatable request that was sent
	// before is placed as carefully as one that must not be repeated.
	mayRepeat := d.repeatable() && d.sends == 0
	criteria := place.Request{Pool: d.pool, UsualSeconds: d.seconds, Bytes: d.bytes, Repeatable: mayRepeat, Urgent: d.urgent(), Tried: d.tried}
	t, ok := d.proxy.deps.Balancer.Choose(time.Now(), criteria, rand.IntN)
	if !ok {
		if d.fallback != nil || d.mayHaveRun {
			return d.finish()
		}
		return d.refuseWithoutTarget()
	}
	d.tried = append(d.tried, t.ID)
	d.inFlight++
	s := &sendAttempt{target: t, targetResp: new(fasthttp.Response)}
	go func() {
		defer d.recoverExchange(s)
		d.exchange(s)
	}()
	return nil
}

// recoverExchange ends an exchange that panicked, so that it does not end the process. The
// target may have run the request.
func (d *dispatch) recoverExchange(s *sendAttempt) {
	cause := recover()
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
	now := time.Now()
	earliest := min(max(d.usualTime(), d.proxy.deps.Balancer.PauseLeft(now, d.pool), d.proxy.deps.Balancer.ColdWait(now, d.pool)), maxReturnDelay)
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
		d.proxy.log.Warn().Str("request", d.id).Str("target", string(s.target.ID)).Dur("since", since).Msg("request sent to a target that leaves")
	}
	s.target.Begin(time.Now())
	d.proxy.deps.ReportRequests(s.target.ID, 1, 0)
	end := sync.OnceFunc(func() {
		s.target.End(time.Now())
		d.proxy.deps.ReportRequests(s.target.ID, 0, 1)
	})
	defer end()
	slowTimer := time.AfterFunc(d.slowAfter(), func() {
		s.slow.Store(true)
		d.recordObservation(s.target, health.Slow, -1, &exch.Outcome{HeaderLatency: d.slowAfter()})
	})
	defer slowTimer.Stop()
	started := time.Now()
	do := d.proxy.deps.Exchange.DoNonRepeatable
	if d.repeatable() {
		do = d.proxy.deps.Exchange.Do
	}
	s.out = do(d.ctx, &s.target.Target, req, s.targetResp)
	slowTimer.Stop()
	end()
	d.recordAnnouncement(s.target, started, &s.out)
	load, reported := d.proxy.deps.Protocol.ParseLoad(string(s.targetResp.Header.Peek(d.proxy.deps.Protocol.Load)))
	if !reported {
		load = -1
	}
	slots := float64(s.target.Slots)
	if s.out.Class == exch.Shed && !reported {
		load = 2 * slots
	}
	observed, ok := observationOf(&s.out, s.slow.Load(), reported && load < slots)
	switch {
	case ok:
		d.recordObservation(s.target, observed, load, &s.out)
	case load >= 0:
		s.target.SetLoad(time.Now(), load)
	}
	if s.out.Class == exch.Complete {
		d.proxy.requestStats.add(d.route, time.Since(started), len(s.targetResp.Body())+len(d.body))
	}
	d.results <- s
}

// recordObservation records an observation and reports it to the other daemons. A
// negative load is unknown. While the exchange still runs, its outcome has no class.
func (d *dispatch) recordObservation(t *place.Target, observed health.Observation, load float64, out *exch.Outcome) {
	now := time.Now()
	t.AddObservation(now, observed)
	if load >= 0 {
		t.SetLoad(now, load)
	}
	d.proxy.deps.ReportObservation(t.ID, observed, load)
	if observed != health.Good {
		d.proxy.log.Info().Str("request", d.id).Str("target", string(t.ID)).Stringer("class", out.Class).
			Int("status", out.Status).Stringer("sight", observed).Float64("sick", t.UnhealthyProbability(now)).
			Dur("wait", out.HeaderLatency).AnErr("cause", out.Err).Msg("exchange")
	}
}

// recordAnnouncement records what the target said about itself in its response, and
// logs what is new.
func (d *dispatch) recordAnnouncement(t *place.Target, sentAt time.Time, out *exch.Outcome) {
	if !out.Announced {
		return
	}
	news := t.Announce(time.Now(), place.Announcement{Leaving: out.Draining, Limited: out.Limited, Limit: out.Limit, RetryAfter: out.RetryAfter, SentAt: sentAt})
	if out.Limited || news.Limit {
		// A limit is reported each time, so that hosts that just started learn of it.
		d.proxy.deps.ReportLimit(t.ID, out.Limited, out.Limit)
	}
	log := func(event string) *zerolog.Event {
		return d.proxy.log.Info().Str("request", d.id).Str("target", string(t.ID)).Int("status", out.Status).Str("announced", event)
	}
	if news.Leaving {
		d.proxy.deps.ReportLeaving(t.ID, news.StartedAt)
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

// hedge sends a repeatable request to a second target while the first one is slow.
func (d *dispatch) hedge() {
	if !d.repeatable() || d.inFlight != 1 || !d.sendLimits().allowed(false) {
		return
	}
	if d.sendLimits().remaining < d.usualTime() || !d.proxy.deps.Limiter.Retry(d.pool, hedgeReserve) {
		return
	}
	d.proxy.metrics.retries.Inc(1)
	// If there is no other target, or the key was withdrawn, the first exchange goes
	// on alone.
	_ = d.sendNext()
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
	resp := &response{status: status, kind: "answer", headers: make(http.Header), body: s.targetResp.Body()}
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
	if len(d.body) > 0 || d.request.ContentLength != 0 {
		req.SetBodyRaw(d.body)
	}
}
