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
	err := Wrap(Unavailable, cause, "the call failed", "retry")
	must.EqOp(t, "the call failed: connection refused; remedy: retry", err.Error())
	must.True(t, Is(err, Unavailable))
	must.EqOp(t, "retry", Remedy(err))
	must.ErrorIs(t, err, cause)

	outer := Wrap(Unknown, New(Conflict, "changed", "read again"), "write failed", "see the cause")
	must.True(t, Is(outer, Conflict))
	must.NoError(t, Wrap(Unknown, nil, "nothing", "none"))
	must.EqOp(t, Kind(""), KindOf(cause))
	must.False(t, Is(nil, ""))
}
