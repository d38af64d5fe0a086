// Package spread decides which daemons connect to which targets, so that the
// connections of all daemons together stay below the cap of each target.
//
// A target whose cap has room for all daemons is used by all of them. Else it
// is used by as many daemons as fit, chosen by rendezvous hash: every daemon
// computes the same choice without messages, the daemons have nearly equal
// numbers of targets, and the loss of one daemon moves few connections.
//
// # Usage
//
//	s := spread.New(self, daemons, 8) // at most 8 connections to a target
//	for i, m := range s.Members(pool) {
//		if m.Used {
//			connect(pool.Targets[i])
//		}
//	}
package spread

import (
	"cmp"
	"slices"

	"rhubarbdrift.example/model"
)

// remoteShare is the part of a target's connections that is kept for daemons
// of other regions, which send at most a tenth of a pool's requests.
const remoteShare = 10

// Daemon describes one daemon of the fleet.
type Daemon struct {
	Host   model.HostID
	Region model.Region
	Domain model.Domain
}

// Subset finds the targets that one daemon connects to.
type Subset struct {
	self    Daemon
	regions map[model.Region][]Daemon
	all     int
	perHost int
}

// Member says how a daemon uses a target.
type Member struct {
	Used  bool // the daemon connects to the target
	Users int  // daemons of the target's region that use it
}

// New returns the Subset of the daemon self among all live daemons, each of
// which opens at most perHost connections to one target.
func New(self Daemon, daemons []Daemon, perHost int) *Subset {
	s := &Subset{self: self, regions: make(map[model.Region][]Daemon), perHost: perHost}
	// The list of live hosts lags: a new daemon counts itself.
	if !slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Host == self.Host }) {
		daemons = append(slices.Clip(daemons), self)
	}
	for _, d := range daemons {
		s.regions[d.Region] = append(s.regions[d.Region], d)
	}
	s.all = len(daemons)
	return s
}

// Members returns the use of each target of the pool, in the pool's order.
func (s *Subset) Members(p *model.Pool) []Member {
	out := make([]Member, len(p.Targets))
	byRegion := make(map[model.Region][]int)
	for i := range p.Targets {
		r := p.Targets[i].Region
		byRegion[r] = append(byRegion[r], i)
	}
	for region, list := range byRegion {
		s.region(p, region, list, out)
	}
	return out
}

// region decides for the targets of one region, given by their indexes.
func (s *Subset) region(p *model.Pool, region model.Region, list []int, out []Member) {
	local := s.regions[region]
	remote := s.all - len(local)
	quota := make([]int, len(list))
	small := true
	for i, index := range list {
		limit := p.Targets[index].Connections / s.perHost
		if p.Targets[index].Connections == 0 || limit >= s.all {
			limit = s.all
		}
		quota[i] = limit
		small = small && limit >= s.all
	}
	if small {
		for _, index := range list {
			out[index] = Member{Used: true, Users: max(1, len(local))}
		}
		return
	}
	daemons := local
	if region != s.self.Region {
		daemons = s.outside(region)
	}
	for i, index := range list {
		kept := 0
		if remote > 0 && len(local) > 0 {
			kept = max(1, quota[i]/remoteShare)
		}
		near := min(len(local), max(1, quota[i]-kept))
		out[index].Users = max(1, near)
		if region == s.self.Region {
			quota[i] = near
		} else if len(local) > 0 {
			quota[i] = min(kept, max(0, quota[i]-near))
		}
	}
	s.assign(p, list, quota, daemons, out)
}

func (s *Subset) outside(region model.Region) []Daemon {
	var out []Daemon
	for r, list := range s.regions {
		if r != region {
			out = append(out, list...)
		}
	}
	return out
}

// pair is a daemon and a target, given by their indexes, with their rank.
type pair struct {
	rank           uint64
	daemon, target int
}

// assign gives each target its quota of daemons. The pairs are taken in the
// order of their rank, first while the daemon has less than the mean number of
// targets, then one more for each: so the daemons are used evenly, and a change
// of one daemon moves few pairs.
func (s *Subset) assign(p *model.Pool, list, quota []int, daemons []Daemon, out []Member) {
	pairs := make([]pair, 0, len(list)*len(daemons))
	sum := 0
	for i, index := range list {
		sum += min(quota[i], len(daemons))
		item := string(p.Targets[index].ID)
		for j := range daemons {
			pairs = append(pairs, pair{rank: model.Rank(daemons[j].Host, item), daemon: j, target: i})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(a.rank, b.rank) })
	mean := sum / max(1, len(daemons))
	count := make([]int, len(daemons))
	taken := make([]bool, len(pairs))
	for _, most := range []int{mean, mean + 1} {
		for i, c := range pairs {
			if taken[i] || count[c.daemon] >= most || quota[c.target] < 1 {
				continue
			}
			taken[i] = true
			count[c.daemon]++
			quota[c.target]--
			if daemons[c.daemon].Host == s.self.Host {
				out[list[c.target]].Used = true
			}
		}
	}
}
