package fault

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// TestKinds guards against errors that lose their kind, remedy or cause when
// they are wrapped.
func TestKinds(t *testing.T) {
	cause := errors.New("connection refused")
	err := Wrap(KindUnavailable, cause, "the call failed", "retry")
	must.EqOp(t, "the call failed: connection refused; remedy: retry", err.Error())
	must.True(t, Is(err, KindUnavailable))
	must.EqOp(t, "retry", Remedy(err))
	must.ErrorIs(t, err, cause)

	outer := Wrap(KindUnknown, New(KindConflict, "changed", "read again"), "write failed", "see the cause")
	must.True(t, Is(outer, KindConflict))
	must.NoError(t, Wrap(KindUnknown, nil, "nothing", "none"))
	must.EqOp(t, Kind(""), KindOf(cause))
	must.False(t, Is(nil, ""))
}
