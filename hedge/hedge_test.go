package hedge

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

var willing = Facts{AttemptsLeft: true, TimeLeft: true, Late: true, Use: 0.3, Target: true}

func allow() bool { return true }

// TestShare guards against hosts that exceed the share of the pool's requests together, or
// leave much of it unused, although reports are late and only half of the hosts has
// requests to hedge. More than the share may only be sent before reports of it arrive.
func TestShare(t *testing.T) {
	const hosts, step, delay = 98, 20 * time.Millisecond, 30 // reports arrive after 30 steps, 0.6 s
	for _, c := range []struct {
		share, rate, slow float64
		surge             bool // a tenth of slow until 30 s
	}{{0.01, 200, 0.05, false}, {0.05, 200, 0.05, false}, {0.05, 200, 0.3, false}, {0.05, 200, 0.3, true}, {0.2, 650, 0.5, false}, {1, 50, 0.5, false}} {
		random := rand.New(rand.NewPCG(1, 1))
		var pending [delay][hosts]Usage
		sets, sent, asked, requests, now := make([]*Set, hosts), 0.0, 0.0, 0.0, 0
		for i := range sets {
			sets[i] = NewSet(Policy{Share: c.share, Quantile: 0.95}, func(_ model.PoolID, hedged bool) {
				u := &pending[now%delay][i]
				u.Wanted++
				if hedged {
					u.Hedged++
					sent++
				}
			})
		}
		worst := 0.0
		for ; now < int(60*time.Second/step); now++ {
			at, slow := time.Unix(0, 0).Add(time.Duration(now)*step), c.slow
			if c.surge && now < int(30*time.Second/step) {
				slow /= 10
			}
			old := pending[now%delay]
			pending[now%delay] = [hosts]Usage{}
			var sum Usage
			for _, u := range old {
				sum = Usage{sum.Requests + u.Requests, sum.Hedged + u.Hedged, sum.Wanted + u.Wanted}
			}
			for i, s := range sets {
				s.AddRemote(at, "p", Usage{sum.Requests - old[i].Requests, sum.Hedged - old[i].Hedged, sum.Wanted - old[i].Wanted})
			}
			for range int(c.rate * step.Seconds() * 2 * random.Float64()) {
				host := random.IntN(hosts)
				requests++
				sets[host].CountRequests("p", 1)
				pending[now%delay][host].Requests++
				if host < hosts/2 && random.Float64() < 2*slow {
					asked++
					sets[host].Decide(at, "p", willing, random.Float64(), allow)
				}
			}
			worst = max(worst, sent-c.share*requests)
		}
		t.Logf("share %v: %.0f of %.0f requests hedged (%.4f), %.4f wanted; at most %.1f above the share", c.share, sent, requests, sent/requests, asked/requests, worst)
		test.LessEq(t, 2+0.6*c.rate*c.slow, worst)
		test.LessEq(t, c.share, sent/requests)
		if !c.surge {
			test.GreaterEq(t, 0.8*min(c.share, asked/requests), sent/requests)
		}
	}
}

// TestDecide guards against hedged requests that a rule forbids, and against a refused one
// that counts against the share.
func TestDecide(t *testing.T) {
	reported, now := 0, time.Unix(0, 0)
	s := NewSet(Policy{Share: 0.5, Quantile: 0.95}, func(_ model.PoolID, sent bool) {
		if sent {
			reported++
		}
	})
	decide := func(change func(*Facts)) Decision {
		f := willing
		change(&f)
		return s.Decide(now, "p", f, 0.5, allow)
	}
	test.Eq(t, Decision{Refusal: OverShare, Active: true}, decide(func(*Facts) {}))
	s.CountRequests("p", 3) // adds 1.35
	test.EqOp(t, OverShare, decide(func(f *Facts) { f.Late = false }).Refusal)
	test.EqOp(t, NoAttempt, decide(func(f *Facts) { f.AttemptsLeft = false }).Refusal)
	test.EqOp(t, NoTime, decide(func(f *Facts) { f.TimeLeft = false }).Refusal)
	test.EqOp(t, NoTarget, decide(func(f *Facts) { f.Target = false }).Refusal)
	test.Eq(t, Decision{Refusal: Pressure, Changed: true}, decide(func(f *Facts) { f.Use = 0.71 }))
	test.Eq(t, Decision{Refusal: Pressure}, decide(func(f *Facts) { f.Use = 0.68 }))
	test.Eq(t, Decision{Refusal: NoTarget}, decide(func(f *Facts) { f.Use, f.Target = 0, false }))
	test.Eq(t, Decision{Refusal: Pressure}, decide(func(f *Facts) { f.Use = 0.68 }))
	test.EqOp(t, OverBudget, s.Decide(now, "p", willing, 0.5, func() bool { return false }).Refusal)
	test.Eq(t, 0, reported)
	test.Eq(t, Decision{Active: true}, decide(func(f *Facts) { f.Use = 0.68 }))
	test.EqOp(t, OverShare, decide(func(*Facts) {}).Refusal)
	test.Eq(t, 1, reported)
	test.False(t, NewSet(Policy{}, nil).Enabled())
}

// TestDelay guards against a delay from too few or old latencies, or above the bound.
func TestDelay(t *testing.T) {
	s, now, key := NewSet(Policy{Share: 0.1, Quantile: 0.9}, nil), time.Unix(0, 0), Key{"r", "p"}
	bound := 900 * time.Millisecond
	for i := range minSamples {
		test.EqOp(t, bound, s.Delay(now, key, bound))
		s.Record(now, key, time.Duration(100*(1+i%10))*time.Millisecond)
	}
	delay := s.Delay(now, key, 5*time.Second)
	test.Between(t, 895*time.Millisecond, delay, 910*time.Millisecond)
	test.EqOp(t, 500*time.Millisecond, s.Delay(now, key, 500*time.Millisecond))
	test.EqOp(t, bound, s.Delay(now, Key{"other", "p"}, bound))
	test.EqOp(t, delay, s.Delay(now.Add(period), key, time.Hour))
	test.EqOp(t, time.Hour, s.Delay(now.Add(2*period), key, time.Hour))
}

// TestFormerRoutes guards against latencies that are kept for routes and pools that have
// disappeared: 20 KB each.
func TestFormerRoutes(t *testing.T) {
	s, now := NewSet(Policy{Share: 0.1, Quantile: 0.9}, nil), time.Unix(0, 0)
	for i := range 100 {
		s.Record(now, Key{"stays", "p"}, time.Second)
		s.Record(now, Key{model.RouteID(fmt.Sprint(i)), "p"}, time.Second)
		now = now.Add(period)
	}
	test.MapContainsKey(t, s.latencies, Key{"stays", "p"})
	test.LessEq(t, 4, len(s.latencies))
}

// TestExplain guards against an explanation that rotates latencies or uses the account.
func TestExplain(t *testing.T) {
	build := func() *Set {
		s := NewSet(Policy{Share: 0.5, Quantile: 0.9}, nil)
		for range minSamples {
			s.Record(time.Unix(0, 0), Key{"r", "p"}, 100*time.Millisecond)
		}
		s.CountRequests("p", 10)
		return s
	}
	s := build()
	delay, refusal := s.Explain(time.Unix(0, 0).Add(period), "p", Key{"r", "p"}, willing, time.Second)
	test.Between(t, 99*time.Millisecond, delay, 101*time.Millisecond)
	test.EqOp(t, Allowed, refusal)
	_, refusal = s.Explain(time.Unix(0, 0), "other", Key{"r", "other"}, willing, time.Second)
	test.EqOp(t, OverShare, refusal)
	test.True(t, reflect.DeepEqual(build(), s))
}
