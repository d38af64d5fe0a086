// Package quota enforces the customers' rates and bursts over the whole fleet:
// no customer gets more than burst + rate*t admissions in any window of
// length t, whichever daemons and regions its requests enter at.
//
// In each region one daemon owns the token buckets of a shard of customers.
// The other daemons request grants of tokens from it, which are valid for
// GrantLifetime. The owner keeps tokens + outstanding <= the region's share of the
// burst; a token is outstanding until it is reported as spent or returned, or
// its grant expires. The requesting daemon counts a grant's validity from the
// time at which it sent the token request and the owner from its decision, so
// a grant always expires later at the owner.
//
// The regions' shares of a customer's rate and burst are stored per shard and
// follow the demand (package share). An owner whose region needs a larger share
// sends a ShareRequest to the owners in the other regions.
//
// Package tokens is the requesting side.
//
// # Usage
//
//	owner := quota.NewOwner("north", regions, table, customers, platform, peers)
//	... run owner.Run(ctx)
//
//	// In the handler of token requests, which other daemons' token caches send:
//	g, err := owner.Grant(ctx, request)
//	return quota.AnswerOf(g, err)
//
//	// In the handler of share requests of the shard's owners in other regions:
//	owner.HandleShareRequest(request)
//
// Answer transports a result with the kind of a refusal:
//
//	g, err := answer.Result()
//	if fault.Is(err, fault.KindLimited) {
//		retryAfter(quota.WaitOf(err))
//	}
package quota

import (
	"context"
	"errors"
	"math"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/share"
)

const (
	// GrantLifetime is the validity of a grant, counted by the requesting daemon from
	// the time at which it sent the token request.
	GrantLifetime = 500 * time.Millisecond
	// OwnerLifetime is the validity of a grant at its owner, counted from the owner's
	// decision. It is 1% longer than GrantLifetime, so that clock drift cannot make a
	// grant expire at the owner first.
	OwnerLifetime = GrantLifetime + GrantLifetime/100
	// clockMargin is the fraction of the rate by which the refill is reduced, so
	// that an owner whose clock is up to 500 ppm fast cannot exceed the rate.
	clockMargin = 500e-6
	// maxGrantFraction is the largest fraction of a bucket's burst in one grant.
	// Larger grants to one daemon would stop the refill until they are reported.
	maxGrantFraction = 0.25
	// promptReportFraction is the fraction of a burst that may be outstanding
	// before the owner requests prompt reports.
	promptReportFraction = 0.5
)

// NotOwner is the kind of a refusal by a daemon that does not own the shard.
const NotOwner fault.Kind = "not-owner"

// Origin identifies one run of a daemon that requests tokens.
type Origin struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Region      model.Region      `cbor:"3,keyasint"`
}

// TokenRequest is a token request to the owner of a customer's shard. It also reports on
// earlier grants.
type TokenRequest struct {
	From     Origin           `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"` // increases within an incarnation
	Customer model.CustomerID `cbor:"3,keyasint"`
	Tokens   int              `cbor:"4,keyasint,omitempty"` // tokens; 0 sends only reports
	Requests int              `cbor:"5,keyasint,omitempty"` // requests since the last token request, for the region's demand
	Reports  []Report         `cbor:"6,keyasint,omitempty"`
}

// Report states how a grant's tokens were used. The counts are totals since the
// grant, so a report that arrives twice or out of order has no further effect.
type Report struct {
	Grant    uint64 `cbor:"1,keyasint"`
	Spent    int    `cbor:"2,keyasint,omitempty"`
	Returned int    `cbor:"3,keyasint,omitempty"`
}

// Grant allows N admissions within Valid, counted from the time at which the
// TokenRequest was sent. The zero Grant has no tokens.
type Grant struct {
	ID     uint64       `cbor:"1,keyasint"`
	N      int          `cbor:"2,keyasint"`
	Valid  model.Millis `cbor:"3,keyasint"`
	Prompt bool         `cbor:"4,keyasint,omitempty"` // report spent tokens at once, because much of the burst is outstanding
}

// TokenClient sends a TokenRequest to the owner of a shard in a region. Errors of the kinds
// fault.KindLimited, fault.KindConflict and fault.KindMissing are answers of the owner.
// Any other means that the owner was not reached; NotOwner is the answer of a daemon that
// does not own the shard.
type TokenClient interface {
	RequestTokens(ctx context.Context, region model.Region, shard model.Shard, t TokenRequest) (Grant, error)
}

// OwnerTable reports which daemons own the shards of a region. Holds is true only
// while this daemon owns the shard; Owner returns the last known owner. A table
// may also have the method Term(model.Shard) uint64, whose result changes with
// each acquisition. With it an Owner keeps its buckets after a pause of the
// process that did not outlast the lease.
type OwnerTable interface {
	Holds(s model.Shard) bool
	Owner(s model.Shard) (model.HostID, bool)
}

// ShareRequest is a share request to the owner of the same shard in another region.
type ShareRequest = share.Request

// Refusal is the error of Owner.Grant and tokens.Cache.Admit. It unwraps to a typed fault.
type Refusal struct {
	Wait  time.Duration // time until a token is expected, for fault.KindLimited
	Owner model.HostID  // last known owner of the shard or "", for NotOwner
	err   error
}

// Error returns the message and the remedy.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the typed fault.
func (r *Refusal) Unwrap() error { return r.err }

// WaitOf returns the Wait of a Refusal, or 0 for other errors.
func WaitOf(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Wait
	}
	return 0
}

// OwnerOf returns the Owner of a Refusal, or "" for other errors.
func OwnerOf(err error) model.HostID {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Owner
	}
	return ""
}

func errNotOwner(owner model.HostID) error {
	return &Refusal{Owner: owner, err: fault.New(NotOwner, "this daemon does not own the customer's shard", "ask the shard's owner")}
}

func refusal(kind fault.Kind, message, remedy string) error {
	return &Refusal{err: fault.New(kind, message, remedy)}
}

// Limited returns the Refusal for a customer without tokens. wait is the time
// until a token is expected.
func Limited(wait time.Duration) error {
	return &Refusal{Wait: wait, err: fault.New(fault.KindLimited, "the customer's rate is used up", "retry after "+wait.Round(time.Millisecond).String())}
}

// Unreachable returns the Refusal for a request whose limits could not be checked
// because no owner answered. cause may be nil.
func Unreachable(cause error) error {
	const message, remedy = "no owner of the customer's limits was reached; the request did not run", "retry after a delay"
	if cause == nil {
		return refusal(fault.KindUnavailable, message, remedy)
	}
	return refusal(fault.KindUnavailable, message+": "+cause.Error(), remedy)
}

// Answer is the wire form of the result of Owner.Grant.
type Answer struct {
	Grant Grant        `cbor:"1,keyasint"`
	Kind  fault.Kind   `cbor:"2,keyasint,omitempty"` // "" for a grant
	Wait  model.Millis `cbor:"3,keyasint,omitempty"`
	Owner model.HostID `cbor:"4,keyasint,omitempty"`
}

// AnswerOf returns the wire form of the result of Owner.Grant. The wait is rounded
// up to whole milliseconds.
func AnswerOf(g Grant, err error) Answer {
	if err == nil {
		return Answer{Grant: g}
	}
	wait := math.Ceil(float64(WaitOf(err)) / float64(time.Millisecond))
	return Answer{Kind: fault.KindOf(err), Wait: model.Millis(wait), Owner: OwnerOf(err)}
}

// Result returns the grant or the refusal that the answer carries. A refusal
// keeps its kind, but not its message.
func (a Answer) Result() (Grant, error) {
	switch a.Kind {
	case "":
		return a.Grant, nil
	case NotOwner:
		return Grant{}, errNotOwner(a.Owner)
	case fault.KindLimited:
		return Grant{}, Limited(a.Wait.Duration())
	default:
		return Grant{}, refusal(a.Kind, "the owner refused the token request", "check that both daemons have the same configuration")
	}
}

func millis(d time.Duration) model.Millis { return model.Millis(d / time.Millisecond) }
