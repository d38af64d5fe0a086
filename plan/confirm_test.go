package plan

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

func editRate(rate float64) *Edit {
	return &Edit{Set: model.Intent{Customers: []model.Customer{{ID: "depots", Rate: model.Rate(rate), Burst: 1}}}}
}

// TestConfirmOnce guards against a change that is applied twice, is applied
// without its audit record, or overwrites another operator's change.
func TestConfirmOnce(t *testing.T) {
	ctx := t.Context()
	m := store.NewMem()
	p := New(m)
	first, err := p.Plan(ctx, editRate(1))
	must.NoError(t, err)
	second, err := p.Plan(ctx, editRate(2))
	must.NoError(t, err)

	m.LoseNextAnswers(3) // of the chunk, the audit record and the root
	r, err := p.Confirm(ctx, "amina", first)
	must.NoError(t, err, must.Sprint("a lost answer must be resolved by reading"))
	must.Eq(t, &Confirmation{Version: 1, Outcome: Committed}, r)
	r, err = p.Confirm(ctx, "amina", first)
	must.NoError(t, err)
	must.Eq(t, &Confirmation{Version: 1, Outcome: Repeated}, r)
	_, err = p.Confirm(ctx, "bahati", second)
	must.True(t, fault.Is(err, fault.KindConflict), must.Sprint(err))

	altered := *first
	altered.Edit = *editRate(1000)
	_, err = p.Confirm(ctx, "bahati", &altered)
	must.True(t, fault.Is(err, fault.KindInvalid), must.Sprint("a plan that was altered after it was returned"))

	list, err := p.Audit(ctx, 10)
	must.NoError(t, err)
	must.SliceLen(t, 1, list)
	must.EqOp(t, "amina", list[0].Operator)
	must.EqOp(t, 1, list[0].To)
}

// confirmCall is the input of one call of Confirm: base version and id of the plan.
type confirmCall struct {
	base model.ConfigVersion
	id   string
}

// registry is the state of the sequential specification of plan and confirm.
type registry struct {
	version   model.ConfigVersion
	committed string // ids of the committed plans, each followed by a space
}

// step is the sequential specification: it reports whether Confirm may return the
// outcome out for the call in when the registry is s, and returns the next registry.
func step(s any, in, out any) (bool, any) {
	current, call := s.(registry), in.(confirmCall)
	applied := len(call.id) > 0 && containsID(current.committed, call.id)
	switch out.(Outcome) {
	case Repeated:
		return applied, current
	case Committed:
		// After a lost answer, Confirm may find its own commit when it reads back.
		if applied {
			return true, current
		}
		return current.version == call.base, registry{version: current.version + 1, committed: current.committed + call.id + " "}
	default: // Outcome("conflict")
		return current.version != call.base && !applied, current
	}
}

// containsID reports whether the list, in the form of registry.committed, contains id.
func containsID(committed, id string) bool {
	for len(committed) >= len(id)+1 {
		if committed[:len(id)] == id {
			return true
		}
		committed = committed[len(id)+1:]
	}
	return false
}

// TestRacingOperators guards against two plans that were made from the same
// version and are both reported as committed. The operators confirm at random
// times, sometimes twice, and some answers of the store are lost.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { confirmConcurrently(t, seed) })
	}
}

func confirmConcurrently(t *testing.T, seed uint64) {
	m := store.NewMem()
	m.SetDelay(3 * time.Millisecond)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for operator := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		wg.Go(func() {
			p := New(m)
			for i := range 5 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				draft, err := p.Plan(context.Background(), editRate(float64(100*operator+i+1)))
				if err != nil {
					continue
				}
				for range 1 + random.IntN(2) { // sometimes twice
					if random.IntN(4) == 0 {
						m.LoseNextAnswers(1)
					}
					calledAt := time.Since(start)
					r, err := p.Confirm(context.Background(), fmt.Sprint(operator), draft)
					outcome := Outcome("conflict")
					switch {
					case err == nil:
						outcome = r.Outcome
					case !fault.Is(err, fault.KindConflict):
						continue // unavailable or unknown: the outcome proves nothing
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: operator, Input: confirmCall{draft.Base, draft.ID}, Output: outcome,
						Call: int64(calledAt), Return: int64(time.Since(start)),
					})
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	linearizable := porcupine.CheckOperations(porcupine.Model{Init: func() any { return registry{} }, Step: step}, history)
	must.True(t, linearizable, must.Sprintf("seed %d: the history of confirmations is not linearizable", seed))
}

// TestPlanAfterRestore guards against a change with the version of one that is in force.
func TestPlanAfterRestore(t *testing.T) {
	ctx, m := t.Context(), store.NewMem()
	var inForce *conf.Snapshot
	p := New(m, WithInForce(func() *conf.Snapshot { return inForce }))
	confirm := func(rate float64) model.ConfigVersion {
		draft, err := p.Plan(ctx, editRate(rate))
		must.NoError(t, err)
		c, err := p.Confirm(ctx, "amina", draft)
		must.NoError(t, err)
		inForce, _, err = conf.Load(ctx, m)
		must.NoError(t, err)
		return c.Version
	}
	confirm(1)
	copied := m.Copy()
	stale, err := p.Plan(ctx, editRate(5))
	must.NoError(t, err)
	must.EqOp(t, 2, confirm(2))
	m.Restore(copied)
	_, err = p.Confirm(ctx, "bahati", stale)
	must.True(t, fault.Is(err, fault.KindConflict), must.Sprint(err))
	must.EqOp(t, 3, confirm(3))
}
