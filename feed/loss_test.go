package feed

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// The number of hosts of a cell in today's fleet, and of those in the larger of its
// two failure domains.
const (
	cellSize = 19
	lostSize = 10
)

// memberCount returns the size of the roster that a daemon holds.
func (f *fleet) memberCount(name string) int { return len(f.daemons[name].member.Roster().Hosts) }

// waitFor waits until the condition holds, fails the test after the limit and
// returns how long it took.
func waitFor(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		must.Less(t, limit, time.Since(start), must.Sprint(description))
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%s: %v", description, time.Since(start))
	return time.Since(start)
}

// loseHosts runs a cell of 19 hosts that start together, stops n of them at once and
// calls after. If outage is set, the platform is unavailable from a minute before the
// stop. It also guards against a cell that takes seconds per host to form.
func loseHosts(t *testing.T, n int, outage bool, after func(t *testing.T, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		commit(t, f.mem, 1)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range cellSize {
			name := fmt.Sprint("h", i)
			f.mem.SetHost(store.Host{ID: model.HostID(name)})
			f.start(ctx, name)
		}
		waitFor(t, 20*time.Second, "the cell formed", func() bool {
			for name, d := range f.daemons {
				if f.memberCount(name) < cellSize || !d.member.Fresh() {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Minute)
		f.mem.SetUnavailable(outage)
		time.Sleep(time.Minute)
		f.expect(t, 1)
		for i := range n {
			name := fmt.Sprint("h", i)
			f.daemons[name].cancel()
			f.mem.RemoveHost(model.HostID(name))
			f.locked(func() { delete(f.daemons, name) })
		}
		after(t, ctx, f)
		cancel()
		f.group.Wait()
	})
}

// TestHalfLost guards against a cell that, after the loss of a failure domain and
// with the platform available, accepts no version in time, never removes the lost
// hosts from its roster or admits no new host.
func TestHalfLost(t *testing.T) {
	loseHosts(t, lostSize, false, func(t *testing.T, ctx context.Context, f *fleet) {
		commit(t, f.mem, 2)
		waitFor(t, 19*time.Second, "all accepted the version", func() bool {
			for _, d := range f.daemons {
				if !d.member.Accepted(2) {
					return false
				}
			}
			return true
		})
		for range 100 {
			f.expect(t, 2)
			time.Sleep(100 * time.Millisecond)
		}
		waitFor(t, 5*time.Minute, "the roster shrank", func() bool { return f.memberCount("h18") == cellSize-lostSize })
		f.mem.SetHost(store.Host{ID: "h0"})
		f.start(ctx, "h0")
		waitFor(t, time.Minute, "a replaced host joined", func() bool {
			return f.memberCount("h18") == cellSize-lostSize+1 && f.daemons["h0"].member.Fresh()
		})
		commit(t, f.mem, 3)
		waitFor(t, 19*time.Second, "the new host accepted a version", func() bool { return f.daemons["h0"].member.Accepted(3) })
	})
}

// TestHalfLostInOutage guards against daemons that serve keyed routes although
// fewer hosts than an outage quorum are left and the platform is unavailable, and
// against daemons that refuse them although an outage quorum is left.
func TestHalfLostInOutage(t *testing.T) {
	for _, n := range []int{lostSize, cellSize - model.OutageQuorum(cellSize) + 1, cellSize - model.OutageQuorum(cellSize)} {
		loseHosts(t, n, true, func(t *testing.T, _ context.Context, f *fleet) {
			time.Sleep(cell.FreshFor)
			for range 100 {
				for name, d := range f.daemons {
					must.EqOp(t, cellSize-n >= model.OutageQuorum(cellSize), d.member.Fresh(), must.Sprint(name))
				}
				time.Sleep(100 * time.Millisecond)
			}
			f.mem.SetUnavailable(false)
			time.Sleep(2*cell.Period + time.Second)
			f.expect(t, 1)
		})
	}
}
