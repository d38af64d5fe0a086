package fleet

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

// greedy holds as many tokens as it gets and spends them at the worst times:
// all at once, just before they expire, while it asks for more.
type greedy struct {
	fleet  *Fleet
	origin quota.Origin
	seq    uint64
	held   []*hoard
}

// hoard is a grant that a greedy asker holds.
type hoard struct {
	quota.Report
	n      int
	region model.Region
	until  time.Time
}

func (g *greedy) take(r model.Region, seen int) {
	g.seq++
	t := quota.Take{From: g.origin, Seq: g.seq, Customer: g.fleet.Customer.ID, Want: 1000, Seen: seen}
	for _, h := range g.held {
		if h.region == r && h.Spent+h.Returned > 0 {
			t.Reports = append(t.Reports, h.Report)
		}
	}
	sent := time.Now()
	time.Sleep(time.Duration(g.fleet.Random() * float64(2*time.Millisecond)))
	got, err := g.fleet.Take(r, t)
	if err == nil {
		g.held = append(g.held, &hoard{Report: quota.Report{Grant: got.ID}, n: got.N, region: r, until: sent.Add(quota.Lifetime)})
	}
	if g.fleet.Random() < g.fleet.state().Loss { // arrives a second time
		again := time.Duration(g.fleet.Random() * float64(2*quota.Lifetime))
		g.fleet.Go(func() {
			time.Sleep(again)
			_, _ = g.fleet.Take(r, t)
		})
	}
}

// spend uses tokens: all, or those that are about to expire.
func (g *greedy) spend(all bool) {
	now := time.Now()
	var rest []*hoard
	for _, h := range g.held {
		if !now.Before(h.until) {
			continue
		}
		rest = append(rest, h)
		if !all && h.until.Sub(now) > 20*time.Millisecond {
			continue
		}
		free := h.n - h.Spent - h.Returned
		g.fleet.Admit(free)
		h.Spent += free
	}
	g.held = rest
}

// giveBack returns half of the unused tokens.
func (g *greedy) giveBack() {
	for _, h := range g.held {
		h.Returned += (h.n - h.Spent - h.Returned + 1) / 2
	}
}

func (g *greedy) run(busy func() model.Region) {
	f := g.fleet
	for f.Elapsed() < f.end {
		spending := f.Random() < 0.5
		phase := time.Now().Add(time.Duration(f.Random() * float64(2*time.Second)))
		for time.Now().Before(phase) {
			for _, r := range Regions {
				seen := 0
				if r == busy() {
					seen = 3
				}
				if spending || f.Random() < 0.2 {
					g.take(r, seen)
				}
			}
			g.spend(spending)
			if f.Random() < 0.1 {
				g.giveBack()
			}
			time.Sleep(time.Duration(f.Random() * float64(20*time.Millisecond)))
		}
	}
}

// TestGreedyAskers guards the same limit as TestNeverExceeds against askers
// that make the most of each grant that they get, with the same faults.
func TestGreedyAskers(t *testing.T) {
	const end = 15 * time.Second
	must.NoError(t, flag.Set("rapid.checks", "100"))
	defer func() { must.NoError(t, flag.Set("rapid.checks", "15")) }()
	rapid.Check(t, func(rt *rapid.T) {
		d := draw(rt, end)
		f := simulate(t, d.seed, d.c, end, func(f *Fleet) {
			busy := f.play(d)
			for _, r := range Regions {
				g := &greedy{fleet: f, origin: quota.Origin{Host: model.HostID(r), Region: r}}
				f.Go(func() { g.run(busy) })
			}
		})
		f.check(rt)
	})
}
