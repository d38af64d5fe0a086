package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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

// stubTable returns the elements of holds one by one, and then the last one.
type stubTable struct{ holds []bool }

func (st *stubTable) Holds(model.Shard) bool {
	held := st.holds[0]
	if len(st.holds) > 1 {
		st.holds = st.holds[1:]
	}
	return held
}

func (st *stubTable) Owner(model.Shard) (model.HostID, bool) { return "other", true }

var testOrigin = Origin{Host: "a", Incarnation: "1", Region: "north"}

// newReadyOwner returns the fenced owner of the only shard in the only region.
func newReadyOwner(t *testing.T, table *stubTable, c *model.Customer) *Owner {
	customers := func(model.CustomerID) (*model.Customer, bool) { return c, true }
	o := NewOwner("north", []model.Region{"north"}, table, customers, store.NewMem(), nil, WithOwnerShards(1))
	for _, s := range o.beginSteps() {
		o.step(t.Context(), s)
	}
	return o
}

const (
	specRate  = 64 // tokens per second
	specBurst = 20 // tokens
)

// specBucket is the state of the sequential token bucket that serves as specification.
type specBucket struct {
	now    time.Duration
	tokens float64
	grants []specGrant
}

type specGrant struct {
	id          uint64
	outstanding int
	expires     time.Duration
}

// operation is an input of the history: a token request, or elapsed time.
type operation struct {
	elapsed time.Duration
	want    int
	report  Report
}

func (s specBucket) refill(to time.Duration) specBucket {
	outstanding := 0
	for _, g := range s.grants {
		outstanding += g.outstanding
	}
	s.tokens = min(s.tokens+specRate*(1-clockMargin)*(to-s.now).Seconds(), specBurst-float64(outstanding))
	s.now = to
	return s
}

func (s specBucket) apply(op operation, got Grant) (bool, any) {
	s.grants = slices.Clone(s.grants)
	if op.elapsed > 0 {
		end := s.now + op.elapsed
		for len(s.grants) > 0 && s.grants[0].expires <= end {
			s = s.refill(s.grants[0].expires)
			s.grants = s.grants[1:]
		}
		return true, s.refill(end)
	}
	for i, g := range s.grants {
		if g.id == op.report.Grant {
			s.grants[i].outstanding -= op.report.Spent + op.report.Returned
			s.tokens += float64(op.report.Returned)
		}
	}
	n := min(op.want, int(s.tokens), specBurst/4)
	s.tokens -= float64(n)
	if n > 0 {
		s.grants = append(s.grants, specGrant{id: got.ID, outstanding: n, expires: s.now + OwnerLifetime})
	}
	return n == got.N, s
}

// TestHistory guards against grants that are not linearizable: no order of the
// concurrent token requests at a sequential token bucket gives the same grants.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newReadyOwner(t, &stubTable{[]bool{true}}, &model.Customer{ID: "sugarleaf", Rate: specRate, Burst: specBurst})
		rng := rand.New(rand.NewPCG(3, 3))
		var mu sync.Mutex
		var history []porcupine.Operation
		timestamp := int64(0)
		next := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			timestamp++
			return timestamp
		}
		last := make([]Grant, 4)
		for seq := range uint64(400) {
			elapsed := time.Duration(1+rng.IntN(900)) * time.Millisecond // some grants expire in between
			history = append(history, porcupine.Operation{ClientId: 9, Input: operation{elapsed: elapsed}, Output: Grant{}, Call: next(), Return: next()})
			time.Sleep(elapsed)
			o.beginSteps()
			var g sync.WaitGroup
			for i := range last {
				op := operation{want: 1 + rng.IntN(8)}
				if n := last[i].N; n > 0 {
					returned := rng.IntN(n + 1)
					op.report = Report{Grant: last[i].ID, Spent: n - returned, Returned: returned}
				}
				g.Go(func() {
					start := next()
					from := Origin{Host: model.HostID(fmt.Sprint(i)), Region: "north"}
					got, _ := o.Grant(context.Background(), TokenRequest{From: from, Seq: seq + 1, Customer: "sugarleaf", Tokens: op.want, Reports: []Report{op.report}})
					last[i] = got
					end := next()
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{ClientId: i, Input: op, Output: got, Call: start, Return: end})
				})
			}
			g.Wait()
		}
		spec := porcupine.Model{
			Init:  func() any { return specBucket{} },
			Step:  func(s, in, out any) (bool, any) { return s.(specBucket).apply(in.(operation), out.(Grant)) },
			Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
		}
		must.True(t, porcupine.CheckOperations(spec, history))
		history[len(history)/2+1].Output = Grant{ID: 1, N: specBurst} // a grant that the bucket would not issue
		must.False(t, porcupine.CheckOperations(spec, history))
	})
}

// TestTake guards against repeated token requests and reports that count twice,
// a grant after the lease has expired, and lowered limits that take effect late.
func TestTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, c := &stubTable{[]bool{true}}, &model.Customer{ID: "sugarleaf", Rate: 20, Burst: 40}
		o, ctx := newReadyOwner(t, table, c), t.Context()
		time.Sleep(900 * time.Millisecond) // 18 tokens
		request := TokenRequest{From: testOrigin, Seq: 2, Customer: c.ID, Tokens: 4}
		first, err := o.Grant(ctx, request)
		must.NoError(t, err)
		repeated, err := o.Grant(ctx, request)
		must.NoError(t, err)
		must.EqOp(t, first, repeated)
		_, err = o.Grant(ctx, TokenRequest{From: testOrigin, Seq: 1, Customer: c.ID, Tokens: 4})
		must.True(t, fault.Is(err, fault.KindConflict))

		report := TokenRequest{From: testOrigin, Seq: 3, Customer: c.ID, Reports: []Report{{Grant: first.ID, Returned: 4}}}
		for range 3 {
			_, err = o.Grant(ctx, report)
			must.NoError(t, err)
		}
		c.Burst = 8 // 8 of the 18 tokens stay
		got := 0
		for seq := uint64(4); err == nil; seq++ {
			var g Grant
			g, err = o.Grant(ctx, TokenRequest{From: testOrigin, Seq: seq, Customer: c.ID, Tokens: 2})
			got += g.N
		}
		must.EqOp(t, 8, got)
		result, err := AnswerOf(Grant{}, err).Result()
		must.Zero(t, result.N)
		must.True(t, fault.Is(err, fault.KindLimited) && WaitOf(err) > 0)

		c.Burst = 100
		_, err = o.Grant(ctx, report)
		must.NoError(t, err)
		time.Sleep(200 * time.Millisecond) // 4 tokens, but none at the lowered rate
		c.Rate = 1
		_, err = o.Grant(ctx, TokenRequest{From: testOrigin, Seq: 98, Customer: c.ID, Tokens: 1})
		must.True(t, fault.Is(err, fault.KindLimited))

		table.holds = []bool{true, false}
		_, err = o.Grant(ctx, TokenRequest{From: testOrigin, Seq: 99, Customer: c.ID, Tokens: 1})
		must.True(t, fault.Is(err, NotOwner))
		must.EqOp(t, "other", OwnerOf(err))
	})
}
