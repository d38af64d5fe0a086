package kern

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// probe records the order of stops and fails on request.
type probe struct {
	name  string
	stops *[]string
	err   error
}

func (p probe) Run(ctx context.Context) error {
	if p.err != nil {
		return p.err
	}
	<-ctx.Done()
	return nil
}

func (p probe) Stop(context.Context) error {
	*p.stops = append(*p.stops, p.name)
	return nil
}

// TestKernel guards against services that are found under a wrong name or
// type, go on after another one failed, or stop before those that use them.
func TestKernel(t *testing.T) {
	k, stops := New(), []string{}
	broken := errors.New("broken")
	must.NoError(t, Provide(k, "store", probe{name: "store", stops: &stops}))
	must.NoError(t, Provide(k, "gate", probe{name: "gate", stops: &stops, err: broken}))
	must.True(t, fault.Is(Provide(k, "gate", 1), fault.Conflict))
	_, err := Find[int](k, "gate")
	must.True(t, fault.Is(err, fault.KindInvalid))
	_, err = Find[probe](k, "none")
	must.True(t, fault.Is(err, fault.Missing))
	found, err := Find[probe](k, "store")
	must.NoError(t, err)
	must.EqOp(t, "store", found.name)
	must.ErrorIs(t, k.Run(t.Context()), broken)
	must.NoError(t, k.Stop(t.Context()))
	must.Eq(t, []string{"gate", "store"}, stops)
}
