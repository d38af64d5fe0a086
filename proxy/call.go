package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/refuse"
)

const (
	// shortRetryDelay is the Retry-After if another daemon may serve the request at
	// once or no target could be reached, and the minimum after a rate limit's refusal.
	shortRetryDelay = 100 * time.Millisecond
	// limitMessage is the message of a rate limit's refusal.
	limitMessage = "the customer is above its rate and burst"
	// defaultMaxBodyBytes is the maximum request body of a route without a limit.
	defaultMaxBodyBytes = 64 << 20
)

// call is the state of one request of a caller.
type call struct {
	proxy     *Proxy
	request   *http.Request
	id        string
	start     time.Time
	deadline  time.Time
	snapshot  *conf.Snapshot
	host      string // lower case, without port
	path      string // without query
	route     *model.Route
	pool      model.PoolID
	customer  *model.Customer // nil on open routes without a valid key
	hasKey    bool            // the request carries a key
	keyDigest model.Digest
	regions   []model.Region // regions whose targets may get the request; nil: all
	body      budget.Segments
	memory    *budget.Holder // of the body and of the connection to the target
	bodyUsers atomic.Int32   // the call and its exchanges; the last one releases memory

	admitted   bool // a token of the customer's limit was consumed
	sends      int  // sends for which bytes were written to the target
	tried      []model.TargetID
	mayHaveRun bool   // a target may have run the request
	lastClass  string // result class of the last exchange
}

func newCall(p *Proxy, r *http.Request) *call {
	return &call{proxy: p, request: r, id: r.Header.Get(p.deps.Protocol.Request), start: caller.Arrival(r.Context())}
}

// steps precede the sending of a request, in this order. They are not built for each
// request, since a larger frame of serve makes the stack of each handler grow once more.
var steps = [...]func(*call) *response{
	(*call).resolveRoute, (*call).refuseInStop, (*call).authenticate, (*call).refuseWithoutRegion, (*call).readBody,
	(*call).awaitTurn, (*call).refuseInStop, (*call).refuseLate, (*call).admit,
}

// serve returns the response, or nil if the caller closed the connection. A request
// that was refused without a byte sent to a target gives its token of the
// customer's limit back.
func (c *call) serve() *response {
	c.bodyUsers.Store(1)
	defer c.dropBody()
	for _, step := range steps {
		if resp := step(c); resp != nil {
			return resp
		}
	}
	resp := c.run()
	if c.admitted && c.sends == 0 && !c.mayHaveRun && resp != nil {
		c.proxy.deps.Limiter.Cancel(c.customer)
	}
	return resp
}

// resolveRoute selects the route and pool and sets the deadline. It refuses requests
// without a request ID.
func (c *call) resolveRoute() *response {
	c.snapshot = c.proxy.deps.Snapshot()
	if c.snapshot == nil {
		return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "this daemon has no configuration yet", "retry"), shortRetryDelay)
	}
	if outdated := c.proxy.deps.ConfigOutdated; outdated != nil && outdated() {
		return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "a newer configuration is due on this daemon", "retry, which may reach another daemon"), shortRetryDelay)
	}
	if c.id == "" {
		return refusal(refuse.New(refuse.KindBad, refuse.NotRun, "the request has no "+c.proxy.deps.Protocol.Request, "send an id"), 0)
	}
	host := strings.ToLower(c.request.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	c.host, c.path = host, path
	route, ok := c.snapshot.Route(host, path)
	if !ok {
		return c.refuseUnlessStale(refuse.New(refuse.KindRoute, refuse.NotRun, "no route matches the host and path", "check the URL"))
	}
	c.route, c.pool = route, selectPool(route, rand.Float64)
	timeout := route.Timeout().Duration()
	if value := c.request.Header.Get(c.proxy.deps.Protocol.Deadline); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 64)
		if err != nil || milliseconds <= 0 {
			return refusal(refuse.New(refuse.KindBad, refuse.NotRun, c.proxy.deps.Protocol.Deadline+" is not a positive number of milliseconds", "correct or remove the header"), 0)
		}
		timeout = min(timeout, time.Duration(milliseconds)*time.Millisecond)
	}
	c.deadline = c.start.Add(timeout)
	return nil
}

// refuseInStop refuses a request that may not end before the planned stop does. Another
// daemon can serve it at once.
func (c *call) refuseInStop() *response {
	answerBy := c.proxy.answerBy.Load()
	if answerBy == nil || !c.deadline.After(*answerBy) {
		return nil
	}
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "this daemon stops", "retry, which may reach another daemon"), shortRetryDelay)
}

// refuseLate refuses a request that waited for its body or for earlier requests of its
// connection until a target could hardly serve it in time.
func (c *call) refuseLate() *response {
	seconds, _ := c.proxy.requestStats.get(c.route)
	needed := min(time.Duration(seconds*float64(time.Second)), c.deadline.Sub(c.start)) / 2
	if time.Until(c.deadline) > needed {
		return nil
	}
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "too little time is left", "allow more time, or use another connection"), shortRetryDelay)
}

// awaitTurn delays a request that must not be repeated until all earlier ones of its
// connection were answered. If the connection ends before, the caller takes this one as
// not run.
func (c *call) awaitTurn() *response {
	if c.route.Repeatable(c.request.Method) {
		return nil
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	if caller.AwaitTurn(ctx) == nil || c.request.Context().Err() != nil {
		return nil // run detects that the caller closed the connection
	}
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "the earlier requests of the connection took too long", "retry on another connection"), shortRetryDelay)
}

// refuseUnlessStale returns the refusal, or a retryable one if this daemon's
// configuration may be too old to contain the route.
func (c *call) refuseUnlessStale(r *refuse.Refusal) *response {
	if c.keysExpired() {
		return staleRefusal()
	}
	return refusal(r, 0)
}

func staleRefusal() *response {
	return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "this daemon may hold an old configuration", "retry, which may reach another daemon"), shortRetryDelay)
}

// selectPool returns the pool for one request, by the weights of a split route. Random returns
// a number from 0 to less than 1.
func selectPool(r *model.Route, random func() float64) model.PoolID {
	var sum model.Weight
	for _, p := range r.Split {
		sum += p.Weight
	}
	if sum == 0 {
		return r.Pool
	}
	chosen, remaining := r.Pool, model.Weight(random())*sum
	for _, p := range r.Split {
		if p.Weight == 0 {
			continue
		}
		chosen = p.Pool // the last one also gets what rounding leaves
		if remaining < p.Weight {
			break
		}
		remaining -= p.Weight
	}
	return chosen
}

// authenticate sets the customer of the request's key. On an open route, a request
// without a valid key passes without a customer. A request with a key is refused on
// every route while the configuration may be too old: another customer may hold the
// key, and the route may no longer be open.
func (c *call) authenticate() *response {
	key, ok := c.proxy.deps.Protocol.ParseKey(c.request.Header.Get(c.proxy.deps.Protocol.Key))
	if ok {
		c.hasKey, c.keyDigest = true, model.DigestOf([]byte(key))
	}
	return c.resolveCustomer()
}

// resolveCustomer is authenticate with a known digest of the key.
func (c *call) resolveCustomer() *response {
	if (c.hasKey || !c.route.Open) && c.keysExpired() {
		return staleRefusal()
	}
	c.customer = c.keyHolder(c.snapshot)
	if c.customer == nil && !c.route.Open {
		return refusal(refuse.New(refuse.KindKey, refuse.NotRun, "the route needs a valid key", "ask an operator for a key"), 0)
	}
	return nil
}

// keysExpired reports whether the configuration may be too old to accept keys.
func (c *call) keysExpired() bool { return c.proxy.deps.ConfigAge() > c.proxy.deps.MaxKeyAge }

// keyHolder returns the customer that holds the request's key in a snapshot, or nil.
func (c *call) keyHolder(s *conf.Snapshot) *model.Customer {
	if !c.hasKey {
		return nil
	}
	if customer, _, known := s.Key(c.keyDigest); known {
		return customer
	}
	return nil
}

// recheckKey verifies before each send that the key still belongs to the same customer,
// or still to none on an open route, and that a route without a key is still open. It applies
// the regions of the newest configuration.
func (c *call) recheckKey() *response {
	newest := c.proxy.deps.Snapshot()
	if !c.hasKey {
		if newest != c.snapshot {
			if route, ok := newest.Route(c.host, c.path); ok && !route.Open {
				return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "the route is no longer open", "retry with a key"), shortRetryDelay)
			}
		}
		c.restrictRegions(newest, nil)
		return nil
	}
	if c.keysExpired() {
		return staleRefusal()
	}
	holder := c.keyHolder(newest)
	if holder == nil && c.customer == nil || holder != nil && c.customer != nil && holder.ID == c.customer.ID {
		c.restrictRegions(newest, holder)
		return nil
	}
	if c.route.Open {
		return refusal(refuse.New(refuse.KindStale, refuse.NotRun, "the holder of the key changed", "retry"), shortRetryDelay)
	}
	return refusal(refuse.New(refuse.KindKey, refuse.NotRun, "the key was withdrawn", "ask an operator for a key"), 0)
}

// maxBodyBytes returns the largest request body of the route.
func (c *call) maxBodyBytes() int64 {
	if c.route.MaxBodyBytes > 0 {
		return int64(c.route.MaxBodyBytes)
	}
	return defaultMaxBodyBytes
}

// readBody buffers the whole body, so that the request can be sent again. The memory for a
// body of known length is reserved before it is read, otherwise step by step.
func (c *call) readBody() *response {
	maxBytes := c.maxBodyBytes()
	if c.request.ContentLength > maxBytes {
		return tooLargeRefusal()
	}
	ctx, known := c.request.Context(), c.request.ContentLength
	// The header is held twice: as the caller's and as the target's request.
	needed := budget.ExchangeBytes + 2*caller.HeadBytes(ctx) + max(known, 0)
	large := known < 0 || known > budget.SmallHolder
	if large {
		needed += budget.SocketBytes
	}
	c.memory = budget.NewHolder(caller.Owner(ctx), budget.Bodies, func() { caller.CutBody(ctx) })
	if wait, ok := c.memory.Reserve(time.Now(), needed); !ok {
		return memoryRefusal(wait)
	}
	if known == 0 {
		return nil
	}
	caller.LimitBody(ctx, c.deadline, large)
	c.memory.Expect(time.Now(), true)
	var wait time.Duration
	body, err := budget.ReadAll(c.request.Body, known, maxBytes, func(n int64) error {
		var ok bool
		if wait, ok = c.memory.Reserve(time.Now(), n); !ok {
			return errNoMemory
		}
		return nil
	}, c.memory.Progress)
	c.memory.Expect(time.Now(), false)
	switch {
	case errors.Is(err, errNoMemory):
		return memoryRefusal(wait)
	case c.memory.Evicted():
		return memoryRefusal(shortRetryDelay)
	case c.request.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return nil // run detects that the caller closed the connection
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "the body did not arrive in time", "retry"), shortRetryDelay)
	case err != nil:
		return refusal(refuse.New(refuse.KindBad, refuse.NotRun, "the body cannot be read", "send a complete body"), 0)
	case body.Len() > maxBytes:
		return tooLargeRefusal()
	}
	c.body = body
	return nil
}

// errNoMemory ends the reading of a body for which there is no memory.
var errNoMemory = errors.New("memory is short")

func memoryRefusal(wait time.Duration) *response {
	return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "this host is short of memory", "retry, which may reach another daemon"), wait)
}

// dropBody ends one use of the request's body. The last one releases its memory.
func (c *call) dropBody() {
	if c.bodyUsers.Add(-1) == 0 && c.memory != nil {
		c.memory.Release()
	}
}

func tooLargeRefusal() *response {
	return refusal(refuse.New(refuse.KindLarge, refuse.NotRun, "the request body is above the limit", "send a smaller body"), 0)
}

// admit applies the customer's rate limit, except on open routes.
func (c *call) admit() *response {
	if c.customer == nil || c.route.Open {
		return nil
	}
	wait, ok := c.proxy.deps.Limiter.Admit(time.Now(), c.customer)
	if ok {
		c.admitted = true
		return nil
	}
	return refusal(refuse.New(refuse.KindLimit, refuse.NotRun, limitMessage, "slow down"), max(wait, shortRetryDelay))
}

// exchangeContext returns the context of the request's exchanges. It ends at the
// deadline or when the caller closes the connection, but outlives the handler.
// Stop detaches it from the caller.
func (c *call) exchangeContext() (ctx context.Context, cancel context.CancelFunc, stop func() bool) {
	ctx, cancel = context.WithDeadline(context.Background(), c.deadline)
	return ctx, cancel, context.AfterFunc(c.request.Context(), cancel)
}

// logRequest writes the log line of the request and updates its metrics.
func (c *call) logRequest(kind string, status int) {
	took := time.Since(c.start)
	c.proxy.metrics.latency.RecordDuration(took)
	c.proxy.metrics.scope.Tagged(map[string]string{"kind": kind}).Counter("requests").Inc(1)
	e := c.proxy.log.Info().Str("request", c.id).Str("outcome", kind).Int("status", status).Dur("took", took)
	if c.snapshot != nil {
		e = e.Uint64("version", uint64(c.snapshot.Version())).Dur("age", c.proxy.deps.ConfigAge())
	}
	if c.route != nil {
		e = e.Str("route", string(c.route.ID)).Str("pool", string(c.pool))
	}
	if c.customer != nil {
		e = e.Str("customer", string(c.customer.ID))
	}
	if len(c.tried) > 0 {
		e = e.Str("target", string(c.tried[len(c.tried)-1])).Int("tried", len(c.tried)).Str("last", c.lastClass)
	}
	e.Msg("request")
}
