package cell

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// watchers is the number of members that watch the root for their cell.
const watchers = 2

// maxHeld is the number of versions whose acceptance a member remembers.
const maxHeld = 64

// Peer is the last known state of another member.
type Peer struct {
	Host
	Version model.ConfigVersion `json:"version"`
	Roster  store.Version       `json:"roster"`
	Contact Contact             `json:"contact"`
	Loaded  bool                `json:"loaded"`
	Live    bool                `json:"live"` // a heartbeat came within FreshFor
	Heard   time.Time           `json:"heard"`
	Echoed  time.Time           `json:"echoed"` // send time of the newest heartbeat that it answered
}

// Status is a member's view of its cell for administration.
type Status struct {
	Cell     model.CellName      `json:"cell"`
	Self     Host                `json:"self"`
	Version  model.ConfigVersion `json:"version"`
	Fresh    bool                `json:"fresh"`
	Roster   Roster              `json:"roster"`
	Accepted model.ConfigVersion `json:"accepted"` // highest accepted version
	Peers    []Peer              `json:"peers"`
}

// Peers returns the other members in the order of the roster.
func (m *Member) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view(m.clock())
}

func (m *Member) view(now time.Time) []Peer {
	var out []Peer
	for _, h := range m.roster.Hosts {
		if h.ID == m.self.ID {
			continue
		}
		v := Peer{Host: h}
		if p := m.peers[h.ID]; p != nil {
			v.Version, v.Roster, v.Contact, v.Loaded = p.beat.Version, p.beat.Roster, p.beat.Contact, p.beat.Loaded
			v.Heard, v.Echoed, v.Live = p.heard, p.echoed, now.Sub(p.heard) < FreshFor
		}
		out = append(out, v)
	}
	return out
}

// Status returns the member's view of its cell.
func (m *Member) Status() Status {
	fresh := m.Fresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	return Status{
		Cell: m.name, Self: m.self, Version: m.version, Fresh: fresh,
		Roster: m.roster, Accepted: m.accepted(now), Peers: m.view(now),
	}
}

// Accepted reports whether more than half of the roster has held the version,
// or a newer one, for FreshFor. From then on no member is fresh without it.
func (m *Member) Accepted(v model.ConfigVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted(m.clock()) >= v
}

func (m *Member) accepted(now time.Time) model.ConfigVersion {
	var v model.ConfigVersion
	for _, h := range m.held {
		if now.Sub(h.since) >= FreshFor {
			v = h.version
		}
	}
	return v
}

// heldByMajority returns the highest version that more than half of the roster
// holds, as far as this member knows, or 0.
func (m *Member) heldByMajority(now time.Time) model.ConfigVersion {
	var versions []model.ConfigVersion
	if m.loaded && m.roster.Has(m.self.ID) {
		versions = append(versions, m.version)
	}
	for _, p := range m.view(now) {
		// Majorities are only comparable within one roster.
		if p.Live && p.Loaded && p.Roster == m.roster.Version {
			versions = append(versions, p.Version)
		}
	}
	need := m.roster.Majority()
	if len(versions) < need {
		return 0
	}
	slices.SortFunc(versions, func(a, b model.ConfigVersion) int { return cmp.Compare(b, a) })
	return versions[need-1]
}

// Watches reports whether this member watches the root for its cell: it is one
// of the two live members with the lowest rank among those that have not lost
// the platform. If all of them have, the lowest of all keep trying.
func (m *Member) Watches() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.roster.Has(m.self.ID) {
		return false
	}
	now := m.clock()
	lost := m.contact(now) == ContactNo
	own := model.Rank(m.self.ID, string(m.name))
	better := 0
	for _, p := range m.view(now) {
		if !p.Live {
			continue
		}
		worse := p.Contact == ContactNo
		if worse != lost {
			if lost {
				better++
			}
			continue
		}
		if model.Rank(p.ID, string(m.name)) < own {
			better++
		}
	}
	return better < watchers
}

// NeedsRead reports whether this member reads the root now: it watches for its
// cell, found no majority in time, or has lost the platform and looks for its
// return.
func (m *Member) NeedsRead() bool {
	if m.Watches() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if m.contact(now) == ContactNo {
		return true
	}
	at, ok := m.lastMajority(now)
	return !ok || now.Sub(at) > readAfter
}

// Name returns the name of the cell.
func (m *Member) Name() model.CellName { return m.name }

// Self returns this daemon's host.
func (m *Member) Self() Host { return m.self }

// Held returns the roster that this member holds.
func (m *Member) Held() Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster
}

// Adopt takes over a roster if it is newer than the one held. The flag tells
// whether it comes from the platform or from a peer.
func (m *Member) Adopt(r Roster, platform bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Version > m.roster.Version {
		m.roster = r
	}
	m.listed = m.listed || platform
	m.settle(m.clock())
}

// Settled reports whether more than half of the roster holds this roster and
// configuration version v. Only then may a host be removed: majorities of two
// successive rosters share a member, and the smaller roster still has a
// majority that holds v. A joining host brings v itself and passes 0.
func (m *Member) Settled(v model.ConfigVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v > 0 && m.heldByMajority(m.clock()) < v {
		return false
	}
	count := 0
	if m.roster.Has(m.self.ID) {
		count++
	}
	for _, p := range m.view(m.clock()) {
		if p.Live && p.Roster == m.roster.Version {
			count++
		}
	}
	return count >= m.roster.Majority()
}
