package limsim

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

// greedyClient is an adversarial client of the owner. It hoards as many tokens as it
// receives and spends them at the worst times: all at once, and just before they
// expire, while it requests more.
type greedyClient struct {
	fleet  *Fleet
	origin quota.Origin
	seq    uint64
	grants []*heldGrant
}

// heldGrant is a grant of n tokens that a greedyClient holds. Its report of used tokens
// goes to the owner with the next request.
type heldGrant struct {
	quota.Report
	n      int
	region model.Region
	expiry time.Time
}

// take requests tokens from the owner in a region, more than any burst, and stores the
// grant. requests is the demand that it states.
func (g *greedyClient) take(r model.Region, requests int) {
	g.seq++
	t := quota.TokenRequest{From: g.origin, Seq: g.seq, Customer: g.fleet.Customer.ID, Tokens: 1000, Requests: requests}
	for _, h := range g.grants {
		if h.region == r && h.Spent+h.Returned > 0 {
			t.Reports = append(t.Reports, h.Report)
		}
	}
	sent := time.Now()
	time.Sleep(time.Duration(g.fleet.Random() * float64(2*time.Millisecond)))
	received, err := g.fleet.RequestFromOwner(r, t)
	if err == nil {
		g.grants = append(g.grants, &heldGrant{Report: quota.Report{Grant: received.ID}, n: received.N, region: r, expiry: sent.Add(quota.GrantLifetime)})
	}
	if g.fleet.Random() < g.fleet.currentFaults().MessageLoss { // delivered a second time
		repeatDelay := time.Duration(g.fleet.Random() * float64(2*quota.GrantLifetime))
		g.fleet.Go(func() {
			time.Sleep(repeatDelay)
			_, _ = g.fleet.RequestFromOwner(r, t)
		})
	}
}

// spend admits requests with all tokens, or only with those that expire within
// 20 ms, and drops expired grants.
func (g *greedyClient) spend(all bool) {
	now := time.Now()
	var remaining []*heldGrant
	for _, h := range g.grants {
		if !now.Before(h.expiry) {
			continue
		}
		remaining = append(remaining, h)
		if !all && h.expiry.Sub(now) > 20*time.Millisecond {
			continue
		}
		unspent := h.n - h.Spent - h.Returned
		g.fleet.RecordAdmissions(unspent)
		h.Spent += unspent
	}
	g.grants = remaining
}

// returnHalf marks half of the unspent tokens of each grant, rounded up, as
// returned.
func (g *greedyClient) returnHalf() {
	for _, h := range g.grants {
		h.Returned += (h.n - h.Spent - h.Returned + 1) / 2
	}
}

// run alternates at random between phases that spend all tokens and phases that
// hold them, until the end of the simulation.
func (g *greedyClient) run(busy func() model.Region) {
	f := g.fleet
	for f.Elapsed() < f.end {
		spending := f.Random() < 0.5
		phaseEnd := time.Now().Add(time.Duration(f.Random() * float64(2*time.Second)))
		for time.Now().Before(phaseEnd) {
			for _, r := range Regions {
				requests := 0
				if r == busy() {
					requests = 3
				}
				if spending || f.Random() < 0.2 {
					g.take(r, requests)
				}
			}
			g.spend(spending)
			if f.Random() < 0.1 {
				g.returnHalf()
			}
			time.Sleep(time.Duration(f.Random() * float64(20*time.Millisecond)))
		}
	}
}

// TestGreedyAskers guards against a limit that holds only for well-behaved clients:
// it makes the checks of TestNeverExceeds under the same faults, except for pauses,
// with clients that use each grant in the worst permitted way.
func TestGreedyAskers(t *testing.T) {
	const end = 15 * time.Second
	must.NoError(t, flag.Set("rapid.checks", "100"))
	defer func() { must.NoError(t, flag.Set("rapid.checks", "15")) }()
	rapid.Check(t, func(rt *rapid.T) {
		sched := drawSchedule(rt, end)
		f := simulate(t, sched.seed, sched.customer, end, func(f *Fleet) {
			busy := f.replay(sched)
			for _, r := range Regions {
				g := &greedyClient{fleet: f, origin: quota.Origin{Host: model.HostID(r), Region: r}}
				f.Go(func() { g.run(busy) })
			}
		})
		f.check(rt)
	})
}
