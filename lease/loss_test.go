package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

const cellSize = 19 // the usual size of a cell, which spans two failure domains

// killHosts kills n hosts at once, starting with the holders of all shards but
// shard 0. The holder of shard 0 is killed only if includeFirst is set.
func killHosts(w *world, n int, includeFirst bool) {
	first := w.nodes[w.holder(0)]
	if includeFirst {
		first.kill()
		n--
	}
	for s := range model.Shard(worldShards) {
		if i := w.holder(s); i >= 0 && w.nodes[i] != first && n > 0 {
			w.nodes[i].kill()
			n--
		}
	}
	for _, m := range w.nodes {
		if m != first && m.cancel != nil && n > 0 {
			m.kill()
			n--
		}
	}
}

// TestHalfLost guards against shards that stay vacant after the loss of a
// failure domain, which is half of the cell and includes all holders, while the
// platform is available. It also checks that fewer hosts than a takeover quorum
// do not take over.
func TestHalfLost(t *testing.T) {
	for _, n := range []int{10, cellSize - model.TakeoverQuorum(cellSize), cellSize - model.TakeoverQuorum(cellSize) + 1} {
		withHeldShardsInCell(t, cellSize, func(t *testing.T, w *world, _ *node) {
			killHosts(w, n, true)
			w.advance(15 * time.Second)
			for s := range model.Shard(worldShards) {
				must.EqOp(t, cellSize-n >= model.TakeoverQuorum(cellSize), w.holder(s) >= 0, must.Sprint(n, " lost, shard ", s))
			}
		})
	}
}

// TestHalfLostInOutage covers the loss of hosts while the platform is
// unavailable. It guards against a holder that continues after more than a third
// of the cell was lost, one that stops although an outage quorum is running, and
// two holders of one shard when the platform is available again, at several
// times after the loss.
func TestHalfLostInOutage(t *testing.T) {
	tolerated := cellSize - model.OutageQuorum(cellSize)
	for _, n := range []int{10, tolerated + 1, tolerated} {
		for _, outage := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
			withHeldShardsInCell(t, cellSize, func(t *testing.T, w *world, first *node) {
				w.mem.SetUnavailable(true)
				w.advance(30 * time.Second)
				killHosts(w, n, false)
				w.advance(outage)
				if outage > TTL {
					must.EqOp(t, n <= tolerated, first.keeper.Holds(0), must.Sprint(n, " lost"))
				}
				w.mem.SetUnavailable(false)
				w.advance(30 * time.Second)
				for s := range model.Shard(worldShards) {
					must.NotEqOp(t, -1, w.holder(s))
				}
			})
		}
	}
}
