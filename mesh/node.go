package mesh

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// linkTimeout is the time without a message after which a link is removed. A
// host sends several messages a second.
const linkTimeout = 1500 * time.Millisecond

// countTimeout is the time without a message after which the hosts that a link reaches do not count.
// A host that cannot reach its parent uses its own part of the limits from then on, so this is
// hardly more than the longest exchange.
const countTimeout = 700 * time.Millisecond

// Node is the state of one host in the tree: its links and the reports that
// wait on them. It opens no connections and is safe for concurrent use.
type Node struct {
	self        Host
	clock       model.Clock
	onReport    func(*Sum)
	incarnation uint64 // identifies this process; never 0

	mu      sync.Mutex
	links   map[model.HostID]*link
	reach   reachable // the hosts that the links reach
	started time.Time
}

// link is the state of the connection to a neighbour: the parent or a child.
type link struct {
	pending   Sum     // reports to send with the next message
	reaches   hostSet // hosts that are reachable over the link
	held      uint32  // hash of reaches as the neighbour sent it; 0: none
	peerHolds uint32  // hash of the set of this host that the neighbour holds; 0: none
	lastSeen  time.Time
	others    setHash // hash of the hosts that the other links reach, as of the number of changes
	othersAt  int
	// The numbers of hosts that a neighbour of an earlier release sends, which names none.
	hostCount, newCount int
}

// Host is a daemon of the fleet.
type Host struct {
	ID      model.HostID `json:"id"      cbor:"1,keyasint"`
	Region  model.Region `json:"region"  cbor:"2,keyasint"`
	Domain  model.Domain `json:"domain"  cbor:"3,keyasint"`
	Address string       `json:"address" cbor:"4,keyasint"` // host and port for other daemons
	Cores   model.Cores  `json:"power"   cbor:"5,keyasint"` // processor share
}

// maxCores is above the processor share of any host.
const maxCores = 1 << 12

// Check returns an error of package fault if the entry names no daemon that can be used.
func (h *Host) Check() error {
	switch {
	case h.ID == "" || h.Region == "" || h.Domain == "":
		return fault.Invalid("daemon "+string(h.ID), "its id, region or failure domain is empty", "find the program that wrote this entry")
	case !(h.Cores > 0 && h.Cores <= maxCores):
		return fault.Invalid("daemon "+string(h.ID), fmt.Sprintf("its processor share %v is not from 0 to %d", h.Cores, maxCores), "find the program that wrote this entry")
	default:
		return model.CheckAddress("daemon "+string(h.ID), h.Address)
	}
}

// NewNode returns a node without links. It calls onReport with each sum that
// other hosts report.
func NewNode(self Host, clock model.Clock, onReport func(*Sum)) *Node {
	return &Node{self: self, clock: clock, onReport: onReport, incarnation: rand.Uint64() | 1, links: make(map[model.HostID]*link), reach: newReachable(self.ID), started: clock()}
}

// Report adds a report of this host to the pending sum of every link.
func (n *Node) Report(add func(*Sum)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		add(&l.pending)
	}
}

// Receive processes a message from a neighbour and forwards it to all other
// links. It opens the link if there is none.
func (n *Node) Receive(from model.HostID, in *Sum) {
	n.forward(from, in)
	n.onReport(in)
}

// forward adds a neighbour's message to the pending ones of all other links.
func (n *Node) forward(from model.HostID, in *Sum) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire()
	l := n.links[from]
	if l == nil {
		l = &link{othersAt: -1}
		n.links[from] = l
	}
	l.lastSeen = n.clock()
	n.setReach(l, in)
	for id, other := range n.links {
		if id != from {
			other.pending.Add(in)
		}
	}
}

// setReach stores which hosts a neighbour reaches. The caller holds n.mu.
func (n *Node) setReach(l *link, in *Sum) {
	r := in.Reach
	if r == nil {
		n.replaceSet(l, nil)
		l.held, l.peerHolds, l.hostCount, l.newCount = 0, 0, in.Hosts, in.New
		return
	}
	l.peerHolds, l.hostCount, l.newCount = r.Have, 0, 0
	switch {
	case len(r.Hosts) > 0:
		n.replaceSet(l, parseSet(r))
		l.held = r.Hash
	case r.Hash != l.held:
		n.replaceSet(l, nil) // until the neighbour learns that its set is missing here
		l.held = 0
	}
}

// replaceSet replaces the set of a link. The caller holds n.mu.
func (n *Node) replaceSet(l *link, s hostSet) {
	delete(s, n.reach.self)
	n.reach.add(l.reaches, -1)
	n.reach.add(s, 1)
	l.reaches = s
}

// TakePending returns and clears the pending message for a neighbour: what all other
// links and this host reported since the previous one. It names the hosts that are
// reachable without this link. It opens the link if there is none.
func (n *Node) TakePending(to model.HostID) Sum {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to]
	if l == nil {
		l = &link{lastSeen: n.clock(), othersAt: -1}
		n.links[to] = l
	}
	pending := l.pending
	l.pending = Sum{}
	hash := n.othersHash(l)
	hash.toggle(n.reach.self, n.isNew())
	pending.Reach = &Reach{Hash: hash.short(), Have: l.held}
	if l.peerHolds != hash.short() {
		set := n.reach.setWithout(l.reaches)
		set[n.reach.self] = n.isNew()
		pending.Reach.Hosts, pending.Reach.New = set.keys(false), set.keys(true)
	}
	if l.held == 0 { // the neighbour may be of an earlier release, or its set was not received yet
		pending.Hosts = n.hostCount() - l.hostCount - len(l.reaches)
		pending.New = n.newCount() - l.newCount
	}
	return pending
}

// othersHash returns the hash of the hosts that the links other than l reach. The caller holds n.mu.
func (n *Node) othersHash(l *link) setHash {
	if l.othersAt != n.reach.changes {
		l.others, l.othersAt = n.reach.hashWithout(l.reaches), n.reach.changes
	}
	return l.others
}

// RemoveLink removes a link and its pending reports.
func (n *Node) RemoveLink(id model.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removeLink(id)
}

// removeLink implements RemoveLink. The caller holds n.mu.
func (n *Node) removeLink(id model.HostID) {
	if l := n.links[id]; l != nil {
		n.replaceSet(l, nil)
		delete(n.links, id)
	}
}

// CountHosts returns the number of hosts whose reports reach this one, itself included. A host
// that does not answer never counts, whatever its port says: it may be alive behind a cut, where it
// uses its own part of the limits.
func (n *Node) CountHosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire()
	return n.hostCount()
}

// CountNew returns how many of the hosts that CountHosts counts started within
// model.WarmUpPeriod. It does not remove links that timed out.
func (n *Node) CountNew() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newCount()
}

// newCount implements CountNew. The caller holds n.mu.
func (n *Node) newCount() int {
	sum := n.reach.fresh
	if n.isNew() {
		sum++
	}
	for _, l := range n.links {
		sum += l.newCount
	}
	return sum
}

// isNew reports whether this host started within model.WarmUpPeriod.
func (n *Node) isNew() bool { return n.clock().Sub(n.started) < model.WarmUpPeriod }

// HasLink reports whether there is a link to the host.
func (n *Node) HasLink(id model.HostID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[id] != nil
}

// hostCount implements CountHosts without removing links that timed out. The caller
// holds n.mu.
func (n *Node) hostCount() int {
	sum := 1 + len(n.reach.counts)
	for _, l := range n.links {
		sum += l.hostCount
	}
	return sum
}

// expire removes the links that timed out, and the hosts of those that are silent. The caller
// holds n.mu.
func (n *Node) expire() {
	now := n.clock()
	for id, l := range n.links {
		switch silence := now.Sub(l.lastSeen); {
		case silence > linkTimeout:
			n.removeLink(id)
		case silence > countTimeout && l.held != 0:
			n.replaceSet(l, nil)
			l.held = 0 // with its next message, the neighbour learns that it has to send the set again
		}
	}
}
