package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	worldShards    = 3
	sampleInterval = 100 * time.Millisecond
	// abstention is how long a member must have sent no report before it endorses
	// a takeover, and how long it sends none afterwards.
	abstention = 2*VotePeriod + 2*VotePeriod/driftDivisor
)

// TestMain fixes the seed of the generated schedules, so that every run checks
// the same ones. Command line flags take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260904")
	_ = flag.Set("rapid.checks", "50")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// brokenPolicy selects a deliberate fault in the protocol that must lead to two
// owners of a shard. The zero value selects none.
type brokenPolicy int

const (
	correctPolicy brokenPolicy = iota
	trustsRenewal              // the holder does not compare its lease with the clock
	ignoresVotes               // takeovers do not need votes
)

// world simulates a cell of daemons and its platform in virtual time. Its
// samples check that no daemon holds a shard while another one's grants are
// valid.
type world struct {
	t             *testing.T
	policy        brokenPolicy
	mem           *store.Mem
	mu            sync.Mutex
	roster        []model.HostID // the current one; each change adds or removes one host
	rosterVersion uint64
	nodes         []*node
	lastUse       [worldShards]use // by shard
	violation     string           // the first one, or empty
}

// use is a time at which a holder could have issued a grant.
type use struct {
	node *node
	run  int
	at   time.Time
}

// node is one host with its daemon and the daemon's links to the platform and
// the cell.
type node struct {
	*store.Link
	w             *world
	id            model.HostID
	clockError    float64 // relative rate error
	keeper        *Keeper
	cancel        context.CancelFunc
	run           int
	started       time.Time
	paused        chan struct{} // closed on resume; nil while running
	isolated      bool          // from the cell
	reportedAt    time.Time     // last report that it cannot reach the platform
	silentUntil   time.Time     // it endorsed a takeover and sends no report until then
	reports       map[model.HostID]time.Time
	assumesHeld   [worldShards]bool // by shard, for trustsRenewal
	roster        []model.HostID    // the last one that this node read
	rosterVersion uint64
}

// newWorld starts a daemon on each of size hosts. The rates are the rate errors of their
// clocks, assigned in turn; without any, all clocks are exact. The store keeps hardly
// any events for watches (WithHistory(1)): a keeper only calls Get and Put.
func newWorld(t *testing.T, policy brokenPolicy, size int, rates ...float64) *world {
	w := &world{t: t, policy: policy, mem: store.NewMem(store.WithHistory(1))}
	for i := range size {
		n := &node{Link: w.mem.Link(), w: w, id: model.HostID(fmt.Sprintf("h%d", i))}
		if len(rates) > 0 {
			n.clockError = rates[i%len(rates)]
		}
		w.nodes = append(w.nodes, n)
		w.roster = append(w.roster, n.id)
	}
	for _, n := range w.nodes {
		n.roster = w.roster
		n.start()
	}
	go every(t.Context(), VotePeriod/2, w.sendReports)
	go every(t.Context(), sampleInterval, w.sample)
	return w
}

// clock returns the node's time. Its error grows from the start of the virtual
// time of synctest, 2000-01-01 UTC.
func (n *node) clock() time.Time {
	now := time.Now()
	return now.Add(time.Duration(n.clockError * float64(now.Sub(time.Unix(946684800, 0)))))
}

func (n *node) start() {
	ctx, cancel := context.WithCancel(n.w.t.Context())
	k := New(WithStore(pausableLink{n.Link, n}), WithSelf(n.id, model.Incarnation(fmt.Sprintf("%s.%d", n.id, n.run+1))),
		WithRegion("north", worldShards), WithCell("north-1", n), WithMembers(n.w.live), WithClock(n.clock))
	n.w.mu.Lock()
	n.run++
	n.keeper, n.cancel, n.started = k, cancel, time.Now()
	n.reports, n.reportedAt, n.silentUntil = make(map[model.HostID]time.Time), time.Time{}, time.Time{}
	n.assumesHeld = [worldShards]bool{}
	n.w.mu.Unlock()
	go func() { _ = k.Run(ctx) }()
}

func (n *node) kill() {
	n.resume()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.cancel != nil {
		n.cancel()
	}
	n.cancel = nil
}

func (n *node) pause() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.paused == nil && n.cancel != nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
	}
	n.paused = nil
}

func (n *node) isolate(on bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.isolated = on
}

// waitResumed waits until the node is not paused.
func (n *node) waitResumed() {
	n.w.mu.Lock()
	c := n.paused
	n.w.mu.Unlock()
	if c != nil {
		<-c
	}
}

// up reports whether the daemon runs and is not paused. The caller holds the
// lock.
func (n *node) up() bool { return n.cancel != nil && n.paused == nil }

// hasContact reports whether the node's calls to the platform succeed.
func (n *node) hasContact() bool {
	down, mute, delay, _ := n.State()
	allDown, allMute, allDelay, _ := n.w.mem.State()
	return !down && !mute && !allDown && !allMute && delay+allDelay < callTimeout
}

func (w *world) live() []model.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []model.HostID
	for _, n := range w.nodes {
		if n.cancel != nil {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// sendReports makes each member that cannot reach the platform report this to
// the members that it reaches. Each member that does reach the platform reads the
// current roster instead.
func (w *world) sendReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, n := range w.nodes {
		if n.up() && n.hasContact() {
			n.roster, n.rosterVersion = w.roster, w.rosterVersion
		}
		if !n.up() || n.hasContact() || now.Before(n.silentUntil) || now.Sub(n.started) < abstention {
			continue
		}
		n.reportedAt = now
		for _, m := range w.nodes {
			if m == n || m.up() && !m.isolated && !n.isolated {
				m.reports[n.id] = now
			}
		}
	}
}

// Roster implements Voter.
func (n *node) Roster() (version uint64, members []model.HostID) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.rosterVersion, n.roster
}

// toggleMember removes a host from the roster, or adds it if it is not there.
// The roster keeps at least three hosts.
func (w *world) toggleMember(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	roster := slices.Clone(w.roster)
	if i := slices.Index(roster, n.id); i >= 0 {
		roster = slices.Delete(roster, i, i+1)
	} else {
		roster = append(roster, n.id)
	}
	if len(roster) > 2 {
		w.roster, w.rosterVersion = roster, w.rosterVersion+1
	}
}

// CountDisconnected implements Voter. During an outage, a keeper extends a lease that it
// cannot renew if the result is at least the outage quorum of the members.
func (n *node) CountDisconnected(_ context.Context, members []model.HostID) int {
	n.waitResumed()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	count := 0
	for _, id := range members {
		if at, ok := n.reports[id]; ok && time.Since(at) < VotePeriod {
			count++
		}
	}
	return count
}

// CountEndorsements implements Voter.
func (n *node) CountEndorsements(_ context.Context, members []model.HostID, _ model.Shard) int {
	n.waitResumed()
	if n.w.policy == ignoresVotes {
		return len(members)
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	now, count := time.Now(), 0
	for _, m := range n.w.nodes {
		reached := m == n || m.up() && !m.isolated && !n.isolated
		if !reached || !slices.Contains(members, m.id) || !m.hasContact() || now.Sub(m.reportedAt) < abstention || now.Sub(m.started) < abstention {
			continue
		}
		m.silentUntil = now.Add(abstention)
		count++
	}
	return count
}

func (n *node) holds(s model.Shard) bool {
	held := n.keeper.Holds(s)
	if n.w.policy != trustsRenewal {
		return held
	}
	// This holder stops only when an answer names another holder.
	n.keeper.mu.Lock()
	defer n.keeper.mu.Unlock()
	holder := n.keeper.shards[s].holder
	n.assumesHeld[s] = held || n.assumesHeld[s] && (holder == "" || holder == n.id)
	return n.assumesHeld[s]
}

// sample records a violation if a daemon holds a shard while a grant that
// another daemon, or an earlier run of the same one, could have issued is valid.
func (w *world) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range model.Shard(worldShards) {
		for _, n := range w.nodes {
			if n.up() && n.holds(s) {
				w.recordUse(s, use{n, n.run, time.Now()})
			}
		}
	}
}

// recordUse records a use of a shard and a violation that it shows: the last use
// was by another node or another run of it, less than GrantLifetime minus one
// sampleInterval before. The caller holds the lock.
func (w *world) recordUse(s model.Shard, u use) {
	last := w.lastUse[s]
	changed := last.node != nil && (last.node != u.node || last.run != u.run)
	if gap := u.at.Sub(last.at); changed && gap < GrantLifetime-sampleInterval && w.violation == "" {
		w.violation = fmt.Sprintf("%s holds shard %d %s after %s did", u.node.id, s, gap, last.node.id)
	}
	w.lastUse[s] = u
}

// outcome returns the first violation and the number of shards that had no
// holder in the last 5 s. Handing a shard to another member takes less time.
func (w *world) outcome() (violation string, vacant int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.lastUse {
		if time.Since(u.at) > 5*time.Second {
			vacant++
		}
	}
	return w.violation, vacant
}

// holder returns the index of the node that holds a shard, or -1. It reads n.cancel
// without the lock, so no other goroutine may start or kill nodes meanwhile.
func (w *world) holder(s model.Shard) int {
	for i, n := range w.nodes {
		if n.cancel != nil && n.keeper.Holds(s) {
			return i
		}
	}
	return -1
}

// second returns the second ranked node of shard 0 as ranked by the keeper of first,
// which must have ranked at least two live members.
func (w *world) second(first *node) *node {
	first.keeper.mu.Lock()
	defer first.keeper.mu.Unlock()
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == first.keeper.shards[0].ranked[1] })]
}

// betweenRenewals waits until the node is not renewing its lease of shard 0 and
// will not start to within half a second (RenewalInterval/4). It also waits until no
// renewal is pending, that is, prepared and without a known outcome: such a renewal is
// sent again with the old roster. A change of the roster then is not in a renewal that
// was already prepared.
func (w *world) betweenRenewals(n *node) {
	for {
		n.keeper.mu.Lock()
		s := n.keeper.shards[0]
		quiet := !s.busy && s.pending == nil && s.due.Sub(n.clock()) > RenewalInterval/4
		n.keeper.mu.Unlock()
		if quiet {
			return
		}
		time.Sleep(sampleInterval)
	}
}

// stop kills all daemons.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// advance sleeps for d of virtual time and fails the test on a violation.
func (w *world) advance(d time.Duration) {
	time.Sleep(d)
	violation, _ := w.outcome()
	must.EqOp(w.t, "", violation)
}

// pausableLink is a node's link to the platform. A paused daemon sends no call
// and receives no answer until it resumes.
type pausableLink struct {
	*store.Link
	n *node
}

func (p pausableLink) Get(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	p.n.waitResumed()
	defer p.n.waitResumed()
	return p.Link.Get(ctx, kind, name)
}

func (p pausableLink) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	p.n.waitResumed()
	defer p.n.waitResumed()
	return p.Link.Put(ctx, kind, name, value, match)
}
