package gate

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/expiry"

	"rhubarbdrift.example/header"
	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

const (
	// admitTimeout bounds the time that a request waits for a token.
	admitTimeout = 60 * time.Millisecond
	// claimTimeout bounds each write of a request's claim.
	claimTimeout = time.Second
	// defaultRetryAfter is the Retry-After of refusals without a better estimate.
	defaultRetryAfter = time.Second
)

// call is the state of one request of a caller.
type call struct {
	gate           *Gate
	ctx            *fasthttp.RequestCtx
	start          time.Time
	deadline       time.Time
	snapshot       *conf.Snapshot
	route          *model.Route
	pool           *model.Pool
	customer       *model.Customer // nil on open routes
	keyDigest      model.Digest    // of the caller's key; empty without one
	host           string          // lower case, without port
	token          Token
	claim          Claim
	triedTargets   []model.TargetID // of all attempts; backed by attemptBuffers, as is triedDomains
	triedDomains   []model.Domain
	attemptBuffers struct {
		triedTargets [1 + retry.MaxRetries]model.TargetID
		triedDomains [1 + retry.MaxRetries]model.Domain
	}
	maybeRun      bool                // a target may have run the request
	releasePermit func()              // returns the pool permit to the queue
	permitRefs    atomic.Int32        // users of the pool permit: run and its exchanges
	exchangeCtx   expiry.DeadlineOnly // carries the deadline to the exchanges
	body          budget.Segments
	inRequest     bool           // the body is that of ctx.Request, instead of body
	memory        *budget.Holder // of the body, and of the connection to the target
	memoryUsers   atomic.Int32   // the handler and its exchanges
	reading       atomic.Bool    // the body is being read
}

// serve answers the request, or returns the refusal to send. Before it returns a
// refusal, rollBack has given back the token and the claim if the request was
// certainly not run.
func (c *call) serve() *refuse.Refusal {
	steps := []func() *refuse.Refusal{c.checkFraming, c.matchRoute, c.authenticate, c.readBody, c.admit, c.claimRequest}
	for _, step := range steps {
		if r := step(); r != nil {
			return c.rollBack(r)
		}
	}
	return c.run()
}

// checkFraming refuses requests whose end is ambiguous.
func (c *call) checkFraming() *refuse.Refusal {
	if problem := header.FramingProblem(&c.ctx.Request.Header); problem != "" {
		return refuse.New(refuse.KindBad, refuse.NotRun, "the request is malformed: "+problem, "send one unambiguous HTTP/1.1 request")
	}
	return nil
}

// matchRoute looks up the route and its pool and sets the deadline.
func (c *call) matchRoute() *refuse.Refusal {
	c.snapshot = c.gate.deps.Snapshot()
	if c.snapshot == nil {
		return refuse.New(refuse.KindStale, refuse.NotRun, "this daemon has no configuration yet", "retry later").WithRetryAfter(defaultRetryAfter)
	}
	c.host, _, _ = strings.Cut(strings.ToLower(string(c.ctx.Host())), ":")
	route, ok := c.snapshot.Route(c.host, string(c.ctx.Path()))
	if !ok {
		return refuse.New(refuse.KindRoute, refuse.NotRun, "no route matches the host and path", "check the URL")
	}
	c.route = route
	c.pool, ok = c.snapshot.Pool(route.Pool)
	if !ok {
		return refuse.New(refuse.KindRoute, refuse.NotRun, "the route has no pool", "check the URL")
	}
	if c.ctx.Request.Header.ContentLength() > route.MaxBody() {
		return tooLargeRefusal()
	}
	return c.setDeadline()
}

// setDeadline sets the route's deadline, or the caller's if that is earlier.
func (c *call) setDeadline() *refuse.Refusal {
	timeout := c.route.Timeout()
	if value := c.ctx.Request.Header.Peek(refuse.HeaderDeadline); len(value) > 0 {
		requested, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || requested <= 0 {
			return refuse.New(refuse.KindBad, refuse.NotRun, refuse.HeaderDeadline+" is not a positive number of milliseconds", "correct or remove the header")
		}
		timeout = min(timeout, model.Millis(requested))
	}
	c.deadline = c.start.Add(timeout.Duration())
	return nil
}

// authenticate finds the customer of the key. It always removes the key from the
// request, so that it does not reach a target. A request with a key is refused on open
// routes too while the configuration may be too old: the route may no longer be open.
func (c *call) authenticate() *refuse.Refusal {
	key := c.ctx.Request.Header.Peek(refuse.HeaderKey)
	if len(key) > 0 {
		c.keyDigest = model.DigestOf(key)
	}
	c.ctx.Request.Header.Del(refuse.HeaderKey)
	if (len(key) > 0 || !c.route.Open) && !c.gate.deps.ConfigFresh() {
		return staleRefusal()
	}
	if c.route.Open {
		return nil
	}
	customer, ok := c.authorizedCustomer(c.snapshot)
	if !ok {
		return refuse.New(refuse.KindKey, refuse.NotRun, "the route needs a valid key in "+refuse.HeaderKey, "ask an operator for a key")
	}
	c.customer = customer
	return nil
}

func staleRefusal() *refuse.Refusal {
	return refuse.New(refuse.KindStale, refuse.NotRun, "this daemon may hold an old configuration", "retry, which may reach another daemon").WithRetryAfter(defaultRetryAfter)
}

// authorizedCustomer returns the customer of the caller's key in the snapshot, and
// false if there is none or it may not use the route, in the snapshot or at its arrival.
func (c *call) authorizedCustomer(s *conf.Snapshot) (*model.Customer, bool) {
	customer, _, ok := s.Key(c.keyDigest)
	if !ok || !c.route.Allows(customer.ID) {
		return nil, false
	}
	if route, found := c.routeIn(s); found && !route.Allows(customer.ID) {
		return nil, false
	}
	return customer, true
}

// routeIn returns the request's route in a snapshot.
func (c *call) routeIn(s *conf.Snapshot) (*model.Route, bool) {
	if s == c.snapshot {
		return c.route, true
	}
	return s.Route(c.host, string(c.ctx.Path()))
}

// revalidate checks the key and the route's rights against the newest configuration and
// the token for validity immediately before the request is sent, because they may have
// changed or the token may have expired while the request waited. It replaces an expired
// token once.
func (c *call) revalidate() *refuse.Refusal {
	newest := c.gate.deps.Snapshot()
	if (c.customer != nil || c.keyDigest != "") && !c.gate.deps.ConfigFresh() {
		return staleRefusal()
	}
	if c.customer == nil {
		if route, found := c.routeIn(newest); found && !route.Open {
			return refuse.New(refuse.KindStale, refuse.NotRun, "the route is no longer open", "retry with a key").WithRetryAfter(defaultRetryAfter)
		}
		return nil
	}
	current, ok := c.authorizedCustomer(newest)
	if !ok || current.ID != c.customer.ID {
		return refuse.New(refuse.KindKey, refuse.NotRun, "the key was withdrawn", "ask an operator for a key")
	}
	if c.token.Commit() {
		return nil
	}
	if r := c.admit(); r != nil {
		return r
	}
	if !c.token.Commit() {
		return refuse.New(refuse.KindLimit, refuse.NotRun, "no token stayed valid until the request could be sent", "retry").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// admit takes a token within the customer's rate and burst.
func (c *call) admit() *refuse.Refusal {
	if c.customer == nil {
		return nil
	}
	waitCtx := expiry.New(c.deadlineWithin(admitTimeout))
	defer waitCtx.Cancel()
	token, err := c.gate.deps.Limiter.Admit(waitCtx, c.customer)
	if err == nil {
		c.token = token
		c.gate.usageCounters.counterOf(c.customer.ID).admitted.Add(1)
		return nil
	}
	if fault.Is(err, fault.KindLimited) {
		c.gate.usageCounters.counterOf(c.customer.ID).refused.Add(1)
		return refuse.New(refuse.KindLimit, refuse.NotRun, "the customer is above its rate and burst", "slow down").WithRetryAfter(retryAfter(err))
	}
	c.gate.log.Debug().Err(err).Str("customer", string(c.customer.ID)).Msg("limit could not be checked")
	return refuse.New(refuse.KindBusy, refuse.NotRun, "the customer's limit could not be checked", "retry").WithRetryAfter(defaultRetryAfter)
}

// deadlineWithin returns the earlier of the deadline and the time d from now.
func (c *call) deadlineWithin(d time.Duration) time.Time {
	if t := time.Now().Add(d); t.Before(c.deadline) {
		return t
	}
	return c.deadline
}

// repeatable reports whether the request may be sent to a target again.
func (c *call) repeatable() bool {
	return c.route.Repeatable(string(c.ctx.Method()))
}

// claimRequest claims a request that may not be repeated, before any byte of it is
// sent. If the claim cannot be recorded, the route's setting for outages decides
// whether the request is sent without one.
func (c *call) claimRequest() *refuse.Refusal {
	if c.repeatable() {
		return nil
	}
	key := c.ctx.Request.Header.Peek(refuse.HeaderIdempotency)
	if len(key) == 0 {
		return refuse.New(refuse.KindBad, refuse.NotRun, "the request may not be repeated and has no "+refuse.HeaderIdempotency,
			"send an id that is the same when the request is sent again")
	}
	var id model.CustomerID
	if c.customer != nil {
		id = c.customer.ID
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadlineWithin(claimTimeout))
	defer cancel()
	claim, err := c.gate.deps.Claims.Begin(ctx, id, string(key), c.fingerprint())
	if err == nil {
		c.claim = claim
		return nil
	}
	if fault.Is(err, fault.Kind(refuse.KindUnclaimed)) && c.route.Outage == model.OutageForward {
		return nil
	}
	return claimRefusal(err)
}

// rollBack gives back the token and the claim of a refused request if its refusal
// states "not-run", and returns the refusal to send. If the claim cannot be
// released, a repeat would be refused as open, so the refusal then does not state
// "not-run".
func (c *call) rollBack(r *refuse.Refusal) *refuse.Refusal {
	if c.maybeRun {
		r.Run = refuse.Unknown
	}
	if r.Run != refuse.NotRun {
		return r
	}
	if c.token != nil {
		c.token.Cancel()
	}
	if c.claim == nil {
		return r
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := c.claim.Release(ctx); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("claim of a request that was not run could not be released")
		return refuse.New(refuse.KindOpen, refuse.Unknown, r.Message+"; its claim could not be released", "ask an operator before sending it with a new "+refuse.HeaderIdempotency)
	}
	return r
}
