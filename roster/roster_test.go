package roster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// network connects services in memory. Each service has its own link to the
// platform.
type network struct {
	mem      *store.Mem
	mu       sync.Mutex
	services map[string]*Service           // by address, which is the host's name
	down     map[string]bool               // services that cannot be reached and reach no other
	stop     map[string]context.CancelFunc // stops the running service of the name
	resets   atomic.Int32                  // number of reset connections
	group    sync.WaitGroup
}

func newNetwork() *network {
	return &network{
		mem: store.NewMem(), services: make(map[string]*Service),
		down: make(map[string]bool), stop: make(map[string]context.CancelFunc),
	}
}

// serviceAt returns the service at an address, or nil if it cannot be reached.
func (n *network) serviceAt(from, address string) *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[from] || n.down[address] {
		return nil
	}
	return n.services[address]
}

// cut makes a service unreachable or reachable again.
func (n *network) cut(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

// path is the Transport of one service in the network.
type path struct {
	net  *network
	from string
}

func (p path) Send(address string, b cell.Heartbeat) {
	if s := p.net.serviceAt(p.from, address); s != nil {
		s.Handle(b)
	}
}

func (p path) Reset(string)  { p.net.resets.Add(1) }
func (path) Retain([]string) {}

func (p path) Ask(ctx context.Context, address string, q cell.Question) (cell.Answer, error) {
	if s := p.net.serviceAt(p.from, address); s != nil {
		return s.HandleQuestion(ctx, q), nil
	}
	return cell.Answer{}, fault.New(fault.KindUnavailable, "cut", "retry")
}

func (p path) Roster(_ context.Context, address string) (cell.Roster, error) {
	if s := p.net.serviceAt(p.from, address); s != nil {
		return s.HandleRosterRequest(), nil
	}
	return cell.Roster{}, fault.New(fault.KindUnavailable, "cut", "retry")
}

// start runs a daemon with version 1 of the configuration, and stops an earlier
// daemon of the same name. It returns the daemon's link to the platform.
func (n *network) start(ctx context.Context, name, incarnation string, seeds ...string) *store.Link {
	if stop := n.stop[name]; stop != nil {
		stop()
	}
	ctx, n.stop[name] = context.WithCancel(ctx)
	link := n.mem.Link()
	m := cell.NewMember(cell.Host{ID: model.HostID(name), Address: name}, "c", model.Incarnation(incarnation))
	m.SetVersion(1)
	s := NewService(m, link, path{n, name}, WithSeeds(seeds), WithReader(func(ctx context.Context) (model.ConfigVersion, error) {
		_, err := link.Get(ctx, store.KindConf, "root")
		return 1, err
	}))
	n.mu.Lock()
	n.services[name] = s
	n.mu.Unlock()
	n.group.Go(func() { _ = s.Run(ctx) })
	return link
}

// runCell starts a cell of five hosts and calls f after it has formed.
func runCell(t *testing.T, f func(t *testing.T, ctx context.Context, n *network, links map[string]*store.Link)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		_, err := n.mem.Put(t.Context(), store.KindConf, "root", nil, 0)
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		links := make(map[string]*store.Link)
		for i := range 5 {
			name := fmt.Sprint("h", i)
			n.mem.SetHost(store.Host{ID: model.HostID(name), Address: name})
			links[name] = n.start(ctx, name, "1")
		}
		time.Sleep(90 * time.Second)
		f(t, ctx, n, links)
		cancel()
		n.group.Wait()
	})
}

// memberCount returns the size of the roster that the named host holds.
func memberCount(n *network, name string) int {
	_, ids := n.services[name].Roster()
	return len(ids)
}

// TestRoster guards against hosts that do not join, against the removal of a host
// that only sends no heartbeats or is only missing from the host list, and against
// a host that is not removed although both hold.
func TestRoster(t *testing.T) {
	runCell(t, func(t *testing.T, _ context.Context, n *network, _ map[string]*store.Link) {
		for name, s := range n.services {
			must.EqOp(t, 5, memberCount(n, name), must.Sprint(name))
			must.True(t, s.Member().Fresh())
			must.True(t, s.Member().Accepted(1))
		}
		before := n.mem.CallCounts().Get
		time.Sleep(100 * time.Second)
		must.LessEq(t, 2*2*51, n.mem.CallCounts().Get-before, must.Sprint("only two members read, roster and root"))
		n.mem.RemoveHost("h3")
		time.Sleep(90 * time.Second)
		must.EqOp(t, 5, memberCount(n, "h0"), must.Sprint("it still sends heartbeats"))
		n.cut("h4", true)
		time.Sleep(90 * time.Second)
		must.EqOp(t, 5, memberCount(n, "h0"), must.Sprint("it is still on the list"))
		n.cut("h3", true)
		time.Sleep(90 * time.Second)
		must.EqOp(t, 4, memberCount(n, "h0"))
	})
}

// TestOutage guards against a cell that loses freshness or its roster during a
// long outage of the platform, also for a daemon that starts meanwhile, and
// against connections that are kept although no heartbeat is answered on them.
func TestOutage(t *testing.T) {
	runCell(t, func(t *testing.T, ctx context.Context, n *network, links map[string]*store.Link) {
		for _, l := range links {
			l.SetUnavailable(true)
		}
		n.mem.SetUnavailable(true)
		time.Sleep(time.Hour)
		for name, s := range n.services {
			must.True(t, s.Member().Fresh(), must.Sprint(name))
		}
		must.EqOp(t, 0, n.resets.Load())
		n.cut("h0", true)
		time.Sleep(10 * time.Second)
		must.EqOp(t, 8, n.resets.Load(), must.Sprint("each side reset its connection to the other once"))
		must.False(t, n.services["h0"].Member().Fresh())
		n.cut("h0", false)
		n.start(ctx, "h0", "2", "h1", "h2")
		must.False(t, n.services["h0"].Member().Fresh())
		time.Sleep(20 * time.Second)
		must.True(t, n.services["h0"].Member().Fresh())
	})
}

// TestVotes guards against a quorum for the continuation of a lease and one for
// its takeover at the same time.
func TestVotes(t *testing.T) {
	runCell(t, func(t *testing.T, ctx context.Context, n *network, links map[string]*store.Link) {
		s := n.services["h0"]
		_, ids := s.Roster()
		must.EqOp(t, 0, s.CountNoContact(ctx, ids))
		must.EqOp(t, 5, s.CountEndorsements(ctx, ids, 1))
		for _, name := range []string{"h0", "h1", "h2"} {
			links[name].SetUnavailable(true)
		}
		must.EqOp(t, 0, s.CountNoContact(ctx, ids), must.Sprint("they have just endorsed"))
		time.Sleep(4 * time.Second)
		must.EqOp(t, 3, s.CountNoContact(ctx, ids))
		must.EqOp(t, 2, n.services["h4"].CountEndorsements(ctx, ids, 1))
		for _, l := range links {
			l.SetUnavailable(false)
		}
		must.EqOp(t, 2, n.services["h4"].CountEndorsements(ctx, ids, 1), must.Sprint("three have just stated that they have no contact"))
		time.Sleep(4 * time.Second)
		must.EqOp(t, 5, n.services["h4"].CountEndorsements(ctx, ids, 1))
	})
}

// TestVoteTime guards against votes that outlast a lease holder's period because
// the platform accepts calls and never answers.
func TestVoteTime(t *testing.T) {
	runCell(t, func(t *testing.T, ctx context.Context, n *network, links map[string]*store.Link) {
		for _, l := range links {
			l.SetDelay(time.Hour)
		}
		time.Sleep(5 * time.Second)
		s := n.services["h0"]
		_, ids := s.Roster()
		start := time.Now()
		must.EqOp(t, 5, s.CountNoContact(ctx, ids))
		must.Less(t, cell.Period/2, time.Since(start))
	})
}
