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

// lease answers Holds with the next of its answers and then with the last one.
type lease struct{ answers []bool }

func (l *lease) Holds(model.Shard) bool {
	a := l.answers[0]
	if len(l.answers) > 1 {
		l.answers = l.answers[1:]
	}
	return a
}

func (l *lease) Owner(model.Shard) (model.HostID, bool) { return "other", true }

var asking = Origin{Host: "a", Incarnation: "1", Region: "north"}

// newReady returns the only region's owner of the only shard.
func newReady(t *testing.T, l *lease, c *model.Customer) *Owner {
	find := func(model.CustomerID) (*model.Customer, bool) { return c, true }
	o := NewOwner("north", []model.Region{"north"}, l, find, store.NewMem(), nil, WithOwnerShards(1))
	for _, s := range o.idle() {
		o.step(t.Context(), s)
	}
	return o
}

const (
	modelRate  = 64
	modelBurst = 20
)

// sequential is the state of the sequential token bucket.
type sequential struct {
	now    time.Duration
	tokens float64
	grants []loan
}

type loan struct {
	id      uint64
	open    int
	expires time.Duration
}

// call is an input of the history: an ask, or time that passes.
type call struct {
	pass   time.Duration
	want   int
	report Report
}

func (s sequential) refill(to time.Duration) sequential {
	open := 0
	for _, g := range s.grants {
		open += g.open
	}
	s.tokens = min(s.tokens+modelRate*(1-clockMargin)*(to-s.now).Seconds(), modelBurst-float64(open))
	s.now = to
	return s
}

func (s sequential) step(c call, got Grant) (bool, any) {
	s.grants = slices.Clone(s.grants)
	if c.pass > 0 {
		end := s.now + c.pass
		for len(s.grants) > 0 && s.grants[0].expires <= end {
			s = s.refill(s.grants[0].expires)
			s.grants = s.grants[1:]
		}
		return true, s.refill(end)
	}
	for i, g := range s.grants {
		if g.id == c.report.Grant {
			s.grants[i].open -= c.report.Spent + c.report.Returned
			s.tokens += float64(c.report.Returned)
		}
	}
	n := min(c.want, int(s.tokens), modelBurst/4)
	s.tokens -= float64(n)
	if n > 0 {
		s.grants = append(s.grants, loan{id: got.ID, open: n, expires: s.now + Longest})
	}
	return n == got.N, s
}

// TestHistory guards against grants that no order of the concurrent asks at a
// sequential token bucket explains.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newReady(t, &lease{[]bool{true}}, &model.Customer{ID: "sugarleaf", Rate: modelRate, Burst: modelBurst})
		rng := rand.New(rand.NewPCG(3, 3))
		var mu sync.Mutex
		var history []porcupine.Operation
		stamp := int64(0)
		next := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			stamp++
			return stamp
		}
		last := make([]Grant, 4)
		for seq := range uint64(400) {
			pass := time.Duration(1+rng.IntN(900)) * time.Millisecond // some grants expire in between
			history = append(history, porcupine.Operation{ClientId: 9, Input: call{pass: pass}, Output: Grant{}, Call: next(), Return: next()})
			time.Sleep(pass)
			o.idle()
			var g sync.WaitGroup
			for i := range last {
				c := call{want: 1 + rng.IntN(8)}
				if n := last[i].N; n > 0 {
					back := rng.IntN(n + 1)
					c.report = Report{Grant: last[i].ID, Spent: n - back, Returned: back}
				}
				g.Go(func() {
					start := next()
					from := Origin{Host: model.HostID(fmt.Sprint(i)), Region: "north"}
					got, _ := o.Take(context.Background(), Take{From: from, Seq: seq + 1, Customer: "sugarleaf", Want: c.want, Reports: []Report{c.report}})
					last[i] = got
					end := next()
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{ClientId: i, Input: c, Output: got, Call: start, Return: end})
				})
			}
			g.Wait()
		}
		spec := porcupine.Model{
			Init:  func() any { return sequential{} },
			Step:  func(s, in, out any) (bool, any) { return s.(sequential).step(in.(call), out.(Grant)) },
			Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
		}
		must.True(t, porcupine.CheckOperations(spec, history))
		history[len(history)/2+1].Output = Grant{ID: 1, N: modelBurst} // a grant that a bucket would not make
		must.False(t, porcupine.CheckOperations(spec, history))
	})
}

// TestTake guards against repeated asks that count twice, an answer after the
// lease lapsed, and limits that are lowered late.
func TestTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, c := &lease{[]bool{true}}, &model.Customer{ID: "sugarleaf", Rate: 20, Burst: 40}
		o, ctx := newReady(t, l, c), t.Context()
		time.Sleep(900 * time.Millisecond) // 18 tokens
		ask := Take{From: asking, Seq: 2, Customer: c.ID, Want: 4}
		first, err := o.Take(ctx, ask)
		must.NoError(t, err)
		again, err := o.Take(ctx, ask)
		must.NoError(t, err)
		must.EqOp(t, first, again)
		_, err = o.Take(ctx, Take{From: asking, Seq: 1, Customer: c.ID, Want: 4})
		must.True(t, fault.Is(err, fault.Conflict))

		report := Take{From: asking, Seq: 3, Customer: c.ID, Reports: []Report{{Grant: first.ID, Returned: 4}}}
		for range 3 {
			_, err = o.Take(ctx, report)
			must.NoError(t, err)
		}
		c.Burst = 8 // 8 of the 18 tokens stay
		got := 0
		for seq := uint64(4); err == nil; seq++ {
			var g Grant
			g, err = o.Take(ctx, Take{From: asking, Seq: seq, Customer: c.ID, Want: 2})
			got += g.N
		}
		must.EqOp(t, 8, got)
		back, err := AnswerOf(Grant{}, err).Result()
		must.Zero(t, back.N)
		must.True(t, fault.Is(err, fault.Limited) && WaitOf(err) > 0)

		c.Burst = 100
		_, err = o.Take(ctx, report)
		must.NoError(t, err)
		time.Sleep(200 * time.Millisecond) // 4 tokens, but none at the lowered rate
		c.Rate = 1
		_, err = o.Take(ctx, Take{From: asking, Seq: 98, Customer: c.ID, Want: 1})
		must.True(t, fault.Is(err, fault.Limited))

		l.answers = []bool{true, false}
		_, err = o.Take(ctx, Take{From: asking, Seq: 99, Customer: c.ID, Want: 1})
		must.True(t, fault.Is(err, NotOwner))
		must.EqOp(t, "other", OwnerOf(err))
	})
}
