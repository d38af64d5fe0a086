package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/store"
)

// TestRestoredLease guards against a holder that stops since an older copy has an older lease.
func TestRestoredLease(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		for _, age := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
			term, copied := first.keeper.Term(0), w.mem.Copy()
			w.advance(age)
			w.mem.Restore(copied)
			for range 200 {
				w.advance(100 * time.Millisecond)
				must.True(t, first.keeper.Holds(0), must.Sprint(age))
			}
			must.EqOp(t, term, first.keeper.Term(0))
		}
	})
}

// TestRestoredRelease guards against a second holder of a lease that is released in an older copy.
func TestRestoredRelease(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		must.NoError(t, first.keeper.Release(t.Context()))
		copied := w.mem.Copy()
		first.kill()
		w.advance(5 * time.Second)
		must.NotEqOp(t, -1, w.holder(0))
		first.start()
		w.advance(time.Second)
		w.mem.Restore(copied)
		w.advance(30 * time.Second)
		violation, vacant := w.outcome()
		test.EqOp(t, "", violation)
		test.EqOp(t, 0, vacant)
	})
}

// TestRestoredWorld guards against shards with two holders, or none, under faults. No daemon starts within 4 s of a restore.
func TestRestoredWorld(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 37))
				w := newWorld(t, correctPolicy, 5)
				defer w.stop()
				w.advance(10 * time.Second)
				copies := []store.Copy{w.mem.Copy()}
				for range 40 {
					n := w.nodes[random.IntN(len(w.nodes))]
					switch random.IntN(8) {
					case 0:
						if len(w.live()) > 3 {
							n.kill()
						}
					case 1:
						if n.cancel == nil {
							n.start()
						}
					case 2:
						n.pause()
					case 3:
						n.resume()
					case 4:
						w.mem.SetUnavailable(true)
						w.advance(time.Duration(random.IntN(4000)) * time.Millisecond)
						w.mem.Restore(copies[max(0, len(copies)-1-random.IntN(4))])
						w.mem.SetUnavailable(false)
						copies = []store.Copy{w.mem.Copy()}
						w.advance(2 * RenewalInterval)
					}
					copies = append(copies, w.mem.Copy())
					w.advance(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				for _, n := range w.nodes {
					n.resume()
					if n.cancel == nil {
						n.start()
					}
				}
				w.advance(30 * time.Second)
				violation, vacant := w.outcome()
				test.EqOp(t, "", violation)
				test.EqOp(t, 0, vacant)
			})
		})
	}
}
