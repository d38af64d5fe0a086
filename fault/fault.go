// Package fault defines typed errors. Each error has a kind for programs and a
// message that states the problem and the remedy, so that an operator or a
// caller can act on it without reading the source.
//
// # Usage
//
//	if version != base {
//		return fault.New(fault.KindConflict, "the configuration changed since the plan was made", "make a new plan")
//	}
//	...
//	if fault.Is(err, fault.KindConflict) { ... }
//	fmt.Println(fault.Remedy(err))
//
// Errors are built on samber/oops, which keeps the kind as the error's code
// and the remedy as its hint.
package fault

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Kind classifies an error for programs.
type Kind string

// Kinds that several packages share. A package may define further ones.
const (
	// KindInvalid marks a value that fails validation.
	KindInvalid Kind = "invalid"
	// KindConflict marks a change that is based on an outdated state, or a name that
	// is taken.
	KindConflict Kind = "conflict"
	// KindMissing marks something that does not exist.
	KindMissing Kind = "missing"
	// KindUnavailable marks an operation that certainly had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown marks a failed operation that may have taken effect nevertheless.
	KindUnknown Kind = "unknown"
	// KindDenied marks a call without the required credential.
	KindDenied Kind = "denied"
	// KindLimited marks a request that exceeds a limit.
	KindLimited Kind = "limited"
	// KindTimeout marks an operation whose time ran out before it had any effect.
	KindTimeout Kind = "late"
)

// New returns an error of the kind. Its text is the message followed by the
// remedy.
func New(kind Kind, message, remedy string) error {
	return oops.Code(string(kind)).Hint(remedy).Errorf("%s; remedy: %s", message, remedy)
}

// Wrap returns an error that wraps err, or nil if err is nil. A typed err keeps
// its kind and the remedy that Remedy returns; kind and remedy apply to other errors
// only. The text contains both remedies.
func Wrap(kind Kind, err error, message, remedy string) error {
	if err == nil {
		return nil
	}
	return oops.Code(string(kind)).Hint(remedy).Wrap(fmt.Errorf("%s: %w; remedy: %s", message, err, remedy))
}

// Invalid returns an error of KindInvalid about one field.
func Invalid(field, problem, remedy string) error {
	return New(KindInvalid, fmt.Sprintf("%s: %s", field, problem), remedy)
}

// KindOf returns the kind of the innermost typed error in err's chain, or "" if
// there is none. The package oops looks for the innermost code.
func KindOf(err error) Kind {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	kind, _ := typed.Code().(string)
	return Kind(kind)
}

// Is reports whether err is not nil and has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Remedy returns the remedy of the innermost typed error in err's chain, or ""
// if there is none.
func Remedy(err error) string {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Hint()
}
