package mesh

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"rhubarbdrift.example/model"
)

// hostKey stands for the name of a host. Two hosts with the same key count as one, so that less
// of the limits is used.
type hostKey uint32

const keyBytes = 4

func keyOf(id model.HostID) hostKey { return hostKey(model.RendezvousHash(id, "reach")) }

// Reach names the hosts that are reachable over a link, or tells that they are the same as
// before. A host that moves to another parent is in the sets of two links for a time; names,
// unlike numbers, do not count it twice.
type Reach struct {
	// Hash identifies the set of the sender.
	Hash uint32 `cbor:"1,keyasint"`
	// Have identifies the set of the receiver that the sender has; 0: none.
	Have uint32 `cbor:"2,keyasint,omitempty"`
	// Hosts holds the keys of the hosts, in ascending order, four bytes each, unless the
	// receiver has the set. New holds those that started within model.WarmUpPeriod.
	Hosts []byte `cbor:"3,keyasint,omitempty"`
	New   []byte `cbor:"4,keyasint,omitempty"`
}

// check returns an error for sets that no host sends.
func (r *Reach) check() error {
	if r == nil {
		return nil
	}
	for _, keys := range [][]byte{r.Hosts, r.New} {
		if len(keys)%keyBytes != 0 || len(keys) > keyBytes*maxHosts {
			return errors.New("its set of hosts is malformed")
		}
	}
	return nil
}

// confirmed returns what a child says, or an empty set if it has had no answer over this link: its
// answers may be lost, so that it uses its own part of the limits. Its next message confirms one.
func (r *Reach) confirmed() *Reach {
	if r == nil || r.Have != 0 {
		return r
	}
	return &Reach{}
}

// hostSet is a set of hosts. The value of a new host is true.
type hostSet map[hostKey]bool

// keys returns the packed keys of all hosts, or of the new ones.
func (s hostSet) keys(onlyNew bool) []byte {
	var out []byte
	for _, key := range slices.Sorted(maps.Keys(s)) {
		if s[key] || !onlyNew {
			out = binary.BigEndian.AppendUint32(out, uint32(key))
		}
	}
	return out
}

// parseSet returns the set of a message.
func parseSet(r *Reach) hostSet {
	s := make(hostSet, len(r.Hosts)/keyBytes)
	for at := 0; at+keyBytes <= len(r.Hosts); at += keyBytes {
		s[hostKey(binary.BigEndian.Uint32(r.Hosts[at:]))] = false
	}
	for at := 0; at+keyBytes <= len(r.New); at += keyBytes {
		if key := hostKey(binary.BigEndian.Uint32(r.New[at:])); s.has(key) {
			s[key] = true
		}
	}
	return s
}

func (s hostSet) has(key hostKey) bool {
	_, ok := s[key]
	return ok
}

// setHash is a hash of a set that does not depend on the order and can be updated.
type setHash uint64

// toggle adds a host to the set or removes it.
func (h *setHash) toggle(key hostKey, isNew bool) {
	x := uint64(key) << 1
	if isNew {
		x++
	}
	// The finalizer of splitmix64.
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	*h ^= setHash(x ^ x>>31)
}

// short returns the hash as it is sent, which is never 0.
func (h setHash) short() uint32 { return max(1, uint32(h)) }

// linkCount counts the links over which a host is reachable, and those that take it for new.
type linkCount struct{ links, fresh int }

// reachable is the union of the sets of all links.
type reachable struct {
	self   hostKey
	counts map[hostKey]linkCount
	hash   setHash // of the union
	fresh  int     // new hosts in the union
	// changes counts the changes of the union, so that what follows from it is computed once.
	changes int
}

func newReachable(self model.HostID) reachable {
	return reachable{self: keyOf(self), counts: make(map[hostKey]linkCount)}
}

// add adds the set of a link, or removes it if sign is -1.
func (u *reachable) add(s hostSet, sign int) {
	if len(s) > 0 {
		u.changes++
	}
	for key, isNew := range s {
		before := u.counts[key]
		after := linkCount{links: before.links + sign, fresh: before.fresh}
		if isNew {
			after.fresh += sign
		}
		u.change(key, before, after)
	}
}

// change replaces the count of a host.
func (u *reachable) change(key hostKey, before, after linkCount) {
	if before.links > 0 {
		u.hash.toggle(key, before.fresh > 0)
	}
	if before.fresh > 0 {
		u.fresh--
	}
	if after.links <= 0 {
		delete(u.counts, key)
		return
	}
	u.counts[key] = after
	u.hash.toggle(key, after.fresh > 0)
	if after.fresh > 0 {
		u.fresh++
	}
}

// without returns the count of a host without that of a link.
func (c linkCount) without(s hostSet, key hostKey) linkCount {
	isNew, ok := s[key]
	if !ok {
		return c
	}
	c.links--
	if isNew {
		c.fresh--
	}
	return c
}

// hashWithout returns the hash of the union without the set of a link.
func (u *reachable) hashWithout(s hostSet) setHash {
	hash := u.hash
	for key := range s {
		before := u.counts[key]
		hash.toggle(key, before.fresh > 0)
		if after := before.without(s, key); after.links > 0 {
			hash.toggle(key, after.fresh > 0)
		}
	}
	return hash
}

// setWithout returns the union without the set of a link.
func (u *reachable) setWithout(s hostSet) hostSet {
	out := make(hostSet, len(u.counts))
	for key, count := range u.counts {
		if after := count.without(s, key); after.links > 0 {
			out[key] = after.fresh > 0
		}
	}
	return out
}
