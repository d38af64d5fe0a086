package mesh

import (
	"cmp"
	"slices"

	"rhubarbdrift.example/model"
)

// hubFanOut is how many hosts of a failure domain share a hub, a host that is the
// parent of others there. At 12 messages a second from each child and
// 0.3 ms a message, a hub spends 4% of a core on them.
const hubFanOut = 12

// domainKey identifies a failure domain.
type domainKey struct {
	region model.Region
	domain model.Domain
}

func domainOf(h Host) domainKey { return domainKey{h.Region, h.Domain} }

// ParentCandidates returns the hosts that may become the parent of self, the best first.
//
// The first host of a failure domain is its head, and the first few are its
// hubs. The other hosts of the domain select a hub by rendezvous hash, so that a
// host that joins or leaves changes the parent of few others. The parent of a hub
// is the head of its domain. The parent of a head is the head of its region's
// first domain, and the parent of that one is the head of the first region. So a
// single link connects each domain, and each region, to the rest of the tree.
//
// A parent always precedes its child in an order that is the same on all hosts
// even if their lists of hosts differ, so links never form a cycle.
func ParentCandidates(self Host, hosts []Host) []Host {
	preceding := make(map[domainKey][]Host)
	size := 1
	for _, h := range hosts {
		if compareHosts(h, self) < 0 {
			preceding[domainOf(h)] = append(preceding[domainOf(h)], h)
		}
		if h.ID != self.ID && domainOf(h) == domainOf(self) {
			size++
		}
	}
	var remote []candidate
	for key, list := range preceding {
		slices.SortFunc(list, compareHosts)
		if key == domainOf(self) {
			continue
		}
		for i, h := range list {
			remote = append(remote, candidate{h, i})
		}
	}
	slices.SortFunc(remote, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(distance(self, a.Host), distance(self, b.Host)), cmp.Compare(a.index, b.index), compareHosts(a.Host, b.Host))
	})
	list := localParents(self, preceding[domainOf(self)], size)
	for _, c := range remote {
		list = append(list, c.Host)
	}
	return list
}

// candidate is a host with its index in the order of its failure domain.
type candidate struct {
	Host
	index int
}

// localParents returns the hosts of self's failure domain that may become its parent,
// the best first: those that precede it, which are already in order. Unless self is a
// hub, it sorts the hubs among them by their rendezvous hash with self. The domain
// has size hosts.
func localParents(self Host, preceding []Host, size int) []Host {
	hubs := (size + hubFanOut - 1) / hubFanOut
	if len(preceding) < hubs {
		return preceding
	}
	slices.SortFunc(preceding[:hubs], func(a, b Host) int {
		return cmp.Compare(model.RendezvousHash(a.ID, string(self.ID)), model.RendezvousHash(b.ID, string(self.ID)))
	})
	return preceding
}

// rankOf returns the number of hosts of self's failure domain that precede it.
func rankOf(self Host, hosts []Host) int {
	rank := 0
	for _, h := range hosts {
		if domainOf(h) == domainOf(self) && compareHosts(h, self) < 0 {
			rank++
		}
	}
	return rank
}

// distance returns 0 for a host of the same region and 1 for any other.
func distance(self, h Host) int {
	if h.Region == self.Region {
		return 0
	}
	return 1
}

// compareHosts orders hosts by region and failure domain and, within a domain, by
// descending processor share and then rendezvous hash, because small hosts cannot process
// the messages of many children.
func compareHosts(a, b Host) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(model.RendezvousHash(a.ID, "mesh"), model.RendezvousHash(b.ID, "mesh")),
		cmp.Compare(a.ID, b.ID),
	)
}
