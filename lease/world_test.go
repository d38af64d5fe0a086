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
	worldShards = 3
	sampling    = 100 * time.Millisecond
	abstention  = 2*Period + 2*Period/drift
)

// TestMain fixes the seed of all generated schedules, so that every run checks
// the same ones. Flags of the command line prevail.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260904")
	_ = flag.Set("rapid.checks", "50")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// naive names a broken policy that must violate single ownership.
type naive int

const (
	sound         naive = iota
	trustsRenewal       // the holder checks no clock after its last renewal
	ignoresVotes        // the taker asks no votes
)

// world is a cell of daemons and its platform in virtual time. Its samples
// check that no daemon holds a shard while another one's grants are valid.
type world struct {
	t      *testing.T
	policy naive
	mem    *store.Mem
	mu     sync.Mutex
	roster []model.HostID // the newest; each change adds or removes one host
	serial uint64         // of the roster
	nodes  []*node
	used   [worldShards]use // the last use of each shard
	found  string           // the first violation
}

// use is a moment at which a holder could have made a grant.
type use struct {
	node *node
	run  int
	at   time.Time
}

// node is one host. Its daemon reaches the platform and the cell through it.
type node struct {
	*store.Link
	w         *world
	id        model.HostID
	rate      float64 // clock error, as a fraction
	keeper    *Keeper
	cancel    context.CancelFunc
	run       int
	started   time.Time
	paused    chan struct{} // closed on resume; nil while running
	isolated  bool          // from the cell
	denied    time.Time     // when it last said that it has no contact
	promised  time.Time     // until when it does not say so
	reports   map[model.HostID]time.Time
	remembers [worldShards]bool // for trustsRenewal
	roster    []model.HostID    // as this node knows it
	serial    uint64
}

func newWorld(t *testing.T, policy naive, size int, rates ...float64) *world {
	w := &world{t: t, policy: policy, mem: store.NewMem(store.WithHistory(1))}
	for i := range size {
		n := &node{Link: w.mem.Link(), w: w, id: model.HostID(fmt.Sprintf("h%d", i))}
		if len(rates) > 0 {
			n.rate = rates[i%len(rates)]
		}
		w.nodes = append(w.nodes, n)
		w.roster = append(w.roster, n.id)
	}
	for _, n := range w.nodes {
		n.roster = w.roster
		n.start()
	}
	go every(t.Context(), Period/2, w.beat)
	go every(t.Context(), sampling, w.sample)
	return w
}

func (n *node) clock() time.Time {
	now := time.Now()
	return now.Add(time.Duration(n.rate * float64(now.Sub(time.Unix(946684800, 0)))))
}

func (n *node) start() {
	ctx, cancel := context.WithCancel(n.w.t.Context())
	k := New(WithStore(gated{n.Link, n}), WithSelf(n.id, model.Incarnation(fmt.Sprintf("%s.%d", n.id, n.run+1))),
		WithRegion("north", worldShards), WithCell("north-1", n), WithMembers(n.w.live), WithClock(n.clock))
	n.w.mu.Lock()
	n.run++
	n.keeper, n.cancel, n.started = k, cancel, time.Now()
	n.reports, n.denied, n.promised = make(map[model.HostID]time.Time), time.Time{}, time.Time{}
	n.remembers = [worldShards]bool{}
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

// awake waits until the node is not paused.
func (n *node) awake() {
	n.w.mu.Lock()
	c := n.paused
	n.w.mu.Unlock()
	if c != nil {
		<-c
	}
}

// up reports whether the node takes part in the cell. The caller holds the lock.
func (n *node) up() bool { return n.cancel != nil && n.paused == nil }

func (n *node) contact() bool {
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

// beat lets each member without contact say so to the members that it reaches.
func (w *world) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, n := range w.nodes {
		if n.up() && n.contact() {
			n.roster, n.serial = w.roster, w.serial
		}
		if !n.up() || n.contact() || now.Before(n.promised) || now.Sub(n.started) < abstention {
			continue
		}
		n.denied = now
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
	return n.serial, n.roster
}

// toggle adds a host to the roster or removes it.
func (w *world) toggle(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	roster := slices.Clone(w.roster)
	if i := slices.Index(roster, n.id); i >= 0 {
		roster = slices.Delete(roster, i, i+1)
	} else {
		roster = append(roster, n.id)
	}
	if len(roster) > 2 {
		w.roster, w.serial = roster, w.serial+1
	}
}

// CutOff implements Voter.
func (n *node) CutOff(_ context.Context, members []model.HostID) int {
	n.awake()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	count := 0
	for _, id := range members {
		if at, ok := n.reports[id]; ok && time.Since(at) < Period {
			count++
		}
	}
	return count
}

// Endorse implements Voter.
func (n *node) Endorse(_ context.Context, members []model.HostID, _ model.Shard) int {
	n.awake()
	if n.w.policy == ignoresVotes {
		return len(members)
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	now, count := time.Now(), 0
	for _, m := range n.w.nodes {
		reached := m == n || m.up() && !m.isolated && !n.isolated
		if !reached || !slices.Contains(members, m.id) || !m.contact() || now.Sub(m.denied) < abstention || now.Sub(m.started) < abstention {
			continue
		}
		m.promised = now.Add(abstention)
		count++
	}
	return count
}

func (n *node) holds(s model.Shard) bool {
	now := n.keeper.Holds(s)
	if n.w.policy != trustsRenewal {
		return now
	}
	// The naive holder gives a shard up only when an answer tells it to.
	n.keeper.mu.Lock()
	defer n.keeper.mu.Unlock()
	holder := n.keeper.shards[s].holder
	n.remembers[s] = now || n.remembers[s] && (holder == "" || holder == n.id)
	return n.remembers[s]
}

// sample notes a violation if a daemon holds a shard while a grant that
// another daemon, or an earlier run of it, could have made is still valid.
func (w *world) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range model.Shard(worldShards) {
		for _, n := range w.nodes {
			if n.up() && n.holds(s) {
				w.note(s, use{n, n.run, time.Now()})
			}
		}
	}
}

// note records a use of a shard. The caller holds the lock.
func (w *world) note(s model.Shard, u use) {
	last := w.used[s]
	changed := last.node != nil && (last.node != u.node || last.run != u.run)
	if gap := u.at.Sub(last.at); changed && gap < GrantLifetime-sampling && w.found == "" {
		w.found = fmt.Sprintf("%s holds shard %d %s after %s did", u.node.id, s, gap, last.node.id)
	}
	w.used[s] = u
}

// verdict returns the first violation and the number of shards that nobody
// held in the last 5 s; giving a shard to another member takes less.
func (w *world) verdict() (found string, vacant int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.used {
		if time.Since(u.at) > 5*time.Second {
			vacant++
		}
	}
	return w.found, vacant
}

// holder returns the index of the node that holds a shard, or -1.
func (w *world) holder(s model.Shard) int {
	for i, n := range w.nodes {
		if n.cancel != nil && n.keeper.Holds(s) {
			return i
		}
	}
	return -1
}

// second returns the node that is next for shard 0 after the best ranked one.
func (w *world) second(first *node) *node {
	first.keeper.mu.Lock()
	defer first.keeper.mu.Unlock()
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == first.keeper.shards[0].ranked[1] })]
}

// betweenRenewals waits until the node neither renews its lease of shard 0 nor
// will within half a second: the roster that a renewal names is read when it is
// prepared.
func (w *world) betweenRenewals(n *node) {
	for {
		n.keeper.mu.Lock()
		s := n.keeper.shards[0]
		quiet := !s.busy && s.pending == nil && s.due.Sub(n.clock()) > Renewal/4
		n.keeper.mu.Unlock()
		if quiet {
			return
		}
		time.Sleep(sampling)
	}
}

// close ends all daemons.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// after lets time pass.
func (w *world) after(d time.Duration) {
	time.Sleep(d)
	found, _ := w.verdict()
	must.EqOp(w.t, "", found)
}

// gated is a node's path to the platform. A paused daemon sends no call and
// sees no answer until it resumes.
type gated struct {
	*store.Link
	n *node
}

func (g gated) Get(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	g.n.awake()
	defer g.n.awake()
	return g.Link.Get(ctx, kind, name)
}

func (g gated) Put(ctx context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	g.n.awake()
	defer g.n.awake()
	return g.Link.Put(ctx, kind, name, value, match)
}
