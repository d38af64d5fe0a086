package lease

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// withHeldShards runs a scenario on a cell of five daemons whose shards are all
// held. First is the holder of shard 0. Rates are the clock errors of the nodes,
// repeated in order.
func withHeldShards(t *testing.T, scenario func(t *testing.T, w *world, first *node), rates ...float64) {
	withHeldShardsInCell(t, 5, scenario, rates...)
}

// withHeldShardsInCell is withHeldShards for a cell of any size.
func withHeldShardsInCell(t *testing.T, size int, scenario func(t *testing.T, w *world, first *node), rates ...float64) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, correctPolicy, size, rates...)
		defer w.stop()
		w.advance(10 * time.Second)
		i := w.holder(0)
		must.NotEqOp(t, -1, i)
		scenario(t, w, w.nodes[i])
	})
}

// TestKill guards against shards that stay vacant after a host failure, and
// against a takeover before the grants of the failed host have expired.
func TestKill(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		first.kill()
		w.advance(10 * time.Second)
		i := w.holder(0)
		must.NotEqOp(t, -1, i)
		must.NotEqOp(t, first, w.nodes[i])
		first.start()
		w.advance(time.Minute)
		must.EqOp(t, first, w.nodes[w.holder(0)]) // handed back to the best ranked member
	})
}

// TestPause guards against a daemon that resumes from a pause after its lease
// has expired and still uses the shard.
func TestPause(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		first.pause()
		w.advance(20 * time.Second)
		must.False(t, first.keeper.Holds(0))
		must.NotEqOp(t, -1, w.holder(0))
		first.resume()
		must.False(t, first.keeper.Holds(0))
		w.advance(10 * time.Second)
	})
}

// TestMute covers renewals that take effect but whose answers are lost. It
// guards against a holder that continues without an answer, and against a lease
// that is then never taken over.
func TestMute(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		first.SetLoseAnswers(true)
		w.advance(TTL + RenewalInterval)
		must.False(t, first.keeper.Holds(0))
		w.advance(20 * time.Second)
		must.NotEqOp(t, -1, w.holder(0))
	})
}

// TestOutage guards against shards that lose or change their holder while no
// daemon reaches the platform.
func TestOutage(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		term := first.keeper.Term(0)
		w.mem.SetUnavailable(true)
		for range 2 * 60 * 12 {
			w.advance(5 * time.Second)
			must.EqOp(t, first, w.nodes[w.holder(0)])
		}
		w.mem.SetUnavailable(false)
		w.advance(time.Minute)
		must.EqOp(t, term, first.keeper.Term(0)) // the same ownership throughout
	})
}

// TestPartialOutage guards against a holder without access to the platform that
// continues although a takeover quorum (two of five) has access, and against
// one that stops although there is no takeover quorum.
func TestPartialOutage(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		for _, n := range w.nodes {
			n.SetUnavailable(true)
		}
		w.advance(time.Minute)
		must.True(t, first.keeper.Holds(0))
		second := w.second(first) // four of five have no access
		second.SetUnavailable(false)
		w.advance(time.Minute)
		must.True(t, first.keeper.Holds(0))
		for _, n := range w.nodes {
			if n != first && n != second {
				n.SetUnavailable(false) // three of five have no access
				break
			}
		}
		w.advance(30 * time.Second)
		must.False(t, first.keeper.Holds(0))
		must.True(t, second.keeper.Holds(0))
	})
}

// TestRestartInOutage guards against members that restart during an outage and
// then endorse a takeover, or are missing from the outage quorum for more than
// a few seconds.
func TestRestartInOutage(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		w.mem.SetUnavailable(true)
		w.advance(time.Minute)
		for _, n := range w.nodes {
			if n != first {
				n.kill()
				w.advance(2 * time.Second)
				n.start()
				w.advance(10 * time.Second)
				must.True(t, first.keeper.Holds(0))
			}
		}
		first.kill() // its shard stays vacant until the platform is available
		w.advance(time.Minute)
		must.EqOp(t, -1, w.holder(0))
		w.mem.SetUnavailable(false)
		w.advance(30 * time.Second)
		must.NotEqOp(t, -1, w.holder(0))
	})
}

// TestLostAnswers guards against an ownership that ends, or that two daemons
// have, because the answer to a write was lost.
func TestLostAnswers(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		term := first.keeper.Term(0)
		for range 100 {
			w.mem.LoseNextAnswers(2)
			w.advance(3 * time.Second)
			must.EqOp(t, first, w.nodes[w.holder(0)])
		}
		must.EqOp(t, term, first.keeper.Term(0))
		first.kill()
		w.mem.LoseNextAnswers(3)
		w.advance(15 * time.Second)
		must.NotEqOp(t, -1, w.holder(0))
	})
}

// withDisplacedOwner runs a scenario in which the best ranked member of shard 0
// has just restarted and the second ranked one still holds the shard. It repeats
// this in steps of tickInterval over a renewal interval.
func withDisplacedOwner(t *testing.T, scenario func(w *world, second *node)) {
	for phase := range 10 {
		withHeldShards(t, func(t *testing.T, w *world, first *node) {
			first.kill()
			w.advance(12*time.Second + time.Duration(phase)*tickInterval)
			first.start()
			w.advance(7 * time.Second)
			i := w.holder(0)
			must.NotEqOp(t, -1, i)
			must.NotEqOp(t, first, w.nodes[i])
			scenario(w, w.nodes[i])
			w.advance(15 * time.Second)
			must.EqOp(t, first, w.nodes[w.holder(0)])
		}, -200e-6, 200e-6)
	}
}

// TestDrift guards against a takeover before the holder's lease and grants have
// expired by its own clock. The clocks differ by 400 ppm.
func TestDrift(t *testing.T) {
	withDisplacedOwner(t, func(_ *world, second *node) { second.SetUnavailable(true) })
}

// TestLateAnswer guards against a renewal whose validity counts from its answer
// instead of from its sending. The answer arrives after a pause of the daemon.
func TestLateAnswer(t *testing.T) {
	withDisplacedOwner(t, func(w *world, second *node) {
		second.SetDelay(700 * time.Millisecond)
		w.advance(3 * time.Second)
		second.pause()
		w.advance(4 * time.Second)
		second.SetUnavailable(true)
		second.resume()
	})
}

// TestLateTake guards against a takeover whose validity counts from its answer
// instead of from the sending of the write.
func TestLateTake(t *testing.T) {
	for phase := range 24 {
		withHeldShards(t, func(_ *testing.T, w *world, first *node) {
			second := w.second(first)
			first.kill()
			second.SetDelay(700 * time.Millisecond)
			w.advance(4*time.Second + time.Duration(phase)*tickInterval)
			second.pause()
			w.advance(7 * time.Second)
			second.SetUnavailable(true)
			second.resume()
			w.advance(20 * time.Second)
		})
	}
}

// TestRosters guards against votes that are counted over the wrong roster after
// three of six members, which cannot reach the platform, left it. If the
// holder's last renewal took effect without an answer, the lease records the new
// roster, whose members reach the platform, and the lease must be taken over.
// Otherwise it records the old roster, two thirds of which cannot reach the
// platform, and the holder must continue.
func TestRosters(t *testing.T) {
	for _, tookEffect := range []bool{true, false} {
		withHeldShardsInCell(t, 6, func(t *testing.T, w *world, first *node) {
			w.betweenRenewals(first)
			second := w.second(first)
			first.SetLoseAnswers(tookEffect)
			first.SetUnavailable(!tookEffect)
			removed := 0
			for _, n := range w.nodes {
				if n != first && n != second && removed < 3 {
					n.SetUnavailable(true)
					w.toggleMember(n)
					removed++
				}
			}
			w.mu.Lock()
			first.roster = w.roster
			w.mu.Unlock()
			w.advance(30 * time.Second)
			_, recorded, err := second.keeper.get(t.Context(), second.keeper.shards[0])
			must.NoError(t, err)
			must.EqOp(t, tookEffect, slices.Equal(recorded.Members, w.roster)) // precondition of this case
			must.EqOp(t, tookEffect, second.keeper.Holds(0))
			must.EqOp(t, !tookEffect, first.keeper.Holds(0))
		})
	}
}

// TestExtend guards against an ownership that is extended after it has ended.
func TestExtend(t *testing.T) {
	now := time.Now()
	s := &shard{held: true, validUntil: now}
	must.False(t, s.extend(now, now.Add(TTL)))
	must.False(t, s.holds(now))
}

// TestRelease guards against a planned stop that leaves its shards without a
// holder until the leases expire, and against a stopping daemon that acquires a
// lease again.
func TestRelease(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		must.NoError(t, first.keeper.Release(t.Context()))
		must.SliceEmpty(t, first.keeper.Held())
		w.advance(rankDelay + RenewalInterval + time.Second)
		must.NotEqOp(t, first, w.nodes[w.holder(0)])
		w.advance(time.Minute)
		must.SliceEmpty(t, first.keeper.Held())
	})
}

// TestReads guards against reads of leases whose number grows with the number
// of daemons.
func TestReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, correctPolicy, 12)
		defer w.stop()
		w.advance(10 * time.Second)
		before := w.mem.CallCounts()
		w.advance(100 * time.Second)
		calls := w.mem.CallCounts()
		must.Between(t, 0, calls.Get-before.Get, 60*worldShards)
		must.Between(t, 45*worldShards, calls.Put-before.Put, 60*worldShards)
		must.EqOp(t, 0, calls.Watch+calls.List)
	})
}

// TestOwner guards against calls that are sent to a daemon that neither holds
// the shard nor observes its lease.
func TestOwner(t *testing.T) {
	withHeldShards(t, func(t *testing.T, w *world, first *node) {
		for _, n := range w.nodes {
			host, ok := n.keeper.Owner(0)
			must.True(t, ok)
			must.EqOp(t, first.id, host)
		}
		k := New(WithRegion("north", 1), WithSelf("x", "x.1"))
		_, ok := k.Owner(0)
		must.False(t, ok)
		k.SetOwnerHint(0, "h9")
		host, _ := k.Owner(0)
		must.EqOp(t, "h9", host)
	})
}

// step is one step of a generated schedule: an action of world.apply, the
// index of the node that it affects and the time until the next step.
type step struct {
	Action int
	Node   int
	Wait   int // in 100 ms
}

// run applies a schedule, ends all faults and returns the first violation and
// the number of shards without a holder at the end.
func (w *world) run(steps []step) (violation string, vacant int) {
	defer w.stop()
	time.Sleep(10 * time.Second)
	for _, s := range steps {
		w.apply(s.Action, w.nodes[s.Node])
		time.Sleep(time.Duration(s.Wait) * 100 * time.Millisecond)
	}
	w.mem.SetUnavailable(false)
	w.mem.SetDelay(0)
	for _, n := range w.nodes {
		n.SetUnavailable(false)
		n.SetLoseAnswers(false)
		n.isolate(false)
		n.resume()
		if n.cancel == nil {
			n.start()
		}
	}
	time.Sleep(time.Minute)
	return w.outcome()
}

// apply performs one of the numbered actions of a schedule. Of most pairs the
// first begins a fault and the second ends it.
func (w *world) apply(action int, n *node) {
	switch action {
	case 0:
		n.kill()
	case 1:
		if n.cancel == nil {
			n.start()
		}
	case 2:
		n.pause()
	case 3:
		n.resume()
	case 4, 5:
		n.SetLoseAnswers(action == 4)
	case 6, 7:
		n.SetUnavailable(action == 6)
	case 8, 9:
		n.isolate(action == 8)
	case 10, 11:
		w.mem.SetUnavailable(action == 10)
	case 12, 13:
		w.mem.SetDelay(time.Duration(13-action) * 1500 * time.Millisecond)
	case 14:
		w.mem.LoseNextAnswers(3)
	case 15, 16: // an outage for all nodes but n
		for _, m := range w.nodes {
			m.SetUnavailable(action == 15 && m != n)
		}
	case 17:
		w.toggleMember(n)
	}
}

func schedules() *rapid.Generator[[]step] {
	actions := []int{15, 0, 2, 6, 10, 4, 17, 1, 3, 16, 7, 11, 5, 8, 9, 12, 13, 14}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(actions).Draw(t, "do"), rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(t, "node"), rapid.SampledFrom([]int{120, 70, 30, 10, 2}).Draw(t, "wait")}
	})
	return rapid.SliceOfN(one, 20, 60)
}

func simulate(t *testing.T, policy brokenPolicy, steps []step) (violation string, vacant int) {
	synctest.Test(t, func(t *testing.T) {
		violation, vacant = newWorld(t, policy, 5, -200e-6, 0, 200e-6).run(steps)
	})
	return violation, vacant
}

// TestSchedules guards against two daemons that own one shard at the same time,
// and against shards that stay vacant. It runs generated schedules that combine
// all faults.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := schedules().Draw(rt, "steps")
		if violation, vacant := simulate(t, correctPolicy, steps); violation != "" || vacant > 0 {
			rt.Fatalf("%s; %d shards are vacant", violation, vacant)
		}
	})
}

// TestNaive guards against a simulation that cannot detect violations: under
// schedules of the same kind, each broken policy must cause some.
func TestNaive(t *testing.T) {
	const schedulesTried = 25
	for _, policy := range []brokenPolicy{trustsRenewal, ignoresVotes} {
		violated := 0
		for seed := range schedulesTried {
			if violation, _ := simulate(t, policy, schedules().Example(seed)); violation != "" {
				violated++
			}
		}
		must.Positive(t, violated)
		t.Logf("policy %d violated in %d of %d schedules", policy, violated, schedulesTried)
	}
}
