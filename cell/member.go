package cell

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Member holds this daemon's state in the heartbeat protocol of its cell. It is
// safe for concurrent use.
type Member struct {
	self  Host
	name  model.CellName
	clock model.Clock

	mu            sync.Mutex
	started       time.Time
	seq           uint64
	sendTimes     map[uint64]time.Time // of recent heartbeats, by Seq
	version       model.ConfigVersion
	rootRead      bool // the newest root was read from the platform and is installed
	rosterRead    bool // the roster was read from the platform
	recovered     bool // may confirm others: holds at least what it held before a restart
	roster        Roster
	peers         map[model.HostID]*peer
	lastRead      time.Time     // send time of the last call that read a root not newer than the installed one
	lastContact   time.Time     // send time of the last call that the platform answered
	lastFailure   time.Time     // send time of the last call that failed
	lastNoContact time.Time     // last statement "no contact"
	lastEndorsed  time.Time     // last endorsement of a takeover
	outageHeld    []heldVersion // held by an outage quorum, or moved here from acceptHeld by NoteRoster; ascending
	acceptHeld    []heldVersion // held by an accept quorum of a roster that may be outdated; ascending
}

// peer is the state of another host, as reported by its heartbeats.
type peer struct {
	host        Host
	beat        Heartbeat
	receivedAt  time.Time // arrival of the newest heartbeat
	echoedAt    time.Time // local send time of the newest heartbeat that it echoed
	confirmedAt time.Time // local send time of the newest heartbeat that it confirmed
}

// heldVersion is a configuration version that a quorum of a roster holds, with
// the time at which this member first saw that.
type heldVersion struct {
	version model.ConfigVersion
	since   time.Time
	roster  store.Version
}

// Option sets an optional property of a Member.
type Option func(*Member)

// WithClock replaces the system's clock.
func WithClock(c model.Clock) Option { return func(m *Member) { m.clock = c } }

// NewMember returns a member without a configuration or roster. The incarnation
// must differ from those of all earlier runs on the host.
func NewMember(self Host, name model.CellName, incarnation model.Incarnation, options ...Option) *Member {
	m := &Member{
		self:  self,
		name:  name,
		clock: time.Now,
		// Echoes for an earlier incarnation must match no number of this one.
		seq:       xxhash.Sum64String(string(self.ID)+"\x00"+string(incarnation)) << seqBits,
		sendTimes: make(map[uint64]time.Time),
		peers:     make(map[model.HostID]*peer),
	}
	for _, o := range options {
		o(m)
	}
	m.started = m.clock()
	return m
}

// Heartbeats returns the heartbeats to send now, to all other members and to hosts
// that want to join. It must be called once every Period; an additional call
// announces a change at once.
func (m *Member) Heartbeats() []OutgoingHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.seq++
	m.sendTimes[m.seq] = now
	for seq, sentAt := range m.sendTimes {
		if now.Sub(sentAt) > 2*FreshFor {
			delete(m.sendTimes, seq)
		}
	}
	m.dropSilent(now)
	var out []OutgoingHeartbeat
	for _, h := range m.recipients() {
		out = append(out, OutgoingHeartbeat{Address: h.Address, Beat: m.beatFor(h.ID, now)})
	}
	m.updateQuorums(now)
	return out
}

// recipients returns the other members and the hosts that want to join: those that
// send their address because they are not in their own roster.
func (m *Member) recipients() []Host {
	var out []Host
	for _, h := range m.roster.Hosts {
		if h.ID != m.self.ID {
			out = append(out, h)
		}
	}
	for id, p := range m.peers {
		if !m.roster.Has(id) && p.host.Address != "" {
			out = append(out, p.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// beatFor builds the heartbeat for one recipient.
func (m *Member) beatFor(id model.HostID, now time.Time) Heartbeat {
	b := Heartbeat{
		From: m.self.ID, Seq: m.seq,
		Version: m.version, Roster: m.roster.Version, Contact: m.contactState(now), Recovered: m.recovered,
	}
	if !m.roster.Has(m.self.ID) {
		b.Address = m.self.Address
	}
	if p := m.peers[id]; p != nil {
		b.Echo = p.beat.Seq
		b.UpToDate = m.recovered && m.version <= p.beat.Version && m.roster.Version <= p.beat.Roster
	}
	return b
}

// dropSilent removes hosts that are not in the roster and have sent no heartbeat
// for FreshFor.
func (m *Member) dropSilent(now time.Time) {
	for id, p := range m.peers {
		if !m.roster.Has(id) && now.Sub(p.receivedAt) > FreshFor {
			delete(m.peers, id)
		}
	}
}

// Handle processes a received heartbeat. Late and duplicate heartbeats are harmless.
func (m *Member) Handle(b Heartbeat) {
	if b.From == m.self.ID {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	p := m.peers[b.From]
	if p == nil {
		p = &peer{host: Host{ID: b.From}}
		m.peers[b.From] = p
	}
	if b.Address != "" {
		p.host.Address = b.Address
	}
	if b.Seq>>seqBits != p.beat.Seq>>seqBits || b.Seq > p.beat.Seq {
		p.beat, p.receivedAt = b, now
	}
	sentAt, ok := m.sendTimes[b.Echo]
	if !ok {
		return
	}
	if sentAt.After(p.echoedAt) {
		p.echoedAt = sentAt
	}
	if b.UpToDate && sentAt.After(p.confirmedAt) {
		p.confirmedAt = sentAt
	}
	m.updateQuorums(now)
}

// updateQuorums recomputes whether this member may confirm others and which versions the
// quorums of the roster hold. It must run after each change of the member's state.
func (m *Member) updateQuorums(now time.Time) {
	if !m.recovered {
		m.recovered = m.rootRead && m.rosterRead || m.hasRecovered(now)
	}
	m.outageHeld = appendNewer(m.outageHeld, heldVersion{m.versionHeldBy(m.roster.OutageQuorum(), now), now, m.roster.Version})
	m.acceptHeld = appendNewer(m.acceptHeld, heldVersion{m.versionHeldBy(m.roster.AcceptQuorum(), now), now, m.roster.Version})
}

// appendNewer appends h if its version is newer than all in the list, and drops
// the oldest entries above maxHeldVersions.
func appendNewer(list []heldVersion, h heldVersion) []heldVersion {
	if h.version == 0 || len(list) > 0 && h.version <= list[len(list)-1].version {
		return list
	}
	list = append(list, h)
	return list[max(0, len(list)-maxHeldVersions):]
}

// hasRecovered reports whether this member holds a configuration, an outage quorum of
// the roster has answered a heartbeat that this run sent within FreshFor, and none of
// these hosts reported a newer configuration or roster than this member holds. This
// member and members that have not recovered themselves do not count.
func (m *Member) hasRecovered(now time.Time) bool {
	count := 0
	for _, h := range m.roster.Hosts {
		p := m.peers[h.ID]
		if p == nil || !p.beat.Recovered || now.Sub(p.echoedAt) > FreshFor {
			continue
		}
		if p.beat.Version > m.version || p.beat.Roster > m.roster.Version {
			return false
		}
		count++
	}
	return m.version > 0 && count >= m.roster.OutageQuorum()
}

// Fresh reports whether this daemon may serve keyed routes now: within FreshFor
// it read the newest root, or an outage quorum confirmed it.
func (m *Member) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if !m.lastRead.IsZero() && now.Sub(m.lastRead) < FreshFor {
		return true
	}
	confirmedAt, ok := m.quorumConfirmedAt(now)
	return ok && now.Sub(confirmedAt) < FreshFor
}

// quorumConfirmedAt returns the newest time since which an outage quorum of the
// roster, including this member, has confirmed this member. Each confirmation counts
// from the send time of the heartbeat that it confirmed. The result is false if fewer
// hosts have ever confirmed it or if it has not recovered.
func (m *Member) quorumConfirmedAt(now time.Time) (time.Time, bool) {
	if !m.recovered || !m.roster.Has(m.self.ID) {
		return time.Time{}, false
	}
	times := []time.Time{now}
	for _, h := range m.roster.Hosts {
		if p := m.peers[h.ID]; p != nil && h.ID != m.self.ID && !p.confirmedAt.IsZero() {
			times = append(times, p.confirmedAt)
		}
	}
	quorum := m.roster.OutageQuorum()
	if len(times) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1], true
}

// SetVersion records the version of the configuration that this daemon has
// installed. A lower version than before is ignored.
func (m *Member) SetVersion(v model.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, v)
	m.updateQuorums(m.clock())
}

// NoteRead records that a call sent at the given time read version v as the
// newest root of the platform.
func (m *Member) NoteRead(sentAt time.Time, v model.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact(sentAt)
	if v > m.version || m.version == 0 {
		return
	}
	if sentAt.After(m.lastRead) {
		m.lastRead = sentAt
	}
	m.rootRead = true
	m.updateQuorums(m.clock())
}

// NoteContact records that the platform answered a call sent at the given time.
func (m *Member) NoteContact(sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact(sentAt)
}

func (m *Member) recordContact(sentAt time.Time) {
	if sentAt.After(m.lastContact) {
		m.lastContact = sentAt
	}
}

// NoteFailure records that a call to the platform, sent at the given time, failed.
func (m *Member) NoteFailure(sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sentAt.After(m.lastFailure) {
		m.lastFailure = sentAt
	}
}

// contactState returns the state of this member's connection to the platform.
func (m *Member) contactState(now time.Time) Contact {
	switch {
	case m.lastFailure.After(m.lastContact):
		return ContactFailed
	case !m.lastContact.IsZero() && now.Sub(m.lastContact) <= 2*Period:
		return ContactOK
	default:
		return ContactUnknown
	}
}
