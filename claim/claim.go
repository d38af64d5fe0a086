// Package claim ensures that a request with an idempotency key runs at most
// once, even if its retries arrive at different daemons. A claim is an object in
// the platform that is created before the first byte of the request is sent to a
// target. While the outcome of the request is unknown, the claim stays open and
// blocks the key.
//
// # Usage
//
//	k := claim.New(platform, claim.WithDaemons(40))
//	claimed, err := k.Begin(ctx, customer, idempotencyKey, fingerprint)
//	if err != nil {
//		return err // the request has not run; the kind is KindUnclaimed, KindOpen, KindDone or KindMismatch
//	}
//	... send the request
//	switch outcome {
//	case whole:
//		err = k.Finish(ctx, claimed, claim.Result{State: claim.StateDone, Status: 201})
//	case notRun: // no byte was written, or the target shed the request
//		err = k.Finish(ctx, claimed, claim.Result{State: claim.StateReleased})
//		// if this fails, refuse the request with run "unknown"
//	default:
//		err = k.Finish(ctx, claimed, claim.Result{State: claim.StateOpen})
//	}
//
// Each successful Begin needs exactly one Finish. The daemon that owns shard 0
// calls Sweep about once a second to delete claims older than Retention.
//
// Each daemon calls Follow about once a second, with the latest era of the platform's store of which
// it has heard. If the store comes back from an older copy, the daemons write their latest claims
// again, and none is begun for some seconds on a daemon that knew the store before. A claim is lost if its daemon stops before that, or does not
// reach the store, and a daemon that starts right after the return does not wait.
package claim

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Kinds of the errors of Begin. In each case the request has not run.
const (
	// KindUnclaimed means that the claim could not be created.
	KindUnclaimed fault.Kind = "unclaimed"
	// KindOpen means that an earlier request with the key is running or has an
	// unknown outcome.
	KindOpen fault.Kind = "open"
	// KindDone means that an earlier request with the key was answered. StatusOf
	// returns the status of its answer.
	KindDone fault.Kind = "done"
	// KindMismatch means that the key was used before for a different request.
	KindMismatch fault.Kind = "mismatch"
)

// State is the state of a claimed request.
type State string

// The states of claims.
const (
	// StateOpen means that the request may have run.
	StateOpen State = "open"
	// StateDone means that the target answered.
	StateDone State = "done"
	// StateReleased means that the request certainly did not run. This state is
	// not stored: the claim is deleted instead.
	StateReleased State = "released"
)

// Retention is how long a key stays claimed after its claim was created.
const Retention = 24 * time.Hour

// Record is the stored form of a claim.
type Record struct {
	Nonce       string       `cbor:"1,keyasint"`
	State       State        `cbor:"2,keyasint"`
	Status      int          `cbor:"3,keyasint,omitempty"` // HTTP status, for StateDone
	Fingerprint model.Digest `cbor:"4,keyasint"`
	Created     int64        `cbor:"5,keyasint"` // creation by the wall clock in Unix seconds, for the retention only
}

// Decode decodes and validates a record. Its errors have the kind
// fault.KindInvalid.
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

// Encode returns the record in CBOR.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Claim is a claim that Begin created and that Finish ends.
type Claim struct {
	objectName string
	version    store.Version
	record     Record
}

// Result is the outcome of a claimed request.
type Result struct {
	State  State
	Status int // HTTP status, for StateDone
}

// Refusal is the error of Begin. It wraps a fault with one of the kinds
// KindUnclaimed, KindOpen, KindDone and KindMismatch.
type Refusal struct {
	Status int // HTTP status of the earlier request, for KindDone
	err    error
}

// Error returns the message with its remedy.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the fault.
func (r *Refusal) Unwrap() error { return r.err }

// StatusOf returns the HTTP status in a refusal of kind KindDone, or 0 for any other
// error.
func StatusOf(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

func newRefusal(kind fault.Kind, message, remedy string) error {
	return &Refusal{err: fault.New(kind, message, remedy)}
}

func errOpen() error {
	return newRefusal(KindOpen, "an earlier request with this Idempotency-Key runs or its outcome is unknown",
		"find out whether the earlier request took effect before sending it with a new key")
}

func errRestored() error {
	return newRefusal(KindUnclaimed, "the platform's store came back from an older copy, and claims are being written again", "send the request again after some seconds")
}

func errMismatch() error {
	return newRefusal(KindMismatch, "this Idempotency-Key came before with a different request", "use a new key for each request")
}

func errDone(status int) error {
	return &Refusal{Status: status, err: fault.New(KindDone, "an earlier request with this Idempotency-Key is done",
		"do not send it again; use a new key for a new request")}
}

func errUnclaimed(cause string) error {
	return newRefusal(KindUnclaimed, "the request was not claimed and did not run: "+cause, "retry with the same Idempotency-Key after a delay")
}

// objectName returns the name of a claim's object. It is made of digests because
// keys may be sensitive and both parts may contain any character.
func objectName(customer model.CustomerID, key string) string {
	return string(model.DigestOf([]byte(customer))) + "/" + string(model.DigestOf([]byte(key)))
}
