package mesh

import (
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

// linkLife is the time without a message after which a link is gone. A host
// sends several messages a second.
const linkLife = 1500 * time.Millisecond

// Node is one host's place in the tree. It holds no connection.
type Node struct {
	self  Host
	clock model.Clock
	heard func(*Sum)

	mu    sync.Mutex
	links map[model.HostID]*link
	ended int // hosts beside the links that are known to run no daemon
	begun time.Time
}

// link is the way to a neighbour: the parent or a child.
type link struct {
	out   Sum
	hosts int
	fresh int // of them
	last  time.Time
}

// Host is a daemon of the fleet.
type Host struct {
	ID      model.HostID `json:"id"      cbor:"1,keyasint"`
	Region  model.Region `json:"region"  cbor:"2,keyasint"`
	Domain  model.Domain `json:"domain"  cbor:"3,keyasint"`
	Address string       `json:"address" cbor:"4,keyasint"` // for other daemons
	Power   model.Cores  `json:"power"   cbor:"5,keyasint"` // of its processor
}

// NewNode returns a node without links. It calls heard with what other hosts
// report.
func NewNode(self Host, clock model.Clock, heard func(*Sum)) *Node {
	return &Node{self: self, clock: clock, heard: heard, links: make(map[model.HostID]*link), begun: clock()}
}

// Note reports what happened on this host.
func (n *Node) Note(add func(*Sum)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		add(&l.out)
	}
}

// Receive takes a neighbour's message and passes it on to all other links.
func (n *Node) Receive(from model.HostID, in *Sum) {
	n.mu.Lock()
	n.expire()
	l := n.links[from]
	if l == nil {
		l = new(link)
		n.links[from] = l
	}
	l.hosts, l.fresh, l.last = in.Hosts, in.Fresh, n.clock()
	for id, other := range n.links {
		if id != from {
			other.out.Add(in)
		}
	}
	n.mu.Unlock()
	n.heard(in)
}

// Take returns the message for a neighbour: what all other links and this host
// reported since the last one. It opens the link if there is none.
func (n *Node) Take(to model.HostID) Sum {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to]
	if l == nil {
		l = &link{last: n.clock()}
		n.links[to] = l
	}
	out := l.out
	l.out = Sum{}
	out.Hosts = n.hosts() - l.hosts
	out.Fresh = n.fresh() - l.fresh
	return out
}

// Drop removes a link.
func (n *Node) Drop(id model.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, id)
}

// Ended sets how many hosts beside the links are known to run no daemon.
func (n *Node) Ended(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = count
}

// Hosts returns the number of hosts that this one hears of, itself included.
func (n *Node) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire()
	return n.hosts()
}

// Fresh returns the number of hosts among them that began within model.Settling.
func (n *Node) Fresh() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fresh()
}

func (n *Node) fresh() int {
	sum := 0
	if n.clock().Sub(n.begun) < model.Settling {
		sum++
	}
	for _, l := range n.links {
		sum += l.fresh
	}
	return sum
}

// Linked reports whether there is a link to the host.
func (n *Node) Linked(id model.HostID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[id] != nil
}

func (n *Node) hosts() int {
	sum := 1 + n.ended
	for _, l := range n.links {
		sum += l.hosts
	}
	return sum
}

func (n *Node) expire() {
	now := n.clock()
	for id, l := range n.links {
		if now.Sub(l.last) > linkLife {
			delete(n.links, id)
		}
	}
}
