package selsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// nearCases are the cases of BenchmarkNearFirst. Those with bounds are also tests, so that
// these take a few seconds with the race detector.
var nearCases = []struct {
	name  string
	fleet fleet
	// seeds is the number of simulations whose sum is tested: two where a target gets too
	// few sends in one, 17 on average, to tell an even use from an uneven one.
	seeds int
	// Bounds: the shares of the sends that cross domains and that full targets refuse, the
	// share of the requests that fail or are refused, and the sends to the least used
	// target as a share of the mean.
	crossed, shed, lost, least float64
}{
	{"a third full", fleet{load: 0.33}, 2, 0.01, 0.005, 0, 0.3},
	{name: "two thirds full", fleet: fleet{load: 0.66}},
	{"nearly full", fleet{load: 0.85}, 1, 0.35, 0.45, 0.03, 0.5},
	{"after a peak", fleet{load: 0.33, peak: 1}, 2, 0.05, 0.02, 0.002, 0.3},
	{"many targets with few slots", fleet{load: 0.33, targets: [4]int{24, 24, 24, 24}, slots: [4]int{2, 2, 2, 2}}, 1, 0.03, 0.01, 0, 0.1},
	{"small domain", fleet{load: 0.4, targets: [4]int{2, 22, 12, 12}}, 1, 0.25, 0.02, 0, 0.3},
	{name: "domain without targets", fleet: fleet{load: 0.4, targets: [4]int{0, 24, 12, 12}}},
	{"domain short of capacity", fleet{load: 0.4, slots: [4]int{1, 6, 4, 4}}, 2, 0.25, 0.05, 0.001, 0.05},
	{name: "region short of capacity", fleet: fleet{load: 0.5, slots: [4]int{1, 1, 6, 6}}},
	{name: "failing targets", fleet: fleet{load: 0.33, server: func(d, i int) (bool, bool) { return d == 0 && i < 4, false }}},
	{"failing domain", fleet{load: 0.33, server: func(d, _ int) (bool, bool) { return d == 0, false }}, 1, 0.35, 0.05, 0.002, 0.01},
	{"slow targets", fleet{load: 0.33, server: func(_, i int) (bool, bool) { return false, i < 2 }}, 1, 0.01, 0.01, 0, 0.05},
	{"hosts cut off", fleet{load: 0.33, cutHosts: 30}, 2, 0.05, 0.005, 0.001, 0.3},
	{"path to the own domain lost", fleet{load: 0.33, lostPath: true}, 1, 0.03, 0.005, 0.002, 0.3},
}

func nearFleet(f fleet, near bool) fleet {
	f.hosts, f.repeatable, f.from, f.end, f.near = 98, 0.4, 4*time.Second, 8*time.Second, near
	return f
}

// TestNearFirst guards against sends that leave the domain without need, against targets
// without traffic, and against queues and failures where the near targets don't suffice.
func TestNearFirst(t *testing.T) {
	for _, c := range nearCases {
		if c.seeds == 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := run(c.seeds, nearFleet(c.fleet, true))
			now := r.table()
			t.Log(now)
			test.LessEq(t, c.crossed, now["crossed"])
			test.LessEq(t, c.shed, now["shed"])
			test.LessEq(t, c.lost, now["refused"]+now["failed"])
			test.GreaterEq(t, c.least, now["least"])
			// Each host of one domain may begin to spill over and cease, not repeatedly.
			test.LessEq(t, 98*c.seeds, r.spillChanges)
		})
	}
}

// latencyCases: Hedging is the way to hedge that must be worse than within the share. A
// share of 0.05 is less than what is hedged without one.
var latencyCases = []fleet{
	{gray: 0.01, load: 0.33, share: 0.1, hedging: atObjective},
	{gray: 0.05, load: 0.33, share: 0.2, hedging: atObjective},
	{gray: 0.2, load: 0.33, share: 0.2, hedging: atObjective},
	{gray: 0.05, load: 0.33, share: 0.05, hedging: never},
	{gray: 0.05, load: 0.9, share: 0.2, hedging: never},
}

func hedgedFleet(f fleet, h hedging) fleet {
	f.hosts, f.repeatable, f.from, f.end, f.hedging = 12, 1, 6*time.Second, 18*time.Second, h
	return f
}

// TestLatency guards against hedged requests that don't shorten the slowest latencies, that
// exceed their share, or that add work under load.
func TestLatency(t *testing.T) {
	for _, c := range latencyCases {
		t.Run(fmt.Sprintf("gray=%v/load=%v/share=%v", c.gray, c.load, c.share), func(t *testing.T) {
			t.Parallel()
			now := run(1, hedgedFleet(c, withinShare)).table()
			t.Log(now)
			test.LessEq(t, c.share, now["hedged"])
			if c.load > 0.7 {
				test.LessEq(t, 0.01, now["hedged"])
				return
			}
			before := run(1, hedgedFleet(c, c.hedging)).table()
			test.LessEq(t, 1.05*before["p50-s"], now["p50-s"])
			test.Less(t, before["p99-s"], now["p99-s"])
			test.Less(t, 1.05*before["p99.9-s"], now["p99.9-s"])
			test.LessEq(t, 1.02*before["work-s"], now["work-s"])
		})
	}
}

// benchmark prints the sums of four simulations with different seeds.
func benchmark(b *testing.B, name string, f fleet) {
	b.Run(name, func(b *testing.B) {
		b.ReportMetric(0, "ns/op")
		for unit, value := range run(4, f).table() { // pairs are those of all four
			b.ReportMetric(value, unit)
		}
	})
}

// BenchmarkNearFirst prints the figures with and without near targets first:
// go test -run NONE -bench NearFirst -benchtime 1x ./selsim.
func BenchmarkNearFirst(b *testing.B) {
	for _, c := range nearCases {
		for _, near := range []bool{false, true} {
			benchmark(b, fmt.Sprintf("%s/near=%v", c.name, near), nearFleet(c.fleet, near))
		}
	}
}

// BenchmarkLatency prints the figures of all ways to hedge:
// go test -run NONE -bench Latency -benchtime 1x ./selsim.
func BenchmarkLatency(b *testing.B) {
	for _, c := range latencyCases {
		for _, h := range []hedging{never, atObjective, withinShare} {
			benchmark(b, fmt.Sprintf("gray=%v/load=%v/share=%v/%d", c.gray, c.load, c.share, h), hedgedFleet(c, h))
		}
	}
}
