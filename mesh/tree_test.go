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

// newDomainFleet returns a fleet of two regions with three failure domains each, where
// the first two hosts of each domain have five times the cores of the others.
func newDomainFleet(perDomain int) *fleet {
	f := &fleet{now: time.Unix(0, 0), nodes: make(map[model.HostID]*Node), failedReports: make(map[model.HostID]uint32), stopped: make(map[model.HostID]bool)}
	f.partitioned = func(Host, Host) bool { return false }
	for _, region := range []model.Region{"north", "south"} {
		for _, letter := range "abc" {
			for i := range perDomain {
				h := Host{ID: model.HostID(fmt.Sprintf("%s-%c-%d", region, letter, i)), Region: region, Domain: model.Domain(fmt.Sprintf("%s-%c", region, letter)), Cores: 0.16}
				if i < 2 {
					h.Cores = 0.8
				}
				f.add(h)
			}
		}
	}
	return f
}

// bestParent returns the best candidate for the parent, or the zero value.
func bestParent(h Host, hosts []Host) Host {
	if list := ParentCandidates(h, hosts); len(list) > 0 {
		return list[0]
	}
	return Host{}
}

// TestFan guards against hosts with more children than their processor and
// network link can serve, and against many links between failure domains. In
// sugarleaf-gw-grown quiet-1 a host with 0.16 cores and 10 Mbit/s had 66 children:
// its messages timed out, half of the fleet read from the store itself, and check
// QUOTA failed.
func TestFan(t *testing.T) {
	for _, size := range []int{1, 9, 22, 58} {
		f := newDomainFleet(size)
		children := make(map[model.HostID]int)
		between := 0
		for _, h := range f.hosts {
			p := bestParent(h, f.hosts)
			children[p.ID]++
			if p.Domain != h.Domain {
				between++
				test.True(t, size < 2 || h.Cores > 0.5)
			}
		}
		test.Eq(t, 6, between) // the heads of the six domains, one of which has no parent
		for id, n := range children {
			test.LessEq(t, 2*hubFanOut, n, test.Sprint(id, size))
		}
	}
}

// TestChurn guards against a join or leave that gives many other hosts a new
// parent. Reports in transit are lost with each change of parent.
func TestChurn(t *testing.T) {
	f := newDomainFleet(22)
	for removed := 0; removed < len(f.hosts); removed += 9 {
		remaining := append(append([]Host(nil), f.hosts[:removed]...), f.hosts[removed+1:]...)
		moved, children := 0, 0
		for _, h := range remaining {
			previous, current := bestParent(h, f.hosts), bestParent(h, remaining)
			if previous.ID == f.hosts[removed].ID {
				children++
			} else if previous.ID != current.ID {
				moved++
			}
		}
		test.LessEq(t, 16, moved) // a hub that leaves is replaced by another host
	}
}

// TestOnceGrown guards against reports that reach a host twice or not at all
// in a tree of several levels, also after hosts stopped.
func TestOnceGrown(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newDomainFleet(22)
		for range 2 * seed {
			f.stopped[f.hosts[random.IntN(len(f.hosts))].ID] = true
		}
		for range 40 {
			f.round(random)
		}
		clear(f.failedReports)
		running, total := 0, uint32(0)
		for i, h := range f.hosts {
			if !f.stopped[h.ID] {
				f.nodes[h.ID].Report(func(s *Sum) { s.AddTarget("t", TargetCounts{Failed: uint32(i + 1)}) })
				running, total = running+1, total+uint32(i+1)
			}
		}
		for range 14 {
			f.round(random)
		}
		for i, h := range f.hosts {
			if !f.stopped[h.ID] {
				must.Eq(t, total-uint32(i+1), f.failedReports[h.ID])
				must.Eq(t, running, f.nodes[h.ID].CountHosts())
			}
		}
	}
}
