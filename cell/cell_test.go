package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/model"
)

const (
	size = 5
	// large is a cell size at which the loss of one host leaves the cell fresh
	// although one in ten heartbeats is lost. Of five hosts, the outage quorum then
	// needs all of the other four.
	large = 12
	step  = 100 * time.Millisecond
)

// event changes the simulated environment before the step with number Step. A and B
// select members; for pauseMember B is the duration in seconds.
type event struct{ Step, Kind, A, B int }

const (
	cutLink = iota
	healLink
	cutPlatform
	healPlatform
	cutPlatformForAll
	pauseMember
	restartMember
	commitVersion
	eventKinds
)

type delivery struct {
	at   time.Time
	to   int
	beat Heartbeat
}

// sim runs a cell in simulated time and records which member holds which version.
type sim struct {
	now        time.Time
	random     *rand.Rand
	naive      bool // confirm regardless of versions
	members    []*Member
	version    [large]model.ConfigVersion // installed by the member since its last start
	paused     [large]time.Time           // when the member's pause ends
	cut        [large][large]bool         // heartbeats from the first to the second member are lost
	noPlatform [large]bool                // the platform is unavailable to the member
	newest     model.ConfigVersion        // on the platform
	roster     Roster
	inFlight   []delivery
	heldSince  map[model.ConfigVersion]time.Time // when an accept quorum first held it
	starts     int
}

func newSim(seed uint64, naive bool, hosts int) *sim {
	s := &sim{members: make([]*Member, hosts), now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), naive: naive, newest: 1, heldSince: make(map[model.ConfigVersion]time.Time)}
	s.roster.Version = 1
	for i := range hosts {
		s.roster.Hosts = append(s.roster.Hosts, Host{ID: model.HostID(fmt.Sprint("h", i)), Address: fmt.Sprint(i)})
	}
	for i := range hosts {
		s.restart(i)
	}
	return s
}

func (s *sim) restart(i int) {
	s.starts++
	s.version[i] = 0
	s.members[i] = NewMember(s.roster.Hosts[i], "c", model.Incarnation(fmt.Sprint(s.starts)), WithClock(func() time.Time { return s.now }))
	s.members[i].SetRoster(s.roster, false)
}

func (s *sim) install(i int, v model.ConfigVersion) {
	s.version[i] = max(s.version[i], v)
	s.members[i].SetVersion(v)
}

func (s *sim) apply(e event) {
	a, b := e.A%len(s.members), e.B%len(s.members)
	switch e.Kind % eventKinds {
	case cutLink:
		s.cut[a][b] = true
	case healLink:
		s.cut[a][b] = false
	case cutPlatform:
		s.noPlatform[a] = true
	case healPlatform:
		s.noPlatform[a] = false
	case cutPlatformForAll:
		for i := range s.noPlatform {
			s.noPlatform[i] = true
		}
	case pauseMember:
		s.paused[a] = s.now.Add(time.Duration(e.B) * time.Second)
	case restartMember:
		s.restart(a)
	case commitVersion:
		s.newest++
	}
}

// advance runs one step and returns a description of the first violation, or "".
func (s *sim) advance(n int) string {
	s.now = s.now.Add(step)
	for i, m := range s.members {
		if !s.paused[i].After(s.now) && n%20 == i*3%20 {
			s.tick(i, m)
		}
	}
	inFlight := s.inFlight
	s.inFlight = nil
	for _, d := range inFlight {
		switch {
		case d.at.After(s.now):
			s.inFlight = append(s.inFlight, d)
		case !s.paused[d.to].After(s.now):
			s.receive(d)
		}
	}
	return s.check()
}

func (s *sim) tick(i int, m *Member) {
	for _, e := range m.Heartbeats() {
		var to int
		_, _ = fmt.Sscan(e.Address, &to)
		if s.naive {
			e.Beat.UpToDate = true
		}
		if !s.cut[i][to] && s.random.IntN(10) > 0 {
			s.inFlight = append(s.inFlight, delivery{at: s.now.Add(time.Duration(s.random.IntN(1500)) * time.Millisecond), to: to, beat: e.Beat})
		}
	}
	switch {
	case !m.NeedsRead():
	case s.noPlatform[i]:
		m.NoteFailure(s.now)
	default:
		m.SetRoster(s.roster, true)
		m.NoteRoster(s.now, s.roster.Version)
		m.NoteRead(s.now, s.newest)
		s.install(i, s.newest)
	}
}

func (s *sim) receive(d delivery) {
	m := s.members[d.to]
	m.Handle(d.beat)
	var from int
	_, _ = fmt.Sscanf(string(d.beat.From), "h%d", &from)
	open := !s.cut[from][d.to] && !s.cut[d.to][from]
	if d.beat.Version > s.version[d.to] && open && s.random.IntN(3) == 0 {
		s.install(d.to, d.beat.Version)
	}
}

func (s *sim) check() string {
	for v := model.ConfigVersion(1); v <= s.newest; v++ {
		count := 0
		for _, held := range s.version {
			if held >= v {
				count++
			}
		}
		if _, ok := s.heldSince[v]; !ok && count >= s.roster.AcceptQuorum() {
			s.heldSince[v] = s.now
		}
	}
	for i, m := range s.members {
		if s.paused[i].After(s.now) {
			continue
		}
		for v, at := range s.heldSince {
			if s.version[i] < v && s.now.Sub(at) > FreshFor && m.Fresh() {
				return fmt.Sprintf("h%d is fresh with version %d, %v after an accept quorum held %d", i, s.version[i], s.now.Sub(at), v)
			}
			if m.Accepted(v) && s.now.Sub(at) < FreshFor {
				return fmt.Sprintf("h%d reports version %d as accepted too early", i, v)
			}
		}
	}
	return ""
}

func schedule() *rapid.Generator[[]event] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Step: rapid.IntRange(0, 600).Draw(t, "step"), Kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
			A: rapid.IntRange(0, size-1).Draw(t, "a"), B: rapid.IntRange(0, 9).Draw(t, "b"),
		}
	}), 10, 60)
}

// runSchedule runs the schedule of the seed for 90 seconds. It returns the first
// violation, or "", and in how many samples, one for each member and step, a member
// was fresh.
func runSchedule(seed int, naive bool, hosts int) (violation string, freshSamples int) {
	events := schedule().Example(seed)
	s := newSim(uint64(seed), naive, hosts)
	for n := range 900 {
		for _, e := range events {
			if e.Step == n {
				s.apply(e)
			}
		}
		if v := s.advance(n); v != "" {
			return v, freshSamples
		}
		for _, m := range s.members {
			if m.Fresh() {
				freshSamples++
			}
		}
	}
	return "", freshSamples
}

// TestFreshness guards against a member that is fresh with an old version more
// than FreshFor after an accept quorum holds a newer one, under random loss,
// one-way partitions, pauses, restarts and outages. As a control, the same
// schedules must detect a policy that confirms regardless of versions, and members
// must be fresh often enough for the test to mean something.
func TestFreshness(t *testing.T) {
	const schedules = 100
	for _, n := range []int{3, size} {
		naiveViolations, fresh := 0, 0
		for seed := range schedules {
			violation, freshSamples := runSchedule(seed, false, n)
			must.EqOp(t, "", violation, must.Sprint("seed ", seed))
			fresh += freshSamples
			if violation, _ := runSchedule(seed, true, n); violation != "" {
				naiveViolations++
			}
		}
		must.Positive(t, naiveViolations)
		must.Greater(t, schedules*900*n/4, fresh)
		t.Logf("%d hosts: fresh in %.0f%% of the samples; the naive policy fails in %d of %d schedules", n, 100*float64(fresh)/float64(schedules*900*n), naiveViolations, schedules)
	}
}

// startOutage returns a cell in which all members hold version 1 and the platform
// is unavailable, and the number of the next step.
func startOutage() (*sim, int) {
	s := newSim(7, false, large)
	n := 0
	for ; n < 200; n++ {
		s.advance(n)
	}
	s.apply(event{Kind: cutPlatformForAll})
	for ; n < 400; n++ {
		s.advance(n)
	}
	return s, n
}

// TestCutOff guards against a partitioned member that stays fresh for longer than
// FreshFor, whichever direction is cut, and against a cell that does not stay
// fresh by its own heartbeats while the platform is unavailable.
func TestCutOff(t *testing.T) {
	for _, c := range []struct {
		name    string
		in, out bool
	}{{"both", true, true}, {"in", true, false}, {"out", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			s, n := startOutage()
			must.True(t, s.members[0].Fresh())
			for i := 1; i < large; i++ {
				s.cut[i][0], s.cut[0][i] = c.in, c.out
			}
			maxDelay := 1500 * time.Millisecond // heartbeats in flight still count
			for end := n + int((FreshFor+maxDelay)/step); n < end; n++ {
				s.advance(n)
			}
			must.False(t, s.members[0].Fresh())
			must.True(t, s.members[1].Fresh())
		})
	}
}

// TestRestartInOutage guards against a restarted member that confirms or is fresh
// before it holds what an outage quorum holds, and against one that never
// recovers while the platform is unavailable.
func TestRestartInOutage(t *testing.T) {
	s, n := startOutage()
	s.restart(0)
	must.False(t, s.members[0].Fresh())
	for _, e := range s.members[0].Heartbeats() {
		must.False(t, e.Beat.UpToDate || e.Beat.Recovered)
	}
	for end := n + 200; n < end; n++ {
		s.advance(n)
	}
	must.True(t, s.members[0].Fresh())
	must.EqOp(t, 1, s.version[0])
	for i := range large {
		s.restart(i) // no member holds a version any more
	}
	for end := n + 200; n < end; n++ {
		s.advance(n)
	}
	for i := range large {
		must.False(t, s.members[i].Fresh())
	}
}

// TestStatements guards against a member that supports both the continuation of a
// lease and its takeover within two periods, also across a restart.
func TestStatements(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	start := func() *Member {
		return NewMember(Host{ID: "a"}, "c", "1", WithClock(func() time.Time { return now }))
	}
	ask := func(m *Member, a Ask, up bool) bool {
		now = now.Add(time.Millisecond)
		if up {
			m.NoteContact(now)
		} else {
			m.NoteFailure(now)
		}
		return m.Answer(Question{From: "b", Ask: a}, now).Yes
	}
	m := start()
	must.False(t, ask(m, AskNoContact, false), must.Sprint("just started"))
	must.False(t, ask(m, AskEndorse, true), must.Sprint("just started"))
	now = now.Add(2 * Period)
	must.True(t, ask(m, AskNoContact, false))
	must.False(t, ask(m, AskEndorse, true), must.Sprint("has just stated that it has no contact"))
	now = now.Add(2 * Period)
	must.False(t, ask(m, AskEndorse, false), must.Sprint("no contact"))
	must.True(t, ask(m, AskEndorse, true))
	must.False(t, ask(m, AskNoContact, false), must.Sprint("has just endorsed"))
	now = now.Add(2 * Period)
	must.True(t, ask(m, AskNoContact, false))
	must.False(t, m.Answer(Question{From: "b", Ask: AskNoContact}, now.Add(time.Second)).Yes, must.Sprint("the failure is older than the question"))
}

// TestWatches guards against a cell without watchers because the members with the
// lowest rank cannot reach the platform, and against too many watchers.
func TestWatches(t *testing.T) {
	s := newSim(3, false, size)
	count := func() (total, connected int) {
		for i, m := range s.members {
			if m.IsWatcher() {
				total++
				if !s.noPlatform[i] {
					connected++
				}
			}
		}
		return total, connected
	}
	n := 0
	for ; n < 100; n++ {
		s.advance(n)
	}
	total, _ := count()
	must.EqOp(t, watchersPerCell, total)
	for i, m := range s.members {
		s.noPlatform[i] = m.IsWatcher()
	}
	for ; n < 300; n++ {
		s.advance(n)
	}
	_, connected := count()
	must.EqOp(t, watchersPerCell, connected)
}
