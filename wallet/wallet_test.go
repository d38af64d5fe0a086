package wallet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rhubarbdrift.example/model"
)

// simulate runs a fleet in virtual time and returns it after its end.
func simulate(t *testing.T, seed uint64, c *model.Customer, end time.Duration, scenario func(*fleet)) *fleet {
	t.Helper()
	var f *fleet
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f = newFleet(ctx, seed, c, end)
		time.Sleep(time.Second) // the owners start
		f.end = end + time.Second
		scenario(f)
		time.Sleep(end + 2*time.Second)
		cancel()
		f.tasks.Wait()
	})
	return f
}

type event struct {
	at, length time.Duration
	kind       string
	region     model.Region
}

var kinds = []string{"owner", "apart", "lossy", "down", "swap"}

// drawEvents draws a schedule of faults.
func drawEvents(rt *rapid.T, end time.Duration) []event {
	n := rapid.IntRange(1, 8).Draw(rt, "events")
	list := make([]event, n)
	for i := range list {
		list[i] = event{
			at:     time.Duration(rapid.IntRange(0, int(end/time.Millisecond)).Draw(rt, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(100, 5000).Draw(rt, "length")) * time.Millisecond,
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			region: rapid.SampledFrom(regions).Draw(rt, "region"),
		}
	}
	return list
}

func (f *fleet) inject(e event, busy *model.Region) {
	time.Sleep(e.at)
	during := func(on, off func()) {
		f.set(on)
		time.Sleep(e.length)
		f.set(off)
	}
	switch e.kind {
	case "owner":
		f.changeOwner(e.region)
	case "apart":
		during(func() { f.apart = true }, func() { f.apart = false })
	case "lossy":
		during(func() { f.platform.lossy = 0.7 }, func() { f.platform.lossy = 0 })
	case "down":
		during(func() { f.platform.down = true }, func() { f.platform.down = false })
	case "swap":
		f.set(func() { *busy = e.region })
	}
}

// TestNeverExceeds guards against more admissions than burst + rate*t in any
// window, at three times the rate, through owner changes, pauses in the middle
// of an admission, lost, late, repeated and reordered messages, clock drift,
// share moves with lost or delayed writes, and regions apart.
func TestNeverExceeds(t *testing.T) {
	const end = 15 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt, end)
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(rt, "loss")
		c := &model.Customer{ID: "sugarleaf", Rate: 100, Burst: rapid.SampledFrom([]model.Burst{1, 5, 30, 150}).Draw(rt, "burst")}
		f := simulate(t, rapid.Uint64().Draw(rt, "seed"), c, end, func(f *fleet) {
			f.loss, f.pauses = loss, 0.05
			busy := regions[0]
			for _, e := range events {
				f.tasks.Go(func() { f.inject(e, &busy) })
			}
			for _, r := range regions {
				for i := range hostsPerRegion {
					f.offer(f.granted(r, i), func(time.Duration) float64 {
						f.mu.Lock()
						defer f.mu.Unlock()
						if busy == r {
							return 75
						}
						return 7
					})
				}
			}
		})
		if worst := f.excess(); worst > 1e-6 {
			rt.Fatalf("%d admissions, %.3f above the limit", len(f.admitted), worst)
		}
		if len(f.admitted) < 10 {
			rt.Fatalf("only %d admissions: the test shows nothing", len(f.admitted))
		}
	})
}

// traffic returns the requests per second that arrive at a daemon.
type traffic func(region, host int, at time.Duration) float64

const within = 0.95 // of the customer's rate

var patterns = map[string]traffic{
	"even": func(int, int, time.Duration) float64 { return within / 2 / hostsPerRegion },
	"one daemon": func(region, host int, _ time.Duration) float64 {
		if region == 0 && host == 1 {
			return within
		}
		return 0
	},
	"moves": func(region, _ int, at time.Duration) float64 {
		if (at < moveAt) == (region == 0) {
			return within / hostsPerRegion
		}
		return 0
	},
}

const (
	moveAt = 10 * time.Second
	// settleTime is the bound for region shares to follow the demand.
	settleTime = 3 * time.Second
)

// waste returns the part of requests refused although the customer is within its rate.
func waste(t *testing.T, c *model.Customer, p traffic, apart bool, choose func(*fleet, model.Region, int) policy) (float64, *fleet) {
	f := simulate(t, 7, c, 25*time.Second, func(f *fleet) {
		f.apart = false
		f.settling = func(at time.Duration) bool {
			return at < 1+settleTime || (at > moveAt && at < moveAt+settleTime)
		}
		if apart {
			f.tasks.Go(func() {
				time.Sleep(moveAt + settleTime - time.Since(f.start))
				f.set(func() { f.apart = true })
			})
		}
		for r, region := range regions {
			for i := range hostsPerRegion {
				f.offer(choose(f, region, i), func(at time.Duration) float64 { return p(r, i, at) * float64(c.Rate) })
			}
		}
	})
	return float64(f.refused) / float64(f.offered), f
}

// TestNoWaste guards against refusals of a customer at 95% of its rate, for
// each traffic pattern, a large and a small burst, with the regions connected
// and, after the settling time, apart: then only a share that followed the
// demand can serve it.
func TestNoWaste(t *testing.T) {
	for name, p := range patterns {
		for _, burst := range []model.Burst{40, 100} {
			for _, apart := range []bool{false, true} {
				c := &model.Customer{ID: "sugarleaf", Rate: 100, Burst: burst}
				part, f := waste(t, c, p, apart, (*fleet).granted)
				t.Logf("%s, burst %v, apart %v: refused %.4f, excess %.2f, %d writes", name, burst, apart, part, f.excess(), len(f.platform.written))
			}
		}
	}
}
