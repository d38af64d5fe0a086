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
	// Valid is asked immediately before the request is written to a target. The
	// token counts as spent from then on.
	Valid() bool
	// Cancel gives back a token whose request will not be sent.
	Cancel()
}

// Limiter admits requests within the customers' fleet-wide limits.
type Limiter interface {
	Admit(ctx context.Context, c *model.Customer) (Token, error)
}

// Claim is the right to run one request that may not be repeated.
type Claim interface {
	// Done records that the request was run and how it was answered.
	Done(ctx context.Context, status int) error
	// Release gives up the claim of a request that was certainly not run.
	Release(ctx context.Context) error
	// Abandon leaves the claim open, since the request may have been run.
	Abandon(ctx context.Context) error
}

// Claims records requests that may not be repeated before they are sent. The
// errors of Begin have the kinds unclaimed, open, done and mismatch; the
// request was not run.
type Claims interface {
	Begin(ctx context.Context, id model.CustomerID, key string, fingerprint model.Digest) (Claim, error)
}

// Queues schedules the requests of each pool.
type Queues interface {
	// Enter waits for capacity; the release function is called once at the end.
	Enter(ctx context.Context, pool model.PoolID, c *model.Customer, deadline time.Time) (release func(), err error)
}

// Picker chooses targets. Package pick implements it.
type Picker interface {
	Pick(need pick.Need) (*pick.Hold, error)
	Free(id model.PoolID) <-chan struct{}
}

// Exchanger sends one request to one target. Package exch implements it.
type Exchanger interface {
	Stream(ctx context.Context, t *model.Target, req *fasthttp.Request, resp *fasthttp.Response, done func(exch.Outcome)) exch.Outcome
}

// Sample is what one exchange says about a target.
type Sample struct {
	Pool     model.PoolID
	Target   model.TargetID
	Customer model.CustomerID
	Route    model.RouteID
	Outcome  exch.Outcome
	Elapsed  time.Duration // until the end of the exchange
}

// Parts are the services that the gate brings together.
type Parts struct {
	Snapshot func() *conf.Snapshot // nil before the first configuration
	Fresh    func() bool           // whether keyed routes may be served
	Limiter  Limiter
	Claims   Claims
	Queues   Queues
	Picker   Picker
	Exchange Exchanger
	Observe  func(Sample)
}
