package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// fleet simulates the messages between hosts in virtual time.
type fleet struct {
	now           time.Time
	hosts         []Host
	nodes         map[model.HostID]*Node
	failedReports map[model.HostID]uint32 // failed exchanges reported by other hosts
	stopped       map[model.HostID]bool
	partitioned   func(a, b Host) bool

	parents map[model.HostID][]Host // candidates of each host; computed on first use
}

func newFleet(perRegion int) *fleet {
	f := &fleet{now: time.Unix(0, 0), nodes: make(map[model.HostID]*Node), failedReports: make(map[model.HostID]uint32), stopped: make(map[model.HostID]bool)}
	f.partitioned = func(Host, Host) bool { return false }
	for _, region := range []model.Region{"north", "south"} {
		for i := range perRegion {
			h := Host{ID: model.HostID(fmt.Sprintf("%s-%d", region, i)), Region: region}
			f.add(h)
		}
	}
	return f
}

func (f *fleet) add(h Host) {
	f.hosts = append(f.hosts, h)
	f.nodes[h.ID] = NewNode(h, func() time.Time { return f.now }, func(s *Sum) { f.failedReports[h.ID] += s.Targets["t"].Failed })
}

func (f *fleet) candidates(h Host) []Host {
	if f.parents == nil {
		f.parents = make(map[model.HostID][]Host)
	}
	if f.parents[h.ID] == nil {
		f.parents[h.ID] = ParentCandidates(h, f.hosts)
	}
	return f.parents[h.ID]
}

// round makes every running host exchange messages once with its best reachable
// parent, in random order.
func (f *fleet) round(random *rand.Rand) {
	f.now = f.now.Add(interval)
	for _, i := range random.Perm(len(f.hosts)) {
		h := f.hosts[i]
		if f.stopped[h.ID] {
			continue
		}
		n := f.nodes[h.ID]
		for _, p := range f.candidates(h) {
			if f.stopped[p.ID] || f.partitioned(h, p) {
				n.RemoveLink(p.ID)
				continue
			}
			request := n.TakePending(p.ID)
			f.nodes[p.ID].Receive(h.ID, &request)
			answer := f.nodes[p.ID].TakePending(h.ID)
			n.Receive(p.ID, &answer)
			break
		}
	}
}

// TestOnce guards against reports that reach a host twice, as they would over
// a cycle of links, or not at all.
func TestOnce(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(10)
		for range 12 {
			f.round(random)
		}
		for i, h := range f.hosts {
			f.nodes[h.ID].Report(func(s *Sum) { s.AddTarget("t", TargetCounts{Failed: uint32(i + 1)}) })
		}
		for range 12 {
			f.round(random)
		}
		for i, h := range f.hosts {
			must.Eq(t, uint32(210-i-1), f.failedReports[h.ID])
			must.Eq(t, 20, f.nodes[h.ID].CountHosts())
		}
	}
}

// TestParentLost guards against a fleet whose hosts no longer receive each
// other's reports after the first host of a region stopped.
func TestParentLost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	f := newFleet(10)
	for range 12 {
		f.round(random)
	}
	first := f.hosts[0]
	for _, h := range f.hosts {
		if len(ParentCandidates(h, f.hosts)) == 0 {
			first = h
		}
	}
	f.stopped[first.ID] = true
	for range 20 {
		f.round(random)
	}
	clear(f.failedReports)
	reporter := f.hosts[19]
	if reporter == first {
		reporter = f.hosts[18]
	}
	f.nodes[reporter.ID].Report(func(s *Sum) { s.AddTarget("t", TargetCounts{Failed: 1}) })
	for range 12 {
		f.round(random)
	}
	for _, h := range f.hosts {
		if h == reporter || h == first {
			continue
		}
		test.Eq(t, 1, f.failedReports[h.ID])
		test.Eq(t, 19, f.nodes[h.ID].CountHosts())
	}
}

// TestRegionsApart guards against hosts that count the whole fleet as connected
// while the regions cannot reach each other.
func TestRegionsApart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	f := newFleet(10)
	f.partitioned = func(a, b Host) bool { return a.Region != b.Region }
	for range 20 {
		f.round(random)
	}
	for _, h := range f.hosts {
		test.Eq(t, 10, f.nodes[h.ID].CountHosts())
	}
}
