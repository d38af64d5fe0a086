package gate

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/lazy"

	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"
	"rhubarbdrift.example/shape"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

const (
	// admitWait bounds the time that a request waits for a token.
	admitWait = 60 * time.Millisecond
	// claimWait bounds the time that a request waits for its claim.
	claimWait = time.Second
	// limitRetry is the Retry-After of refusals without a better estimate.
	limitRetry = time.Second
)

// call is one request on its way through the gate.
type call struct {
	gate     *Gate
	ctx      *fasthttp.RequestCtx
	start    time.Time
	deadline time.Time
	snapshot *conf.Snapshot
	route    *model.Route
	pool     *model.Pool
	customer *model.Customer // nil on open routes
	digest   model.Digest    // of the caller's key
	token    Token
	claim    Claim
	tried    []model.TargetID // in places, as domains are
	domains  []model.Domain
	places   struct {
		tried   [1 + retry.Max]model.TargetID
		domains [1 + retry.Max]model.Domain
	}
	sent    bool         // a target may have run the request
	release func()       // gives back the place in the pool
	users   atomic.Int32 // of the place: run and its exchanges
	life    lazy.Until   // of the exchanges
}

// serve answers the request or returns the refusal to send.
func (c *call) serve() *refuse.Refusal {
	steps := []func() *refuse.Refusal{c.shape, c.find, c.authenticate, c.admit, c.record}
	for _, step := range steps {
		if r := step(); r != nil {
			return c.giveUp(r)
		}
	}
	return c.run()
}

// shape refuses malformed requests.
func (c *call) shape() *refuse.Refusal {
	if problem := shape.Problem(&c.ctx.Request.Header); problem != "" {
		return refuse.New(refuse.KindBad, refuse.NotRun, "the request is malformed: "+problem, "send one unambiguous HTTP/1.1 request")
	}
	return nil
}

// find looks up the route and its pool and computes the deadline.
func (c *call) find() *refuse.Refusal {
	c.snapshot = c.gate.parts.Snapshot()
	if c.snapshot == nil {
		return refuse.New(refuse.KindStale, refuse.NotRun, "this daemon has no configuration yet", "retry later").After(limitRetry)
	}
	host, _, _ := strings.Cut(strings.ToLower(string(c.ctx.Host())), ":")
	route, ok := c.snapshot.Route(host, string(c.ctx.Path()))
	if !ok {
		return refuse.New(refuse.KindRoute, refuse.NotRun, "no route matches the host and path", "check the URL")
	}
	c.route = route
	c.pool, ok = c.snapshot.Pool(route.Pool)
	if !ok {
		return refuse.New(refuse.KindRoute, refuse.NotRun, "the route has no pool", "check the URL")
	}
	if len(c.ctx.Request.Body()) > route.MaxBody() {
		return refuse.New(refuse.KindLarge, refuse.NotRun, "the request body is above the route's limit", "send a smaller body")
	}
	return c.setDeadline()
}

func (c *call) setDeadline() *refuse.Refusal {
	limit := c.route.Timeout()
	if value := c.ctx.Request.Header.Peek(refuse.HeaderDeadline); len(value) > 0 {
		asked, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || asked <= 0 {
			return refuse.New(refuse.KindBad, refuse.NotRun, refuse.HeaderDeadline+" is not a positive number of milliseconds", "correct or remove the header")
		}
		limit = min(limit, model.Millis(asked))
	}
	c.deadline = c.start.Add(limit.Duration())
	return nil
}

// authenticate finds the customer of the key and removes the key.
func (c *call) authenticate() *refuse.Refusal {
	key := c.ctx.Request.Header.Peek(refuse.HeaderKey)
	if len(key) > 0 {
		c.digest = model.DigestOf(key)
	}
	c.ctx.Request.Header.Del(refuse.HeaderKey)
	if c.route.Open {
		return nil
	}
	if !c.gate.parts.Fresh() {
		return stale()
	}
	customer, ok := c.holder(c.snapshot)
	if !ok {
		return refuse.New(refuse.KindKey, refuse.NotRun, "the route needs a valid key in "+refuse.HeaderKey, "ask an operator for a key")
	}
	c.customer = customer
	return nil
}

func stale() *refuse.Refusal {
	return refuse.New(refuse.KindStale, refuse.NotRun, "this daemon may hold an old configuration", "retry, which may reach another daemon").After(limitRetry)
}

// holder returns the customer that may use the route with the caller's key.
func (c *call) holder(s *conf.Snapshot) (*model.Customer, bool) {
	customer, _, ok := s.Key(c.digest)
	if !ok || !c.route.Allows(customer.ID) {
		return nil, false
	}
	return customer, true
}

// recheck consults the newest configuration again, since the request may have
// waited: a key withdrawn in the meantime does not work any more.
func (c *call) recheck() *refuse.Refusal {
	if c.customer == nil {
		return nil
	}
	if !c.gate.parts.Fresh() {
		return stale()
	}
	now, ok := c.holder(c.gate.parts.Snapshot())
	if !ok || now.ID != c.customer.ID {
		return refuse.New(refuse.KindKey, refuse.NotRun, "the key was withdrawn", "ask an operator for a key")
	}
	if c.token.Valid() {
		return nil
	}
	if r := c.admit(); r != nil {
		return r
	}
	if !c.token.Valid() {
		return refuse.New(refuse.KindLimit, refuse.NotRun, "no token stayed valid until the request could be sent", "retry").After(limitRetry)
	}
	return nil
}

// admit takes a token of the customer's rate and burst.
func (c *call) admit() *refuse.Refusal {
	if c.customer == nil {
		return nil
	}
	wait := lazy.New(c.earliest(admitWait))
	defer wait.End()
	token, err := c.gate.parts.Limiter.Admit(wait, c.customer)
	if err == nil {
		c.token = token
		c.gate.usages.of(c.customer.ID).admitted.Add(1)
		return nil
	}
	if fault.Is(err, fault.Limited) {
		c.gate.usages.of(c.customer.ID).refused.Add(1)
		return refuse.New(refuse.KindLimit, refuse.NotRun, "the customer is above its rate and burst", "slow down").After(waitOf(err))
	}
	c.gate.log.Debug().Err(err).Str("customer", string(c.customer.ID)).Msg("limit not checked")
	return refuse.New(refuse.KindBusy, refuse.NotRun, "the customer's limit could not be checked", "retry").After(limitRetry)
}

// earliest returns the deadline, or the time after d if that comes first.
func (c *call) earliest(d time.Duration) time.Time {
	if t := time.Now().Add(d); t.Before(c.deadline) {
		return t
	}
	return c.deadline
}

// repeatable reports whether the request may be sent to a target again.
func (c *call) repeatable() bool {
	return c.route.Repeatable(string(c.ctx.Method()))
}

// record claims a request that may not be repeated before any byte is sent.
func (c *call) record() *refuse.Refusal {
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
	ctx, cancel := context.WithDeadline(context.Background(), c.earliest(claimWait))
	defer cancel()
	claim, err := c.gate.parts.Claims.Begin(ctx, id, string(key), c.fingerprint())
	if err == nil {
		c.claim = claim
		return nil
	}
	if fault.Is(err, fault.Kind(refuse.KindUnclaimed)) && c.route.Outage == model.OutageForward {
		return nil
	}
	return claimRefusal(err)
}

// fingerprint identifies the request's content, so that an idempotency key is
// not taken for that of another request.
func (c *call) fingerprint() model.Digest {
	r := &c.ctx.Request
	return model.DigestOf(bytes.Join([][]byte{r.Header.Method(), r.Header.RequestURI(), r.Body()}, []byte{0}))
}

// giveUp returns the token and the claim of a request that was not run. If the
// claim cannot be released, a repeat would be refused as open, so the refusal
// does not say "not run".
func (c *call) giveUp(r *refuse.Refusal) *refuse.Refusal {
	if c.sent {
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
	ctx, cancel := context.WithTimeout(context.Background(), claimWait)
	defer cancel()
	if err := c.claim.Release(ctx); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("claim of a request that was not run stays open")
		return refuse.New(refuse.KindOpen, refuse.Unknown, r.Message+"; its claim could not be released", "ask an operator before sending it with a new "+refuse.HeaderIdempotency)
	}
	return r
}
