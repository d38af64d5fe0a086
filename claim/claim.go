// Package claim lets a request that may not be repeated run at most once,
// whichever daemons it and its retries enter at. A claim is an object in the
// platform that is created before the first byte goes to a target. A claim
// whose outcome is not known stays open and blocks its key.
//
// # Usage
//
//	k := claim.New(platform, claim.WithDaemons(40))
//	t, err := k.Begin(ctx, customer, idempotencyKey, fingerprint)
//	if err != nil {
//		return err // the request has not run; the kind is Unclaimed, Open, Done or Mismatch
//	}
//	... send the request
//	switch outcome {
//	case whole:
//		err = k.Finish(ctx, t, claim.Result{State: claim.StateDone, Status: 201})
//	case notRun: // no byte was written, or the target shed the request
//		err = k.Finish(ctx, t, claim.Result{State: claim.StateReleased})
//		// after an error the refusal must say "unknown"
//	default:
//		err = k.Finish(ctx, t, claim.Result{State: claim.StateOpen})
//	}
//
// Every Begin that succeeds needs one Finish. The daemon that owns shard 0
// calls Sweep from time to time to delete claims past their retention.
package claim

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// The kinds of refusals of Begin. In each case this request has not run.
const (
	// Unclaimed marks a request whose claim could not be made.
	Unclaimed fault.Kind = "unclaimed"
	// Open marks a key whose earlier request runs or has an unknown outcome.
	Open fault.Kind = "open"
	// Done marks a key whose earlier request is done. StatusOf returns its status.
	Done fault.Kind = "done"
	// Mismatch marks a key that came before with a different request.
	Mismatch fault.Kind = "mismatch"
)

// State says how far a claimed request is.
type State string

// The states of claims.
const (
	// StateOpen means that the request may have run.
	StateOpen State = "open"
	// StateDone means that the target answered.
	StateDone State = "done"
	// StateReleased means that the request certainly did not run. It is not
	// stored: the claim is deleted.
	StateReleased State = "released"
)

// Retention is the time for which a key is remembered.
const Retention = 24 * time.Hour

// Record is the stored form of a claim.
type Record struct {
	Nonce       string       `cbor:"1,keyasint"`
	State       State        `cbor:"2,keyasint"`
	Status      int          `cbor:"3,keyasint,omitempty"` // HTTP status of a done request
	Fingerprint model.Digest `cbor:"4,keyasint"`
	Written     int64        `cbor:"5,keyasint"` // wall clock in Unix seconds, for the retention only
}

// Decode decodes and checks a record.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, fault.Invalid("claim", err.Error(), "check which program wrote the object")
	}
	if r.Nonce == "" || (r.State != StateOpen && r.State != StateDone) {
		return r, fault.Invalid("claim", "it has no nonce or an unknown state", "check which program wrote the object")
	}
	return r, nil
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Ticket is a claim that this daemon holds.
type Ticket struct {
	name    string
	version store.Version
	record  Record
}

// Result is the outcome of a claimed request.
type Result struct {
	State  State
	Status int // HTTP status, for StateDone
}

// Refusal is the error of Begin. It unwraps to a typed fault.
type Refusal struct {
	Status int // recorded status, for Done
	err    error
}

// Error returns the message with its remedy.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the typed fault.
func (r *Refusal) Unwrap() error { return r.err }

// StatusOf returns the status that a refusal of kind Done carries, or 0.
func StatusOf(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

func refuse(kind fault.Kind, message, remedy string) error {
	return &Refusal{err: fault.New(kind, message, remedy)}
}

func errOpen() error {
	return refuse(Open, "an earlier request with this Idempotency-Key runs or its outcome is unknown",
		"find out whether the earlier request took effect before sending it with a new key")
}

func errMismatch() error {
	return refuse(Mismatch, "this Idempotency-Key came before with a different request", "use a new key for each request")
}

func errDone(status int) error {
	return &Refusal{Status: status, err: fault.New(Done, "an earlier request with this Idempotency-Key is done",
		"do not send it again; use a new key for a new request")}
}

func errUnclaimed(cause string) error {
	return refuse(Unclaimed, "the request was not claimed and did not run: "+cause, "retry with the same Idempotency-Key after a delay")
}

// name returns the object name of a claim. It holds digests only: keys may be
// sensitive, and either part may contain any character.
func name(customer model.CustomerID, key string) string {
	return string(model.DigestOf([]byte(customer))) + "/" + string(model.DigestOf([]byte(key)))
}
