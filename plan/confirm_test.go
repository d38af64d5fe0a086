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

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

func editRate(rate float64) *Edit {
	return &Edit{Set: model.Intent{Customers: []model.Customer{{ID: "depots", Rate: model.Rate(rate), Burst: 1}}}}
}

// TestConfirmOnce guards against a change that is applied twice, without its
// audit record, or over somebody else's change.
func TestConfirmOnce(t *testing.T) {
	ctx := t.Context()
	m := store.NewMem()
	p := New(m)
	first, err := p.Make(ctx, editRate(1))
	must.NoError(t, err)
	second, err := p.Make(ctx, editRate(2))
	must.NoError(t, err)

	m.LoseAnswers(3) // of the chunk, the audit record and the root
	r, err := p.Confirm(ctx, "amina", first)
	must.NoError(t, err, must.Sprint("a lost answer must be resolved by reading"))
	must.Eq(t, &Result{Version: 1, Outcome: Committed}, r)
	r, err = p.Confirm(ctx, "amina", first)
	must.NoError(t, err)
	must.Eq(t, &Result{Version: 1, Outcome: Repeated}, r)
	_, err = p.Confirm(ctx, "bahati", second)
	must.True(t, fault.Is(err, fault.Conflict), must.Sprint(err))

	altered := *first
	altered.Edit = *editRate(1000)
	_, err = p.Confirm(ctx, "bahati", &altered)
	must.True(t, fault.Is(err, fault.KindInvalid), must.Sprint("a plan that was changed after it was shown"))

	list, err := p.Audit(ctx, 10)
	must.NoError(t, err)
	must.SliceLen(t, 1, list)
	must.EqOp(t, "amina", list[0].Operator)
	must.EqOp(t, 1, list[0].To)
}

type confirmation struct {
	base model.ConfigVersion
	id   string
}

// registry is the sequential specification of plan and confirm.
type registry struct {
	version model.ConfigVersion
	done    string // ids of committed plans
}

func step(s any, in, out any) (bool, any) {
	now, call := s.(registry), in.(confirmation)
	made := len(call.id) > 0 && containsID(now.done, call.id)
	switch out.(Outcome) {
	case Repeated:
		return made, now
	case Committed:
		// A confirmation whose answer was lost may find its own commit.
		if made {
			return true, now
		}
		return now.version == call.base, registry{version: now.version + 1, done: now.done + call.id + " "}
	default: // conflict
		return now.version != call.base && !made, now
	}
}

func containsID(done, id string) bool {
	for len(done) >= len(id)+1 {
		if done[:len(id)] == id {
			return true
		}
		done = done[len(id)+1:]
	}
	return false
}

// TestRacingOperators guards against two operators who both believe that their
// plan, made from the same version, was put in force.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { race(t, seed) })
	}
}

func race(t *testing.T, seed uint64) {
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
				draft, err := p.Make(context.Background(), editRate(float64(100*operator+i+1)))
				if err != nil {
					continue
				}
				for range 1 + random.IntN(2) { // sometimes twice
					if random.IntN(4) == 0 {
						m.LoseAnswers(1)
					}
					called := time.Since(start)
					r, err := p.Confirm(context.Background(), fmt.Sprint(operator), draft)
					outcome := Outcome("conflict")
					switch {
					case err == nil:
						outcome = r.Outcome
					case !fault.Is(err, fault.Conflict):
						continue // unavailable or unknown: nothing is claimed
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: operator, Input: confirmation{draft.Base, draft.ID}, Output: outcome,
						Call: int64(called), Return: int64(time.Since(start)),
					})
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	linear := porcupine.CheckOperations(porcupine.Model{Init: func() any { return registry{} }, Step: step}, history)
	must.True(t, linear, must.Sprintf("seed %d: the history has no order that a single operator could have made", seed))
}
