package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

const cellSize = 19 // a cell of today; it spans two failure domains

// lose kills n hosts at once, with the holders of all shards but shard 0 first.
func lose(w *world, n int, all bool) {
	keep := w.nodes[w.holder(0)]
	if all {
		keep.kill()
		n--
	}
	for s := range model.Shard(worldShards) {
		if i := w.holder(s); i >= 0 && w.nodes[i] != keep && n > 0 {
			w.nodes[i].kill()
			n--
		}
	}
	for _, m := range w.nodes {
		if m != keep && m.cancel != nil && n > 0 {
			m.kill()
			n--
		}
	}
}

// TestHalfLost guards against shards that stay vacant after the loss of a
// failure domain, half of the cell, with all holders, while the platform is up.
// It also checks that too few hosts endorse no takeover.
func TestHalfLost(t *testing.T) {
	for _, n := range []int{10, cellSize - model.TakeoverQuorum(cellSize), cellSize - model.TakeoverQuorum(cellSize) + 1} {
		settledCell(t, cellSize, func(t *testing.T, w *world, _ *node) {
			lose(w, n, true)
			w.after(15 * time.Second)
			for s := range model.Shard(worldShards) {
				must.EqOp(t, cellSize-n >= model.TakeoverQuorum(cellSize), w.holder(s) >= 0, must.Sprint(n, " lost, shard ", s))
			}
		})
	}
}

// TestHalfLostInOutage guards against a holder that continues without the
// platform after more than a third of the cell was lost, against one that stops
// although an outage quorum is left, and against two holders when the platform
// comes back at any time after the loss.
func TestHalfLostInOutage(t *testing.T) {
	spare := cellSize - model.OutageQuorum(cellSize)
	for _, n := range []int{10, spare + 1, spare} {
		for _, back := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
			settledCell(t, cellSize, func(t *testing.T, w *world, first *node) {
				w.mem.SetUnavailable(true)
				w.after(30 * time.Second)
				lose(w, n, false)
				w.after(back)
				if back > TTL {
					must.EqOp(t, n <= spare, first.keeper.Holds(0), must.Sprint(n, " lost"))
				}
				w.mem.SetUnavailable(false)
				w.after(30 * time.Second)
				for s := range model.Shard(worldShards) {
					must.NotEqOp(t, -1, w.holder(s))
				}
			})
		}
	}
}
