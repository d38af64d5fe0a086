package feed

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
)

// TestWriteBack guards against an accepted configuration that is lost, or replaced by another
// one of its version, when the platform's store comes back from an older copy.
func TestWriteBack(t *testing.T) {
	runCell(t, func(t *testing.T, ctx context.Context, f *fleet) {
		copied := f.mem.Copy()
		commit(t, f.mem, 2)
		commit(t, f.mem, 3)
		time.Sleep(time.Second)
		f.expect(t, 3)
		f.mem.SetUnavailable(true)
		time.Sleep(time.Second)
		f.mem.Restore(copied)
		f.mem.SetUnavailable(false)
		time.Sleep(4 * cell.Period)
		snapshot, _, err := conf.Load(ctx, f.mem)
		must.NoError(t, err)
		must.EqOp(t, 3, snapshot.Version())
		f.expect(t, 3)
		commit(t, f.mem, 4)
		time.Sleep(2*cell.Period + 100*time.Millisecond)
		f.expect(t, 4)
		f.start(ctx, "h0", "h1", "h2")
		time.Sleep(30 * time.Second)
		f.expect(t, 4)
	})
}
