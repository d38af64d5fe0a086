package cell

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbdrift.example/model"
)

// Member is this daemon's view of its cell. It is safe for concurrent use.
type Member struct {
	self  Host
	name  model.CellName
	clock model.Clock

	mu       sync.Mutex
	started  time.Time
	seq      uint64
	sent     map[uint64]time.Time // send times of the last heartbeats
	version  model.ConfigVersion
	rooted   bool // the newest root was read from the platform and is held
	listed   bool // the roster was read from the platform
	loaded   bool // may vouch: knows no less than before a restart
	roster   Roster
	peers    map[model.HostID]*peer
	read     time.Time // send time of the last call that read a root not newer than ours
	reached  time.Time // send time of the last call that the platform answered
	failed   time.Time // send time of the last call that failed
	saidNo   time.Time // last statement "no contact"
	endorsed time.Time // last endorsement of a takeover
	held     []held
}

// peer is what a member knows about another one.
type peer struct {
	host    Host
	beat    Beat
	heard   time.Time // arrival of the newest heartbeat
	echoed  time.Time // our send time of the newest heartbeat that it answered
	vouched time.Time // our send time of the newest heartbeat that it vouched for
}

// held is a version and the time since which a majority is known to hold it.
type held struct {
	version model.ConfigVersion
	since   time.Time
}

// Option sets an optional property of a Member.
type Option func(*Member)

// WithClock replaces the system's clock.
func WithClock(c model.Clock) Option { return func(m *Member) { m.clock = c } }

// NewMember returns a member that has just started and holds nothing. The
// incarnation must differ from that of all earlier runs on the host.
func NewMember(self Host, name model.CellName, incarnation model.Incarnation, options ...Option) *Member {
	m := &Member{
		self:  self,
		name:  name,
		clock: time.Now,
		// Echoes for an earlier incarnation must match none of our numbers.
		seq:   xxhash.Sum64String(string(self.ID)+"\x00"+string(incarnation)) << seqBits,
		sent:  make(map[uint64]time.Time),
		peers: make(map[model.HostID]*peer),
	}
	for _, o := range options {
		o(m)
	}
	m.started = m.clock()
	return m
}

// Tick returns the heartbeats to send now: to all other members, and to hosts
// that want to join. It is called once a period.
func (m *Member) Tick() []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.seq++
	m.sent[m.seq] = now
	for seq, at := range m.sent {
		if now.Sub(at) > 2*FreshFor {
			delete(m.sent, seq)
		}
	}
	m.forget(now)
	var out []Envelope
	for _, h := range m.audience() {
		out = append(out, Envelope{Address: h.Address, Beat: m.beatFor(h.ID, now)})
	}
	m.settle(now)
	return out
}

// audience returns the other members and the hosts that want to join.
func (m *Member) audience() []Host {
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

func (m *Member) beatFor(id model.HostID, now time.Time) Beat {
	b := Beat{
		From: m.self.ID, Seq: m.seq,
		Version: m.version, Roster: m.roster.Version, Contact: m.contact(now), Loaded: m.loaded,
	}
	if !m.roster.Has(m.self.ID) {
		b.Address = m.self.Address
	}
	if p := m.peers[id]; p != nil {
		b.Echo = p.beat.Seq
		b.Vouch = m.loaded && m.version <= p.beat.Version && m.roster.Version <= p.beat.Roster
	}
	return b
}

// forget drops hosts that are not in the roster and are silent.
func (m *Member) forget(now time.Time) {
	for id, p := range m.peers {
		if !m.roster.Has(id) && now.Sub(p.heard) > FreshFor {
			delete(m.peers, id)
		}
	}
}

// Handle takes in a heartbeat. Heartbeats that arrive late or twice are harmless.
func (m *Member) Handle(b Beat) {
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
		p.beat, p.heard = b, now
	}
	at, ok := m.sent[b.Echo]
	if !ok {
		return
	}
	if at.After(p.echoed) {
		p.echoed = at
	}
	if b.Vouch && at.After(p.vouched) {
		p.vouched = at
	}
	m.settle(now)
}

// settle draws conclusions from new information.
func (m *Member) settle(now time.Time) {
	if !m.loaded {
		m.loaded = m.rooted && m.listed || m.recovered(now)
	}
	if v := m.heldByMajority(now); v > 0 && (len(m.held) == 0 || v > m.held[len(m.held)-1].version) {
		m.held = append(m.held, held{version: v, since: now})
		m.held = m.held[max(0, len(m.held)-maxHeld):]
	}
}

// recovered reports whether this member holds what more than half of the
// roster held after its own restart. Members that have not recovered
// themselves and this member do not count.
func (m *Member) recovered(now time.Time) bool {
	count := 0
	for _, h := range m.roster.Hosts {
		p := m.peers[h.ID]
		if p == nil || !p.beat.Loaded || now.Sub(p.echoed) > FreshFor {
			continue
		}
		if p.beat.Version > m.version || p.beat.Roster > m.roster.Version {
			return false
		}
		count++
	}
	return m.version > 0 && count >= m.roster.Majority()
}

// Fresh reports whether this daemon may serve keyed routes now.
func (m *Member) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if !m.read.IsZero() && now.Sub(m.read) < FreshFor {
		return true
	}
	at, ok := m.lastMajority(now)
	return ok && now.Sub(at) < FreshFor
}

// lastMajority returns the newest time at which more than half of the roster,
// counting this member, vouched for it.
func (m *Member) lastMajority(now time.Time) (time.Time, bool) {
	if !m.loaded || !m.roster.Has(m.self.ID) {
		return time.Time{}, false
	}
	times := []time.Time{now}
	for _, h := range m.roster.Hosts {
		if p := m.peers[h.ID]; p != nil && h.ID != m.self.ID && !p.vouched.IsZero() {
			times = append(times, p.vouched)
		}
	}
	need := m.roster.Majority()
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], true
}

// SetVersion tells the member which configuration this daemon has installed.
func (m *Member) SetVersion(v model.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, v)
	m.settle(m.clock())
}

// NoteRead tells the member that a call started at the given time read version
// v as the newest root of the platform.
func (m *Member) NoteRead(at time.Time, v model.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(at)
	if v > m.version || m.version == 0 {
		return
	}
	if at.After(m.read) {
		m.read = at
	}
	m.rooted = true
	m.settle(m.clock())
}

// NoteContact tells the member that the platform answered a call that started
// at the given time.
func (m *Member) NoteContact(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(at)
}

func (m *Member) note(at time.Time) {
	if at.After(m.reached) {
		m.reached = at
	}
}

// NoteFailure tells the member that a call to the platform that started at the
// given time failed.
func (m *Member) NoteFailure(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.failed) {
		m.failed = at
	}
}

func (m *Member) contact(now time.Time) Contact {
	switch {
	case m.failed.After(m.reached):
		return ContactNo
	case !m.reached.IsZero() && now.Sub(m.reached) <= 2*Period:
		return ContactYes
	default:
		return ContactUntried
	}
}
