package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TestClaimAfterRestore guards against a request that runs again since its claim was lost.
func TestClaimAfterRestore(t *testing.T) {
	s := store.NewMem()
	first, second := New(s), New(s)
	copied := s.Copy()
	fingerprint := model.DigestOf([]byte("pay"))
	claimed, err := first.Begin(t.Context(), "depots", "key", fingerprint)
	must.NoError(t, err)
	must.NoError(t, first.Finish(t.Context(), claimed, Result{State: StateDone, Status: 200}))
	_, err = second.Begin(t.Context(), "depots", "key", fingerprint)
	must.Error(t, err)
	s.Restore(copied)
	_, err = second.Begin(t.Context(), "depots", "key", fingerprint)
	must.Error(t, err)
}

// TestClaimsWrittenAgain guards against claims that stay lost, and against keys refused for good.
func TestClaimsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.NewMem()
		first, second := New(s), New(s)
		copied := s.Copy()
		fingerprint := model.DigestOf([]byte("pay"))
		for key, state := range map[string]State{"done": StateDone, "open": StateOpen, "released": StateReleased} {
			claimed, err := first.Begin(t.Context(), "depots", key, fingerprint)
			must.NoError(t, err)
			must.NoError(t, first.Finish(t.Context(), claimed, Result{State: state, Status: 201}))
		}
		_, err := second.Begin(t.Context(), "depots", "open", fingerprint)
		must.True(t, fault.Is(err, KindOpen))
		s.Restore(copied)
		_, err = second.Begin(t.Context(), "depots", "other", fingerprint)
		must.True(t, fault.Is(err, KindUnclaimed))
		must.NoError(t, first.Follow(t.Context(), s.Era()))
		time.Sleep(restoreHold)
		for key, kind := range map[string]fault.Kind{"done": KindDone, "open": KindOpen} {
			_, err = second.Begin(t.Context(), "depots", key, fingerprint)
			must.True(t, fault.Is(err, kind), must.Sprint(key, err))
		}
		for _, key := range []string{"released", "other"} {
			_, err = second.Begin(t.Context(), "depots", key, fingerprint)
			must.NoError(t, err)
		}
		calls := s.CallCounts().Total()
		must.NoError(t, first.Follow(t.Context(), s.Era()))
		must.EqOp(t, calls, s.CallCounts().Total(), must.Sprint("calls without a new era"))
	})
}

// TestAtMostOnceRestored guards against a request that runs twice while the store is restored.
func TestAtMostOnceRestored(t *testing.T) {
	waits := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 37))
			s := store.NewMem()
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); synctest.Wait() }()
			keepers, links := make([]*Keeper, 4), make([]*store.Link, 4)
			for i := range keepers {
				links[i] = s.Link()
				keepers[i] = New(links[i])
				_, err := keepers[i].Begin(ctx, "depots", fmt.Sprint("first", i), "f") // it has known the store
				must.NoError(t, err)
				go func() {
					_ = pause(ctx, time.Duration(i)*time.Second/4)
					for ctx.Err() == nil {
						if away, _, _, _ := s.State(); !away {
							era := s.Era()
							_ = pause(ctx, 2*time.Second)   // until it reaches this daemon
							_ = keepers[i].Follow(ctx, era) // errors are tried again
						}
						_ = pause(ctx, time.Second)
					}
				}()
			}
			runs := make(map[string]int)
			copies := []store.Copy{s.Copy()}
			for range 400 {
				key := fmt.Sprint("key", random.IntN(60))
				k := keepers[random.IntN(len(keepers))]
				if claimed, err := k.Begin(ctx, "depots", key, "f"); err == nil {
					runs[key]++
					must.EqOp(t, 1, runs[key], must.Sprint("seed ", seed, " ", key))
					if random.IntN(2) == 0 {
						_ = k.Finish(ctx, claimed, Result{State: StateDone, Status: 200}) // the claim stays open then
					}
				} else if fault.Is(err, KindUnclaimed) {
					waits++
				}
				if random.IntN(60) == 0 {
					s.SetUnavailable(true)
					time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
					s.Restore(copies[max(0, len(copies)-1-random.IntN(30))])
					s.SetUnavailable(false)
					copies = nil
				}
				copies = append(copies, s.Copy())
				time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			}
		})
	}
	must.Positive(t, waits)
}
