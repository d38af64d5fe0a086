package feed

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/store"
)

// TestWriteBack guards against an accepted configuration that is lost with the store, or replaced.
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
		time.Sleep(3 * time.Second) // in which package claim relies on it
		for name, d := range f.daemons {
			must.EqOp(t, f.mem.Era(), d.member.Roster().Version.Era(), must.Sprint(name))
		}
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

// TestAcceptedRestored is TestAccepted with a store that comes back from older copies.
func TestAcceptedRestored(t *testing.T) {
	for seed := range uint64(6) {
		random, restores := rand.New(rand.NewPCG(seed, 37)), 0
		var copies []store.Copy
		violation, accepted, sizes := injectFaults(t, seed, false, func(f *fleet) {
			if copies = append(copies, f.mem.Copy()); random.IntN(80) == 0 {
				f.mem.SetUnavailable(true)
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				f.mem.Restore(copies[max(0, len(copies)-1-random.IntN(18))])
				f.mem.SetUnavailable(false)
				copies = []store.Copy{f.mem.Copy()}
				restores++
			}
		})
		must.EqOp(t, "", violation, must.Sprint("seed ", seed))
		must.Greater(t, 5, int(accepted))
		must.Greater(t, 2, len(sizes))
		must.Greater(t, 5, restores)
	}
}
