// Package quota enforces the customers' rates and bursts over the whole fleet:
// no customer gets more than burst + rate*t admissions in any window of
// length t, whichever daemons and regions its requests enter at.
//
// In each region one daemon owns the token buckets of a shard of customers.
// The other daemons ask it for grants of tokens, which are valid for Lifetime.
// The owner keeps tokens + outstanding <= the region's share of the burst;
// a token is outstanding until it is reported spent, returned or expired. The
// asker counts a grant's validity from the time at which it sent its ask and
// the owner from its decision, so the owner's view always ends later.
//
// The regions' shares of a customer's rate and burst are stored per shard and
// follow the demand (package share).
//
// Package wallet is the asker's side.
//
// # Usage
//
//	owner := quota.NewOwner("north", regions, table, customers, platform, peers)
//	... run owner.Run(ctx)
//
//	// In the handler of asks, here of another daemon's wallet:
//	g, err := owner.Take(ctx, take)
//	return quota.AnswerOf(g, err)
//
//	// In the handler of wishes, of the same shard's owner in another region:
//	owner.Handle(wish)
//
// Answer keeps refusals typed on their way to the asker:
//
//	g, err := answer.Result()
//	if fault.Is(err, fault.Limited) {
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
	// Lifetime is the validity of a grant, counted by the asker from the time
	// at which it sent its ask.
	Lifetime = 500 * time.Millisecond
	// Longest is the validity of a grant as its owner counts it from its
	// decision: 1% more than Lifetime, so that clock drift cannot make the
	// owner's view end first.
	Longest = Lifetime + Lifetime/100
	// clockMargin is the part of the rate that is not refilled, so that an
	// owner's clock that is up to 500 ppm fast cannot exceed the rate.
	clockMargin = 500e-6
	// largestPart is the largest part of a bucket's burst in one grant. Larger
	// grants to one asker would stop the refill until they are reported.
	largestPart = 0.25
	// crowdedPart is the part of a burst that may be outstanding before the
	// owner asks for prompt reports.
	crowdedPart = 0.5
)

// NotOwner is the kind of a refusal by a daemon that does not own the shard.
const NotOwner fault.Kind = "not-owner"

// Origin identifies one run of an asking daemon.
type Origin struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Region      model.Region      `cbor:"3,keyasint"`
}

// Take asks the owner of a customer's shard for tokens and reports on earlier grants.
type Take struct {
	From     Origin           `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"` // increases within an incarnation
	Customer model.CustomerID `cbor:"3,keyasint"`
	Want     int              `cbor:"4,keyasint,omitempty"` // tokens; 0 only reports
	Seen     int              `cbor:"5,keyasint,omitempty"` // requests since the last ask, for the region's demand
	Reports  []Report         `cbor:"6,keyasint,omitempty"`
}

// Report says what became of a grant's tokens. The counts are totals since the
// grant, so a report that arrives twice or out of order has no further effect.
type Report struct {
	Grant    uint64 `cbor:"1,keyasint"`
	Spent    int    `cbor:"2,keyasint,omitempty"`
	Returned int    `cbor:"3,keyasint,omitempty"`
}

// Grant allows N admissions within Valid, counted from the time at which the
// asker sent its Take.
type Grant struct {
	ID     uint64       `cbor:"1,keyasint"`
	N      int          `cbor:"2,keyasint"`
	Valid  model.Millis `cbor:"3,keyasint"`
	Prompt bool         `cbor:"4,keyasint,omitempty"` // report spent tokens at once: the burst is nearly outstanding
}

// Asker carries a Take to the owner of the shard in a region. Errors of the
// kinds fault.Limited, fault.Conflict, fault.Missing and NotOwner are the
// owner's; any other means that the owner was not reached.
type Asker interface {
	Ask(ctx context.Context, region model.Region, shard model.Shard, t Take) (Grant, error)
}

// Table tells which shards this daemon owns. A table that also has the method
// Term(model.Shard) uint64, which changes with each acquisition, lets a holder
// keep its buckets after a pause within its lease.
type Table interface {
	Holds(s model.Shard) bool
	Owner(s model.Shard) (model.HostID, bool)
}

// Wish tells the owner of the same shard in another region what this region needs.
type Wish = share.Wish

// Refusal is the error of Take and Admit. It unwraps to a typed fault.
type Refusal struct {
	Wait  time.Duration // after which a token is expected, for fault.Limited
	Owner model.HostID  // the shard's owner as far as known, for NotOwner
	err   error
}

// Error returns the message with its remedy.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the typed fault.
func (r *Refusal) Unwrap() error { return r.err }

// WaitOf returns the time to wait that a refusal names, or 0.
func WaitOf(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Wait
	}
	return 0
}

// OwnerOf returns the owner that a refusal of kind NotOwner names, or "".
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

// Limited returns the refusal for a customer without tokens.
func Limited(wait time.Duration) error {
	return &Refusal{Wait: wait, err: fault.New(fault.Limited, "the customer's rate is used up", "retry after "+wait.Round(time.Millisecond).String())}
}

// Unreached returns the refusal for a request whose limits could not be checked.
func Unreached(cause error) error {
	const message, remedy = "no owner of the customer's limits was reached; the request did not run", "retry after a delay"
	if cause == nil {
		return refusal(fault.Unavailable, message, remedy)
	}
	return refusal(fault.Unavailable, message+": "+cause.Error(), remedy)
}

// Answer is the transport form of the result of Owner.Take. It keeps refusals typed.
type Answer struct {
	Grant Grant        `cbor:"1,keyasint"`
	Kind  fault.Kind   `cbor:"2,keyasint,omitempty"` // "" for a grant
	Wait  model.Millis `cbor:"3,keyasint,omitempty"`
	Owner model.HostID `cbor:"4,keyasint,omitempty"`
}

// AnswerOf returns the transport form of the result of Owner.Take.
func AnswerOf(g Grant, err error) Answer {
	if err == nil {
		return Answer{Grant: g}
	}
	wait := math.Ceil(float64(WaitOf(err)) / float64(time.Millisecond))
	return Answer{Kind: fault.KindOf(err), Wait: model.Millis(wait), Owner: OwnerOf(err)}
}

// Result returns what Owner.Take returned.
func (a Answer) Result() (Grant, error) {
	switch a.Kind {
	case "":
		return a.Grant, nil
	case NotOwner:
		return Grant{}, errNotOwner(a.Owner)
	case fault.Limited:
		return Grant{}, Limited(a.Wait.Duration())
	default:
		return Grant{}, refusal(a.Kind, "the owner refused the ask", "check that both daemons have the same configuration")
	}
}

func millis(d time.Duration) model.Millis { return model.Millis(d / time.Millisecond) }
