// Package subset decides which daemons connect to which targets, so that the
// connections of all daemons together stay below the connection cap of each
// target.
//
// A target whose cap has room for all daemons is used by all of them. Otherwise
// it is used by as many daemons as fit, chosen by rendezvous hashing: every
// daemon computes the same assignment without communication, all daemons have
// nearly the same number of targets, and the loss of one daemon moves few
// connections.
//
// # Usage
//
//	s := subset.New(self, daemons, 8) // at most 8 connections to a target
//	for i, a := range s.Assignments(pool) {
//		if a.Used {
//			connect(pool.Targets[i])
//		}
//	}
package subset

import (
	"cmp"
	"slices"

	"rhubarbdrift.example/model"
)

// remoteDivisor is 10: a tenth of each target's connections is reserved for daemons
// in other regions, which send at most a tenth of a pool's requests.
const remoteDivisor = 10

// Daemon describes one daemon of the fleet.
type Daemon struct {
	Host   model.HostID
	Region model.Region
	Domain model.Domain
}

// Subset computes the targets that one daemon connects to.
type Subset struct {
	self                 Daemon
	regions              map[model.Region][]Daemon
	daemonCount          int
	connectionsPerDaemon int
}

// Assignment describes how a daemon uses a target.
type Assignment struct {
	Used         bool // the daemon connects to the target
	LocalDaemons int  // number of daemons in the target's region that use it, at least 1
}

// New returns the Subset of the daemon self among all live daemons, each of
// which opens at most connectionsPerDaemon connections to one target.
func New(self Daemon, daemons []Daemon, connectionsPerDaemon int) *Subset {
	s := &Subset{self: self, regions: make(map[model.Region][]Daemon), connectionsPerDaemon: connectionsPerDaemon}
	// The list of live daemons may not include a new daemon yet.
	if !slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Host == self.Host }) {
		daemons = append(slices.Clip(daemons), self)
	}
	for _, d := range daemons {
		s.regions[d.Region] = append(s.regions[d.Region], d)
	}
	s.daemonCount = len(daemons)
	return s
}

// Assignments returns the daemon's use of each target, in the order of p.Targets.
func (s *Subset) Assignments(p *model.Pool) []Assignment {
	assignments := make([]Assignment, len(p.Targets))
	byRegion := make(map[model.Region][]int)
	for i := range p.Targets {
		r := p.Targets[i].Region
		byRegion[r] = append(byRegion[r], i)
	}
	for region, indexes := range byRegion {
		s.assignRegion(p, region, indexes, assignments)
	}
	return assignments
}

// assignRegion sets the assignments of the targets in one region, given by their
// indexes. The connection cap of a target is divided into a quota of daemons in its
// region and one of daemons outside it. Only the quotas on the own side are assigned.
func (s *Subset) assignRegion(p *model.Pool, region model.Region, indexes []int, assignments []Assignment) {
	local := s.regions[region]
	remote := s.daemonCount - len(local)
	quotas := make([]int, len(indexes))
	uncapped := true
	for i, index := range indexes {
		maxDaemons := p.Targets[index].Connections / s.connectionsPerDaemon
		if p.Targets[index].Connections == 0 || maxDaemons >= s.daemonCount {
			maxDaemons = s.daemonCount
		}
		quotas[i] = maxDaemons
		uncapped = uncapped && maxDaemons >= s.daemonCount
	}
	if uncapped {
		for _, index := range indexes {
			assignments[index] = Assignment{Used: true, LocalDaemons: max(1, len(local))}
		}
		return
	}
	daemons := local
	if region != s.self.Region {
		daemons = s.daemonsOutside(region)
	}
	for i, index := range indexes {
		remoteQuota := 0
		if remote > 0 && len(local) > 0 {
			remoteQuota = max(1, quotas[i]/remoteDivisor)
		}
		localQuota := min(len(local), max(1, quotas[i]-remoteQuota))
		assignments[index].LocalDaemons = max(1, localQuota)
		if region == s.self.Region {
			quotas[i] = localQuota
		} else if len(local) > 0 {
			quotas[i] = min(remoteQuota, max(0, quotas[i]-localQuota))
		}
	}
	s.assign(p, indexes, quotas, daemons, assignments)
}

func (s *Subset) daemonsOutside(region model.Region) []Daemon {
	var result []Daemon
	for r, daemons := range s.regions {
		if r != region {
			result = append(result, daemons...)
		}
	}
	return result
}

// candidate is a possible assignment of a daemon to a target, both given by their
// indexes, with its rendezvous hash.
type candidate struct {
	rank           uint64
	daemon, target int
}

// assign gives each target its quota of daemons. Candidates are considered in the
// order of their rank: first while the daemon has fewer than the mean number of
// targets, then one more for each daemon. The targets are thus distributed evenly,
// and adding or removing one daemon changes few assignments.
func (s *Subset) assign(p *model.Pool, indexes, quotas []int, daemons []Daemon, assignments []Assignment) {
	candidates := make([]candidate, 0, len(indexes)*len(daemons))
	total := 0
	for i, index := range indexes {
		total += min(quotas[i], len(daemons))
		targetID := string(p.Targets[index].ID)
		for j := range daemons {
			candidates = append(candidates, candidate{rank: model.RendezvousHash(daemons[j].Host, targetID), daemon: j, target: i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	mean := total / max(1, len(daemons))
	targetCounts := make([]int, len(daemons))
	assigned := make([]bool, len(candidates))
	for _, maxTargets := range []int{mean, mean + 1} {
		for i, c := range candidates {
			if assigned[i] || targetCounts[c.daemon] >= maxTargets || quotas[c.target] < 1 {
				continue
			}
			assigned[i] = true
			targetCounts[c.daemon]++
			quotas[c.target]--
			if daemons[c.daemon].Host == s.self.Host {
				assignments[indexes[c.target]].Used = true
			}
		}
	}
}
