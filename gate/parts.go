package gate

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
)

// Token is the admission of one request within its customer's limits.
type Token interface {
	// Commit reports whether the request may run. It is called immediately before
	// the request is written to a target and commits the token as spent.
	Commit() bool
	// Cancel returns the token of a request that will not be sent.
	Cancel()
}

// Limiter admits requests within the customers' fleet-wide limits. The error of
// Admit has the kind fault.KindLimited if the customer exceeds its limits.
type Limiter interface {
	Admit(ctx context.Context, c *model.Customer) (Token, error)
}

// Claim is the right to run one request that may not be repeated.
type Claim interface {
	// Done records that the request was run and the HTTP status of its answer.
	Done(ctx context.Context, status int) error
	// Release ends the claim of a request that was certainly not run, so that it
	// may be sent again.
	Release(ctx context.Context) error
	// Abandon leaves the claim open, because the request may have been run. A
	// repeat is then refused.
	Abandon(ctx context.Context) error
}

// Claims records requests that may not be repeated before they are sent. key is
// the caller's idempotency key. The errors of Begin have the kinds unclaimed, open,
// done and mismatch; in each case this call did not run the request.
type Claims interface {
	Begin(ctx context.Context, id model.CustomerID, key string, fingerprint model.Digest) (Claim, error)
}

// Queues schedules the requests of each pool.
type Queues interface {
	// Acquire waits for a permit to use the pool. The caller must call release
	// exactly once, unless there is an error.
	Acquire(ctx context.Context, pool model.PoolID, c *model.Customer, deadline time.Time) (release func(), err error)
}

// Picker chooses targets. Pick reserves a slot of the chosen target; the channel
// of SlotFreed is closed when a slot of the pool becomes free. Package pick
// implements it.
type Picker interface {
	Pick(request pick.Request) (*pick.Slot, error)
	SlotFreed(id model.PoolID) <-chan struct{}
}

// Exchanger sends one request to one target. Stream returns when the header of the
// answer is received or the exchange has failed, and calls done once at the end
// of the exchange. Package exch implements it.
type Exchanger interface {
	Stream(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response, done func(exch.Outcome)) exch.Outcome
}

// ExchangeResult is the result of one exchange as evidence about its target.
type ExchangeResult struct {
	Pool     model.PoolID
	Target   model.TargetID
	Customer model.CustomerID
	Route    model.RouteID
	Outcome  exch.Outcome
	Elapsed  time.Duration // until the end of the exchange, or until it was counted as stalled
}

// Dependencies are the dependencies of a Gate. All are required.
type Dependencies struct {
	Snapshot    func() *conf.Snapshot // returns nil before the first configuration
	ConfigFresh func() bool           // reports whether the configuration is recent enough to accept keys
	Limiter     Limiter
	Claims      Claims
	Queues      Queues
	Picker      Picker
	Exchanger   Exchanger
	Observe     func(ExchangeResult)
}
