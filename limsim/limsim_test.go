package limsim

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Makes every run draw the same schedules.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "15")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// simulate runs a scenario on a fleet in virtual time and returns the fleet after
// all its tasks have ended. The scenario starts one second after the fleet and lasts
// for the time end.
func simulate(t *testing.T, seed uint64, c *model.Customer, end time.Duration, scenario func(*Fleet)) *Fleet {
	t.Helper()
	var f *Fleet
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f = New(ctx, seed, c, end+time.Second)
		time.Sleep(time.Second) // the owners need this time to start
		scenario(f)
		time.Sleep(end + 2*time.Second)
		cancel()
		f.Wait()
		time.Sleep(time.Second) // let pending writes finish
	})
	return f
}

// event is a fault, or a move of the load, at a time after the start of the schedule.
// length is the duration of the kinds apart, lossy and down.
type event struct {
	at, length time.Duration
	kind       string
	region     model.Region
}

// eventKinds lists the kinds of events, the frequent ones several times: owner changes
// the owner of a region, apart partitions the regions, lossy loses responses to writes,
// down makes the platform unavailable, and swap moves the load to a region.
var eventKinds = []string{"owner", "owner", "apart", "lossy", "lossy", "down", "swap", "swap", "swap"}

// drawEvents draws 2 to 10 fault events.
func drawEvents(rt *rapid.T, end time.Duration) []event {
	n := rapid.IntRange(2, 10).Draw(rt, "events")
	list := make([]event, n)
	for i := range list {
		list[i] = event{
			at:     time.Duration(rapid.IntRange(0, int(end/time.Millisecond)).Draw(rt, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(100, 5000).Draw(rt, "length")) * time.Millisecond,
			kind:   rapid.SampledFrom(eventKinds).Draw(rt, "kind"),
			region: rapid.SampledFrom(Regions).Draw(rt, "region"),
		}
	}
	return list
}

// inject waits for the time of an event and applies it. For the kind swap it stores the
// region of the event in busy, under the lock of SetFaults.
func (f *Fleet) inject(e event, busy *model.Region) {
	time.Sleep(e.at)
	during := func(on, off func(*Faults)) {
		f.SetFaults(on)
		time.Sleep(e.length)
		f.SetFaults(off)
	}
	switch e.kind {
	case "owner":
		f.ChangeOwner(e.region)
	case "apart":
		during(func(s *Faults) { s.Partitioned = true }, func(s *Faults) { s.Partitioned = false })
	case "lossy":
		during(func(s *Faults) { s.WriteLoss = 0.7 }, func(s *Faults) { s.WriteLoss = 0 })
	case "down":
		f.Platform.SetUnavailable(true)
		time.Sleep(e.length)
		f.Platform.SetUnavailable(false)
	case "swap":
		f.SetFaults(func(*Faults) { *busy = e.region })
	}
}

// schedule is a set of fault events and the customer that it is run for.
type schedule struct {
	events   []event
	loss     float64 // Faults.MessageLoss
	customer *model.Customer
	seed     uint64
}

// drawSchedule draws a schedule of the given length.
func drawSchedule(rt *rapid.T, end time.Duration) schedule {
	return schedule{
		events:   drawEvents(rt, end),
		loss:     rapid.SampledFrom([]float64{0, 0.02, 0.4}).Draw(rt, "loss"),
		customer: &model.Customer{ID: "sugarleaf", Rate: 100, Burst: rapid.SampledFrom([]model.Burst{1, 8, 32, 100}).Draw(rt, "burst")},
		seed:     rapid.Uint64().Draw(rt, "seed"),
	}
}

// replay starts a schedule and returns a function that reports the region with the
// higher load at the time of the call.
func (f *Fleet) replay(sched schedule) func() model.Region {
	f.SetFaults(func(s *Faults) { s.MessageLoss = sched.loss })
	busy := Regions[0]
	for _, e := range sched.events {
		f.Go(func() { f.inject(e, &busy) })
	}
	return func() model.Region {
		f.mu.Lock()
		defer f.mu.Unlock()
		return busy
	}
}

// check fails the test if the limit was exceeded or hardly any request was admitted.
func (f *Fleet) check(rt *rapid.T) {
	if worst := f.Excess(); worst > 1e-6 {
		rt.Fatalf("%d admissions, %.3f above the limit", f.Admitted(), worst)
	}
	if f.Admitted() < 10 {
		rt.Fatalf("only %d admissions: too few to test the limit", f.Admitted())
	}
}

// TestNeverExceeds guards against more admissions than burst + rate*t in any time
// window, at up to four times the rate, with owner changes, pauses in the middle
// of an admission, lost, delayed, duplicated and reordered messages, clock drift,
// share moves with lost or delayed writes, and network partitions between the
// regions. The load pulses, so that full bursts are used up and refilled.
func TestNeverExceeds(t *testing.T) {
	const end, pulse = 15 * time.Second, 2400 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		sched := drawSchedule(rt, end)
		f := simulate(t, sched.seed, sched.customer, end, func(f *Fleet) {
			busy := f.replay(sched)
			f.SetFaults(func(s *Faults) { s.PauseShare = 0.05 })
			for _, r := range Regions {
				for i := range Hosts {
					f.Offer(f.CachePolicy(r, i), func(at time.Duration) float64 {
						if busy() == r && at%pulse < pulse/2 {
							return 100
						}
						return 3
					})
				}
			}
		})
		f.check(rt)
	})
}

// traffic returns the load of a daemon at a time since the start, as a fraction of the
// rate of the customer. Region and host are numbers from 0.
type traffic func(region, host int, at time.Duration) float64

const offeredFraction = 0.95 // of the rate of the customer

var patterns = map[string]traffic{
	"even": func(int, int, time.Duration) float64 { return offeredFraction / 2 / Hosts },
	"one daemon": func(region, host int, _ time.Duration) float64 {
		if region == 0 && host == 1 {
			return offeredFraction
		}
		return 0
	},
	"moves": func(region, _ int, at time.Duration) float64 {
		if (at < moveAt) == (region == 0) {
			return offeredFraction / Hosts
		}
		return 0
	},
}

const (
	// moveAt is the time since the start at which the pattern "moves" switches to the
	// other region.
	moveAt = 10 * time.Second
	// settleTime bounds the time in which the shares of the regions must follow the
	// demand.
	settleTime = 3 * time.Second
)

// simulateTraffic offers a traffic pattern within the rate of a customer and returns
// the fraction of its requests that was refused, and the fleet. If apart is set, the
// regions are partitioned from the end of the second settling time, which follows
// moveAt.
func simulateTraffic(t *testing.T, c *model.Customer, pattern traffic, apart bool, newPolicy func(*Fleet, model.Region, int) Policy) (float64, *Fleet) {
	f := simulate(t, 7, c, 25*time.Second, func(f *Fleet) {
		f.ExcludeTimes(func(at time.Duration) bool {
			return at < 1+settleTime || (at > moveAt && at < moveAt+settleTime)
		})
		if apart {
			f.Go(func() {
				time.Sleep(moveAt + settleTime - f.Elapsed())
				f.SetFaults(func(s *Faults) { s.Partitioned = true })
			})
		}
		for r, region := range Regions {
			for i := range Hosts {
				f.Offer(newPolicy(f, region, i), func(at time.Duration) float64 { return pattern(r, i, at) * float64(c.Rate) })
			}
		}
	})
	return f.RefusedFraction(), f
}

// TestNoWaste guards against refusals of a customer at 95% of its rate, for each
// traffic pattern, with the regions connected and with a partition that begins
// after the settling time: then only a share that has followed the demand suffices.
func TestNoWaste(t *testing.T) {
	for name, p := range patterns {
		for _, apart := range []bool{false, true} {
			fraction, f := simulateTraffic(t, &model.Customer{ID: "sugarleaf", Rate: 100, Burst: 100}, p, apart, (*Fleet).CachePolicy)
			must.Less(t, 0.005, fraction, must.Sprintf("%s, apart %v: refused", name, apart))
			must.Less(t, 20, f.Platform.CallCounts().Put, must.Sprintf("%s, apart %v: writes", name, apart))
			must.LessEq(t, 0, f.Excess())
		}
	}
	fraction, _ := simulateTraffic(t, &model.Customer{ID: "small", Rate: 100, Burst: 40}, patterns["moves"], false, (*Fleet).CachePolicy)
	must.Less(t, 0.005, fraction)
}

// evenSplit returns a naive policy: a token bucket per daemon with an equal fraction
// of the limits.
func (f *Fleet) evenSplit(model.Region, int) Policy {
	var mu sync.Mutex
	n := float64(Hosts * len(Regions))
	last, tokens := time.Now(), float64(f.Customer.Burst)/n
	return func(context.Context) (func() bool, error) {
		mu.Lock()
		defer mu.Unlock()
		tokens = min(float64(f.Customer.Burst)/n, tokens+time.Since(last).Seconds()*float64(f.Customer.Rate)/n)
		last = time.Now()
		if tokens < 1 {
			return nil, quota.Limited(time.Second)
		}
		tokens--
		return func() bool { return true }, nil
	}
}

// uncountedOwner is a naive quota owner whose outstanding grants do not count against
// the burst: its bucket refills to the full burst while daemons still hold tokens.
type uncountedOwner struct {
	mu     sync.Mutex
	fleet  *Fleet
	last   time.Time
	tokens float64
}

// RequestTokens implements quota.TokenClient.
func (u *uncountedOwner) RequestTokens(_ context.Context, _ model.Region, _ model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.fleet.Customer
	u.tokens = min(float64(c.Burst), u.tokens+time.Since(u.last).Seconds()*float64(c.Rate))
	u.last = time.Now()
	n := min(t.Tokens, int(u.tokens))
	if n < 1 {
		return quota.Grant{}, quota.Limited(time.Millisecond)
	}
	u.tokens -= float64(n)
	return quota.Grant{ID: t.Seq, N: n, Valid: model.Millis(quota.GrantLifetime / time.Millisecond)}, nil
}

// TestNaivePoliciesFail guards against checks that accept faulty policies: an even
// split over the daemons, and grants that do not count against the burst.
func TestNaivePoliciesFail(t *testing.T) {
	c := &model.Customer{ID: "sugarleaf", Rate: 100, Burst: 100}
	fraction, _ := simulateTraffic(t, c, patterns["one daemon"], false, (*Fleet).evenSplit)
	must.Greater(t, 0.5, fraction)
	for name, counted := range map[string]bool{"counted": true, "not counted": false} {
		f := simulate(t, 1, c, 10*time.Second, func(f *Fleet) {
			owner := &uncountedOwner{fleet: f}
			for _, r := range Regions {
				for i := range Hosts {
					p := f.CachePolicy(r, i)
					if !counted {
						p = f.CachePolicyWith(quota.Origin{Region: r}, owner)
					}
					// At low load the bucket refills to the full burst while daemons hold
					// prefetched tokens. The load after it can use both.
					f.Offer(p, func(at time.Duration) float64 {
						if at%(3*time.Second) < 2*time.Second {
							return 6
						}
						return 200
					})
				}
			}
		})
		must.EqOp(t, counted, f.Excess() <= 0, must.Sprintf("%s: excess %.1f", name, f.Excess()))
	}
}
