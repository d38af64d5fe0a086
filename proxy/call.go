package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/refuse"
)

const (
	// soon is the Retry-After where another daemon may serve the request at once.
	soon = 100 * time.Millisecond
	// bodyLimit is the largest request body in bytes of a route without a limit.
	bodyLimit = 64 << 20
)

// call is one request on its way.
type call struct {
	proxy    *Proxy
	request  *http.Request
	id       string
	start    time.Time
	deadline time.Time
	snapshot *conf.Snapshot
	route    *model.Route
	pool     model.PoolID
	customer *model.Customer // nil on open routes without a key
	digest   model.Digest
	body     []byte

	admitted bool // a token of the customer's limit was taken
	sends    int  // sends of which the target got bytes
	tried    []model.TargetID
	maybe    bool   // a target may have run the request
	last     string // class of the last exchange
}

func newCall(p *Proxy, r *http.Request) *call {
	return &call{proxy: p, request: r, id: r.Header.Get(p.parts.Words.Request), start: time.Now()}
}

// serve returns the answer, or nil if the caller left.
func (c *call) serve() *answer {
	for _, step := range []func() *answer{c.find, c.authenticate, c.read, c.admit} {
		if a := step(); a != nil {
			return a
		}
	}
	a := c.run()
	if c.admitted && c.sends == 0 && !c.maybe && a != nil {
		c.proxy.parts.Limiter.Cancel(c.customer)
	}
	return a
}

// find looks up the route and the time that the request has.
func (c *call) find() *answer {
	c.snapshot = c.proxy.parts.Snapshot()
	if c.snapshot == nil {
		return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "this daemon has no configuration yet", "retry"), soon)
	}
	if c.id == "" {
		return refusal(refuse.New(refuse.KindBad, refuse.NotRun, "the request has no "+c.proxy.parts.Words.Request, "send an id"), 0)
	}
	host := strings.ToLower(c.request.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	route, ok := c.snapshot.Route(host, path)
	if !ok {
		return c.unsure(refuse.New(refuse.KindRoute, refuse.NotRun, "no route matches the host and path", "check the URL"))
	}
	c.route, c.pool = route, poolOf(route, rand.IntN)
	limit := route.Timeout().Duration()
	if value := c.request.Header.Get(c.proxy.parts.Words.Deadline); value != "" {
		left, err := strconv.ParseInt(value, 10, 64)
		if err != nil || left <= 0 {
			return refusal(refuse.New(refuse.KindBad, refuse.NotRun, c.proxy.parts.Words.Deadline+" is not a positive number of milliseconds", "correct or remove the header"), 0)
		}
		limit = min(limit, time.Duration(left)*time.Millisecond)
	}
	c.deadline = c.start.Add(limit)
	return nil
}

// unsure returns the refusal, or a milder one if this daemon may hold an old
// configuration in which the caller's route or key is missing.
func (c *call) unsure(r *refuse.Refusal) *answer {
	if c.proxy.parts.Age() > c.proxy.parts.KeyLimit {
		return stale()
	}
	return refusal(r, 0)
}

func stale() *answer {
	return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "this daemon may hold an old configuration", "retry, which may reach another daemon"), soon)
}

// poolOf returns the pool for one request, by the weights of a divided route.
func poolOf(r *model.Route, random func(int) int) model.PoolID {
	sum := 0
	for _, p := range r.Split {
		sum += p.Weight
	}
	if sum == 0 {
		return r.Pool
	}
	n := random(sum)
	for _, p := range r.Split {
		if n < p.Weight {
			return p.Pool
		}
		n -= p.Weight
	}
	return r.Pool
}

// authenticate finds the customer of the key.
func (c *call) authenticate() *answer {
	key, ok := c.proxy.parts.Words.KeyOf(c.request.Header.Get(c.proxy.parts.Words.Key))
	if ok {
		c.digest = model.DigestOf([]byte(key))
	}
	if c.route.Open {
		if customer, _, known := c.snapshot.Key(c.digest); ok && known {
			c.customer = customer
		}
		return nil
	}
	if c.proxy.parts.Age() > c.proxy.parts.KeyLimit {
		return stale()
	}
	customer, _, known := c.snapshot.Key(c.digest)
	if !ok || !known {
		return refusal(refuse.New(refuse.KindKey, refuse.NotRun, "the route needs a valid key", "ask an operator for a key"), 0)
	}
	c.customer = customer
	return nil
}

// recheck asks again, before each send, whether the key may still be used.
func (c *call) recheck() *answer {
	if c.customer == nil || c.route.Open {
		return nil
	}
	if c.proxy.parts.Age() > c.proxy.parts.KeyLimit {
		return stale()
	}
	now, _, known := c.proxy.parts.Snapshot().Key(c.digest)
	if !known || now.ID != c.customer.ID {
		return refusal(refuse.New(refuse.KindKey, refuse.NotRun, "the key was withdrawn", "ask an operator for a key"), 0)
	}
	return nil
}

// read reads the body, so that the request can be sent again.
func (c *call) read() *answer {
	limit := int64(bodyLimit)
	if c.route.Body > 0 {
		limit = int64(c.route.Body)
	}
	if c.request.ContentLength > limit {
		return large()
	}
	body, err := io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	switch {
	case c.request.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return nil // run notices that the caller left
	case err != nil:
		return refusal(refuse.New(refuse.KindBad, refuse.NotRun, "the body cannot be read", "send a complete body"), 0)
	case int64(len(body)) > limit:
		return large()
	}
	c.body = body
	return nil
}

func large() *answer {
	return refusal(refuse.New(refuse.KindLarge, refuse.NotRun, "the request body is above the limit", "send a smaller body"), 0)
}

// admit checks the customer's limit.
func (c *call) admit() *answer {
	if c.customer == nil || c.route.Open {
		return nil
	}
	wait, ok := c.proxy.parts.Limiter.Admit(c.start, c.customer)
	if ok {
		c.admitted = true
		return nil
	}
	return refusal(refuse.New(refuse.KindLimit, refuse.NotRun, "the customer is above its rate and burst", "slow down"), max(wait, soon))
}

// life returns the context of the request's exchanges: it ends at the deadline
// or when the caller leaves, but not when the handler returns.
func (c *call) life() (ctx context.Context, cancel context.CancelFunc, stop func() bool) {
	ctx, cancel = context.WithDeadline(context.Background(), c.deadline)
	return ctx, cancel, context.AfterFunc(c.request.Context(), cancel)
}

// note writes the request's line.
func (c *call) note(kind string, status int) {
	took := time.Since(c.start)
	c.proxy.meter.latency.RecordDuration(took)
	c.proxy.meter.scope.Tagged(map[string]string{"kind": kind}).Counter("requests").Inc(1)
	e := c.proxy.log.Info().Str("request", c.id).Str("outcome", kind).Int("status", status).Dur("took", took)
	if c.snapshot != nil {
		e = e.Uint64("version", uint64(c.snapshot.Version())).Dur("age", c.proxy.parts.Age())
	}
	if c.route != nil {
		e = e.Str("route", string(c.route.ID)).Str("pool", string(c.pool))
	}
	if c.customer != nil {
		e = e.Str("customer", string(c.customer.ID))
	}
	if len(c.tried) > 0 {
		e = e.Str("target", string(c.tried[len(c.tried)-1])).Int("tried", len(c.tried)).Str("last", c.last)
	}
	e.Msg("request")
}
