package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/refuse"
)

// Query describes a request that is explained instead of sent.
type Query struct {
	Method string       `json:"method"`
	Host   string       `json:"host"`
	Path   string       `json:"path"`
	Digest model.Digest `json:"digest,omitempty"` // of the caller's key; empty: the request has none
	Bytes  int64        `json:"bytes,omitempty"`  // size of the body
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	Version      model.ConfigVersion `json:"version"`
	AgeMs        int64               `json:"ageMs"`             // of the configuration
	KeysAccepted bool                `json:"keysAccepted"`      // the configuration is young enough
	Refused      *RefusedConfig      `json:"refused,omitempty"` // a newer configuration that the host cannot use
	Route        model.RouteID       `json:"route,omitempty"`
	Customer     model.CustomerID    `json:"customer,omitempty"`
	Rank         int                 `json:"rank"`
	Regions      []model.Region      `json:"regions"` // allowed ones; null: all
	Limit        *limit.State        `json:"limit,omitempty"`
	Refusal      *RefusalReason      `json:"refusal,omitempty"` // before a pool is asked
	Pools        []PoolExplanation   `json:"pools,omitempty"`
}

// RefusedConfig is a configuration that a host cannot use.
type RefusedConfig struct {
	Version model.ConfigVersion `json:"version"` // 0: unknown
	Problem string              `json:"problem"` // names the field
}

// RefusalReason is a refusal with its Retry-After; most of these are spread at random.
type RefusalReason struct {
	Status       int    `json:"status"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"` // 0: none
}

// PoolExplanation is one pool that may get the request.
type PoolExplanation struct {
	Pool    model.PoolID              `json:"pool"`
	Weight  model.Weight              `json:"weight"` // 0: the route has no split
	Urgent  bool                      `json:"urgent"` // the request is of the pool's most urgent rank
	Targets []place.TargetExplanation `json:"targets"`
	Hedge   HedgeExplanation          `json:"hedge"`
	// Refusal is given if no target takes the request for certain.
	Refusal *RefusalReason `json:"refusal,omitempty"`
	// Possible is set if a cold or limited target may take the request although there is a
	// Refusal.
	Possible bool `json:"possible,omitempty"`
}

// HedgeExplanation tells whether a second send would be possible now.
type HedgeExplanation struct {
	Possible bool   `json:"possible"`
	AfterMs  int64  `json:"afterMs,omitempty"` // delay after which it would be considered
	Reason   string `json:"reason,omitempty"`  // why it is not possible
}

// explainer is implemented by limiters that can be asked without a change of their state.
type explainer interface {
	Explain(now time.Time, c *model.Customer) limit.State
	CanRetry(id model.PoolID, keepShare float64) bool
}

// explainedRequest is the id of a request that is explained.
const explainedRequest = "explain"

// Explain decides on a request as ServeHTTP does, without sending it or changing any state.
func (p *Proxy) Explain(q Query) Explanation {
	r := &http.Request{Method: q.Method, Host: q.Host, RequestURI: q.Path, Header: make(http.Header), ContentLength: q.Bytes}
	c := &call{proxy: p, request: r, id: explainedRequest, start: time.Now(), hasKey: q.Digest != "", keyDigest: q.Digest}
	e := Explanation{AgeMs: p.deps.ConfigAge().Milliseconds(), KeysAccepted: !c.keysExpired()}
	if p.deps.RefusedConfig != nil {
		e.Refused = p.deps.RefusedConfig()
	}
	e.Refusal = c.explainRefusal()
	if c.snapshot != nil {
		e.Version = c.snapshot.Version()
	}
	if c.route == nil {
		return e
	}
	e.Route, e.Rank, e.Regions = c.route.ID, c.rank(), c.regions
	if c.customer != nil {
		e.Customer = c.customer.ID
	}
	limits, _ := p.deps.Limiter.(explainer)
	if e.Refusal == nil && c.customer != nil && !c.route.Open && limits != nil {
		s := limits.Explain(c.start, c.customer)
		if s.RetryAfterMs > 0 {
			s.RetryAfterMs = max(s.RetryAfterMs, shortRetryDelay.Milliseconds())
		}
		e.Limit = &s
		if s.Admits <= 0 {
			e.Refusal = &RefusalReason{Status: http.StatusTooManyRequests, Kind: string(refuse.KindLimit), Message: limitMessage, RetryAfterMs: s.RetryAfterMs}
		}
	}
	if e.Refusal != nil && e.Limit == nil {
		return e
	}
	for _, destination := range destinations(c.route) {
		c.pool = destination.Pool
		e.Pools = append(e.Pools, c.explainPool(destination.Weight, limits))
	}
	return e
}

// destinations returns the pools that selectPool may select.
func destinations(r *model.Route) []model.SplitDestination {
	var list []model.SplitDestination
	for _, d := range r.Split {
		if d.Weight > 0 {
			list = append(list, d)
		}
	}
	if len(list) == 0 {
		return []model.SplitDestination{{Pool: r.Pool}}
	}
	return list
}

// explainRefusal returns the refusal before the limit and the targets are asked, or nil.
func (c *call) explainRefusal() *RefusalReason {
	for _, step := range []func(*call) *response{(*call).resolveRoute, (*call).refuseInStop, (*call).resolveCustomer} {
		if resp := step(c); resp != nil {
			return reasonOf(resp)
		}
	}
	c.restrictRegions(c.snapshot, c.customer)
	switch {
	case c.regions != nil && len(c.regions) == 0:
		return reasonOf(c.regionsResponse())
	case c.request.ContentLength > c.maxBodyBytes():
		return reasonOf(tooLargeRefusal())
	}
	return nil
}

// reasonOf returns the refusal that a response of this host holds.
func reasonOf(resp *response) *RefusalReason {
	var body refuse.Refusal
	// Both can be decoded, since this host wrote them; Retry-After may be absent.
	_ = json.NewDecoder(resp.body.Reader()).Decode(&body)
	seconds, _ := strconv.ParseFloat(resp.headers.Get("Retry-After"), 64)
	return &RefusalReason{Status: resp.status, Kind: resp.kind, Message: body.Message, RetryAfterMs: time.Duration(seconds * float64(time.Second)).Milliseconds()}
}

// explainPool explains the choice of a target in the pool of the call.
func (c *call) explainPool(weight model.Weight, limits explainer) PoolExplanation {
	balancer := c.proxy.deps.Balancer
	d := &dispatch{call: c}
	d.seconds, d.bytes = c.proxy.requestStats.get(c.route)
	criteria := d.criteria()
	x := balancer.Explain(c.start, criteria)
	e := PoolExplanation{Pool: c.pool, Weight: weight, Urgent: d.urgent(), Targets: x.Targets}
	certain, possible := x.Takes()
	if !certain {
		e.Possible = possible
		e.Refusal = reasonOf(d.noTargetResponse(balancer.Exclusion(c.start, &criteria)))
	}
	e.Hedge = d.explainHedge(&x, limits)
	return e
}

// explainHedge tells whether a second send would be possible after a first one now.
func (d *dispatch) explainHedge(x *place.Explanation, limits explainer) HedgeExplanation {
	if !d.repeatable() {
		return HedgeExplanation{Reason: "the request may not be repeated"}
	}
	bound, hedges := d.slowAfter(), d.proxy.deps.Hedges
	if hedges != nil && !hedges.Enabled() {
		return HedgeExplanation{Reason: "turned off"}
	}
	d.inFlight = 1
	sends := d.sendLimits()
	sends.tried = 1
	d.inFlight = 0
	delay, refused := bound, hedge.Allowed
	facts := hedge.Facts{AttemptsLeft: sends.allowed(false), Use: x.Use, Target: x.Spare}
	if hedges != nil {
		// The first question gives the delay, on which the remaining time depends.
		delay, _ = hedges.Explain(d.start, d.pool, d.latencyKey(), facts, bound)
	}
	sends.remaining -= delay
	facts.AttemptsLeft, facts.TimeLeft = sends.allowed(false), sends.remaining >= d.usualTime()
	switch {
	case hedges != nil:
		_, refused = hedges.Explain(d.start, d.pool, d.latencyKey(), facts, bound)
	case !facts.AttemptsLeft:
		refused = hedge.NoAttempt
	case !facts.TimeLeft:
		refused = hedge.NoTime
	case len(x.Targets) < 2:
		refused = hedge.NoTarget
	}
	if refused == hedge.Allowed && limits != nil && !limits.CanRetry(d.pool, hedgeReserve) {
		refused = hedge.OverBudget
	}
	e := HedgeExplanation{Possible: refused == hedge.Allowed, AfterMs: delay.Milliseconds()}
	if !e.Possible {
		e.Reason = refused.String()
	}
	return e
}
