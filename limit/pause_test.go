package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// pausedFleet is a simulated fleet of which a part is paused for some seconds while a
// customer sends several times its limit.
type pausedFleet struct {
	random   *rand.Rand
	now      time.Duration
	account  maker
	buckets  []account
	guards   []*PauseGuard
	queued   []int // requests that wait at each paused daemon
	guarded  bool
	admitted []time.Duration
	reports  []pausedReport // on their way, the oldest first
}

// pausedReport tells the other daemons of one request.
type pausedReport struct {
	at       time.Duration
	from     int
	admitted float64
}

const (
	pauseDaemons   = 36
	pausedDaemons  = 12
	pauseFrom      = 6 * time.Second
	pauseTo        = 10 * time.Second
	pauseDelay     = 100 * time.Millisecond  // until the others learn of an admission
	pauseQueue     = 10                      // requests that callers keep waiting at each daemon
	pauseUnnoticed = 1500 * time.Millisecond // time after which the others notice the pause
)

func (f *pausedFleet) time() time.Time { return time.Unix(0, 0).Add(f.now) }

func (f *pausedFleet) paused(i int) bool {
	return i < pausedDaemons && f.now >= pauseFrom && f.now < pauseTo
}

// send sends one request to daemon i. The others learn of it after pauseDelay.
func (f *pausedFleet) send(i int) {
	if f.guarded {
		f.guards[i].Check()
	}
	r := pausedReport{at: f.now + pauseDelay, from: i}
	if _, ok := f.buckets[i].Admit(f.time(), f.random.Float64()); ok {
		f.admitted = append(f.admitted, f.now)
		r.admitted = 1
	}
	f.reports = append(f.reports, r)
}

// deliver delivers the reports that have arrived to the daemons that are not paused.
func (f *pausedFleet) deliver() {
	for len(f.reports) > 0 && f.reports[0].at <= f.now {
		for j, b := range f.buckets {
			if j != f.reports[0].from && !f.paused(j) {
				b.AddRemote(f.time(), f.reports[0].admitted, 1)
			}
		}
		f.reports = f.reports[1:]
	}
}

// run returns the largest number of admissions in any window.
func (f *pausedFleet) run(limit Limit) int {
	for range pauseDaemons {
		b := f.account(f.time(), Past{Started: f.time()}, limit, testTolerance, Reachable{Share: 1, NewShare: 1})
		f.buckets = append(f.buckets, b)
		f.guards = append(f.guards, NewPauseGuard(func() time.Duration { return f.now }, func() {
			b.Restart(f.time(), 1.0/pauseDaemons)
		}))
		f.queued = append(f.queued, 0)
	}
	for ; f.now < 15*time.Second; f.now += time.Millisecond {
		f.deliver()
		for range poisson(f.random, 5*limit.Rate/1000) {
			i := f.random.IntN(pauseDaemons)
			if f.paused(i) {
				f.queued[i] = min(f.queued[i]+1, pauseQueue)
				continue
			}
			f.send(i)
		}
		for i := range f.buckets {
			for ; f.queued[i] > 0 && !f.paused(i); f.queued[i]-- {
				f.send(i)
			}
			f.update(i)
		}
	}
	most, oldest := 0, 0
	for i, at := range f.admitted {
		for f.admitted[oldest] <= at-window {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// update sets the reachable share of a daemon that is not paused every 50 ms.
func (f *pausedFleet) update(i int) {
	if f.now%(50*time.Millisecond) != 0 || f.paused(i) {
		return
	}
	share := 1.0
	if f.now >= pauseFrom+pauseUnnoticed && f.now < pauseTo {
		share = 1 - float64(pausedDaemons)/pauseDaemons
	}
	f.guards[i].Confirm()
	f.buckets[i].SetReachable(f.time(), Reachable{Share: share})
}

// TestPaused guards against daemons that use, after a pause, tokens which the others have
// used meanwhile. Without the guard the same fleet exceeds the limit.
func TestPaused(t *testing.T) {
	for kind, newAccount := range makers {
		t.Run(kind, func(t *testing.T) { testPaused(t, newAccount, seeds[kind]) })
	}
}

func testPaused(t *testing.T, newAccount maker, seeds uint64) {
	for _, rate := range []float64{30, 64, 150} {
		limit := Limit{Rate: rate, Burst: rate}
		bound := int((limit.Rate*window.Seconds()+limit.Burst)*(1+overshoot) + slack)
		for seed := range seeds {
			guarded := &pausedFleet{account: newAccount, random: rand.New(rand.NewPCG(seed, 2)), guarded: true}
			test.LessEq(t, bound, guarded.run(limit), test.Sprint("rate ", rate, " seed ", seed))
		}
	}
	naive := &pausedFleet{account: newAccount, random: rand.New(rand.NewPCG(1, 2))}
	test.Greater(t, int((30*window.Seconds()+30)*(1+overshoot)+slack), naive.run(Limit{Rate: 30, Burst: 30}))
}

// TestPauseGuard guards against a pause that is noticed late, twice or never.
func TestPauseGuard(t *testing.T) {
	now, pauses := time.Hour, 0
	g := NewPauseGuard(func() time.Duration { return now }, func() { pauses++ })
	for range 100 {
		now += 50 * time.Millisecond
		g.Confirm()
		g.Check()
	}
	test.Eq(t, 0, pauses)
	now += 4 * time.Second
	g.Check()
	g.Check()
	g.Confirm()
	test.Eq(t, 1, pauses)
	now += 4 * time.Second
	g.Confirm()
	test.Eq(t, 2, pauses)
}
