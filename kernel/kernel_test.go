package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// fakeService records that it was stopped. Run returns err if it is set.
type fakeService struct {
	name  string
	stops *[]string
	err   error
}

func (f fakeService) Run(ctx context.Context) error {
	if f.err != nil {
		return f.err
	}
	<-ctx.Done()
	return nil
}

func (f fakeService) Stop(context.Context) error {
	*f.stops = append(*f.stops, f.name)
	return nil
}

// TestKernel guards against services that are found under a wrong name or type,
// keep running after another one failed, or are stopped before services that
// were registered later and use them.
func TestKernel(t *testing.T) {
	k, stops := New(), []string{}
	errFailed := errors.New("broken")
	must.NoError(t, Provide(k, "store", fakeService{name: "store", stops: &stops}))
	must.NoError(t, Provide(k, "gate", fakeService{name: "gate", stops: &stops, err: errFailed}))
	must.True(t, fault.Is(Provide(k, "gate", 1), fault.KindConflict))
	_, err := Find[int](k, "gate")
	must.True(t, fault.Is(err, fault.KindInvalid))
	_, err = Find[fakeService](k, "none")
	must.True(t, fault.Is(err, fault.KindMissing))
	found, err := Find[fakeService](k, "store")
	must.NoError(t, err)
	must.EqOp(t, "store", found.name)
	must.ErrorIs(t, k.Run(t.Context()), errFailed)
	must.NoError(t, k.Stop(t.Context()))
	must.Eq(t, []string{"gate", "store"}, stops)
}
