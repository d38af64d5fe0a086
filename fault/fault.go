// Package fault defines the typed error kinds of rhubarbdrift. The message of
// each error says what is wrong and names the remedy, so that an operator or a
// caller can act on it without reading the source.
//
// # Usage
//
//	if version != base {
//		return fault.New(fault.Conflict, "the configuration changed since the plan was made", "make a new plan")
//	}
//	...
//	if fault.Is(err, fault.Conflict) { ... }
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

// The kinds that several packages use. A package may define further ones.
const (
	// KindInvalid marks a value that fails its check.
	KindInvalid Kind = "invalid"
	// Conflict marks a change that was based on an older state.
	Conflict Kind = "conflict"
	// Missing marks something that does not exist.
	Missing Kind = "missing"
	// Unavailable marks an operation that certainly had no effect.
	Unavailable Kind = "unavailable"
	// Unknown marks an operation that may have taken effect.
	Unknown Kind = "unknown"
	// Denied marks a caller without the needed credential.
	Denied Kind = "denied"
	// Limited marks a request above a limit.
	Limited Kind = "limited"
	// Late marks an operation that ran out of time before it had an effect.
	Late Kind = "late"
)

// New returns an error of the kind with a message and a remedy.
func New(kind Kind, message, remedy string) error {
	return oops.Code(string(kind)).Hint(remedy).Errorf("%s; remedy: %s", message, remedy)
}

// Wrap returns an error that keeps err as its cause. Its kind is that of err
// if err is typed, and otherwise the given one.
func Wrap(kind Kind, err error, message, remedy string) error {
	if err == nil {
		return nil
	}
	return oops.Code(string(kind)).Hint(remedy).Wrap(fmt.Errorf("%s: %w; remedy: %s", message, err, remedy))
}

// Invalid returns an error about one field: what is wrong with it and the remedy.
func Invalid(field, problem, remedy string) error {
	return New(KindInvalid, fmt.Sprintf("%s: %s", field, problem), remedy)
}

// KindOf returns the kind of the innermost typed error, or "" for other errors.
func KindOf(err error) Kind {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return ""
	}
	kind, _ := o.Code().(string)
	return Kind(kind)
}

// Is reports whether err has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Remedy returns the remedy of err, or "" for other errors.
func Remedy(err error) string {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return ""
	}
	return o.Hint()
}
