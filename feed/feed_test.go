package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/roster"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

var errCut = fault.New(fault.KindUnavailable, "cut", "retry")

// daemon is a simulated daemon; its address is its name.
type daemon struct {
	*Service
	cells  *roster.Service
	link   *store.Link
	cancel context.CancelFunc
}

// fleet connects daemons in memory.
type fleet struct {
	mem     *store.Mem
	mu      sync.Mutex
	daemons map[string]*daemon
	cut     map[string]bool // cut off: a daemon by its name, or one direction by from>to
	stuck   map[string]bool // heartbeats work, transfers of the configuration fail
	mute    atomic.Bool     // all notices are lost
	naive   bool            // confirm regardless of versions
	starts  int
	group   sync.WaitGroup
}

// daemonAt returns the daemon at an address, or errCut if it cannot be reached.
func (f *fleet) daemonAt(from, address string) (*daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[address] || f.cut[from+">"+address] || f.daemons[address] == nil {
		return nil, errCut
	}
	return f.daemons[address], nil
}

// locked applies a change of the fleet's state under its lock.
func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// path is the roster.Transport of one daemon.
type path struct {
	*fleet
	from string
}

func (p path) Send(address string, b cell.Heartbeat) {
	if d, err := p.daemonAt(p.from, address); err == nil {
		b.UpToDate = b.UpToDate || p.naive
		d.cells.Handle(b)
	}
}

func (path) Reset(string)    {}
func (path) Retain([]string) {}

func (p path) Ask(context.Context, string, cell.Question) (cell.Answer, error) {
	return cell.Answer{}, errCut
}

func (p path) Roster(_ context.Context, address string) (cell.Roster, error) {
	d, err := p.daemonAt(p.from, address)
	if err != nil {
		return cell.Roster{}, err
	}
	return d.cells.HandleRosterRequest(), nil
}

// peers is the Peers of one daemon.
type peers path

func (p peers) Notify(_ context.Context, address string, n Notice) error {
	d, err := p.daemonAt(p.from, address)
	if err == nil && !p.mute.Load() {
		d.OfferRoot(n)
	}
	return err
}

// transfer returns the daemon at an address, or errCut if it cannot be reached or the
// caller is stuck.
func (p peers) transfer(address string) (*daemon, error) {
	d, err := p.daemonAt(p.from, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stuck[p.from] {
		return nil, errCut
	}
	return d, err
}

func (p peers) Root(_ context.Context, address string) (conf.Root, error) {
	d, err := p.transfer(address)
	if err != nil {
		return conf.Root{}, err
	}
	return d.CurrentRoot()
}

func (p peers) Pull(_ context.Context, address string, q ChunkRequest) (ChunkResponse, error) {
	d, err := p.transfer(address)
	if err != nil {
		return ChunkResponse{}, err
	}
	return d.ServeChunks(q)
}

func newFleet() *fleet {
	return &fleet{mem: store.NewMem(), daemons: make(map[string]*daemon), cut: make(map[string]bool), stuck: make(map[string]bool)}
}

// start runs a daemon, and stops an earlier daemon of the same name.
func (f *fleet) start(ctx context.Context, name string, seeds ...string) *daemon {
	f.starts++
	if old := f.daemons[name]; old != nil {
		old.cancel()
		synctest.Wait() // two daemons never run on one host
	}
	d := &daemon{link: f.mem.Link()}
	m := cell.NewMember(cell.Host{ID: model.HostID(name), Address: name}, "c", model.Incarnation(fmt.Sprint(f.starts)))
	d.Service = New(conf.NewHolder(), m, d.link, peers{f, name})
	d.cells = roster.NewService(m, d.link, path{f, name}, roster.WithReader(d.ReadVersion), roster.WithSeeds(seeds))
	ctx, d.cancel = context.WithCancel(ctx)
	f.locked(func() { f.daemons[name] = d })
	f.group.Go(func() { _ = d.cells.Run(ctx) })
	f.group.Go(func() { _ = d.Run(ctx) })
	return d
}

// commit makes the version the newest one of the platform. Each version has another
// number of customers.
func commit(t *testing.T, s store.Store, version model.ConfigVersion) {
	t.Helper()
	in := &model.Intent{}
	for i := range 5 + int(version) {
		in.Customers = append(in.Customers, model.Customer{ID: model.CustomerID(fmt.Sprint(i)), Rate: 1, Burst: 1})
	}
	_, rootVersion, err := conf.ReadRoot(t.Context(), s)
	must.True(t, err == nil || fault.Is(err, fault.KindMissing))
	audit := fmt.Append(nil, version)
	root, chunks, err := conf.Build(in, version, model.DigestOf(audit), fmt.Sprint(version))
	must.NoError(t, err)
	_, err = conf.Commit(t.Context(), s, rootVersion, root, chunks, audit)
	must.NoError(t, err)
}

// runCell starts a cell of five and calls f after all of them are fresh with
// version 1.
func runCell(t *testing.T, f func(t *testing.T, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cellFleet := newFleet()
		commit(t, cellFleet.mem, 1)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 5 {
			cellFleet.start(ctx, fmt.Sprint("h", i))
		}
		time.Sleep(90 * time.Second)
		cellFleet.expect(t, 1)
		f(t, ctx, cellFleet)
		cancel()
		cellFleet.group.Wait()
	})
}

// expect checks that all daemons have installed version v and are fresh.
func (f *fleet) expect(t *testing.T, v model.ConfigVersion) {
	t.Helper()
	for name, d := range f.daemons {
		must.EqOp(t, v, d.installedVersion(), must.Sprint(name))
		must.True(t, d.member.Fresh(), must.Sprint(name))
	}
}

// TestSpread guards against a version that does not reach all daemons within
// 100 ms by notices, or within two periods when all notices are lost.
func TestSpread(t *testing.T) {
	runCell(t, func(t *testing.T, _ context.Context, f *fleet) {
		commit(t, f.mem, 2)
		time.Sleep(100 * time.Millisecond)
		f.expect(t, 2)
		f.mute.Store(true)
		commit(t, f.mem, 3)
		time.Sleep(2*cell.Period + 100*time.Millisecond)
		f.expect(t, 3)
		time.Sleep(cell.FreshFor + cell.Period)
		must.True(t, f.daemons["h0"].member.Accepted(3))
		must.False(t, f.daemons["h0"].member.Accepted(4))
	})
}

// TestCutOff guards against a partitioned daemon that is fresh with an old version
// more than FreshFor after the others hold a newer one, and against one that does
// not get the newer one after the partition.
func TestCutOff(t *testing.T) {
	runCell(t, func(t *testing.T, _ context.Context, f *fleet) {
		old := f.daemons["h0"]
		f.locked(func() { f.cut["h0"] = true })
		old.link.SetUnavailable(true)
		commit(t, f.mem, 2)
		time.Sleep(cell.FreshFor)
		must.False(t, old.member.Fresh())
		must.EqOp(t, 1, old.installedVersion())
		f.locked(func() { f.cut["h0"] = false })
		time.Sleep(4 * cell.Period) // receive the version by a heartbeat, pull it, report it, be confirmed
		f.expect(t, 2)
	})
}

// TestOutage guards against a cell that reverts to an old version, and against a
// daemon that is fresh with one, when all daemons restart one after the other
// during an outage of the platform.
func TestOutage(t *testing.T) {
	runCell(t, func(t *testing.T, ctx context.Context, f *fleet) {
		commit(t, f.mem, 2)
		time.Sleep(time.Second)
		f.mem.SetUnavailable(true)
		for i := range 5 {
			name := fmt.Sprint("h", i)
			f.daemons[name].link.SetUnavailable(true)
			d := f.start(ctx, name, "h0", "h1", "h2", "h3", "h4")
			must.False(t, d.member.Fresh())
			time.Sleep(30 * time.Second)
			f.expect(t, 2)
		}
		for name, d := range f.daemons {
			d.cancel()
			f.locked(func() { f.cut[name] = name != "h0" })
		}
		lone := f.start(ctx, "h0", "h1")
		time.Sleep(time.Minute)
		must.False(t, lone.member.Fresh(), must.Sprint("no other daemon is reachable"))
		must.EqOp(t, 0, lone.installedVersion())
	})
}

// nextVersion returns the version of the next commit. As a planner does, it first writes back
// the newest configuration that a daemon has in force.
func (f *fleet) nextVersion(ctx context.Context, t *testing.T) model.ConfigVersion {
	t.Helper()
	var newest *conf.Snapshot
	for _, d := range f.daemons {
		if c := d.holder.Current(); c != nil && (newest == nil || c.Version() > newest.Version()) {
			newest = c
		}
	}
	if newest != nil {
		_, err := conf.WriteBack(ctx, f.mem, newest)
		must.NoError(t, err)
	}
	root, _, err := conf.ReadRoot(ctx, f.mem)
	must.NoError(t, err)
	return root.Version + 1
}

// injectFaults runs seven hosts for 15 minutes under random faults that change the
// roster. In each half second one random host starts if it is not running; otherwise
// it may leave, restart, lose or regain links to a peer, to all peers or to the
// platform, or a new version is committed. The function each is called in each half second. It
// returns a description of the first daemon that is fresh with a version older than one that any
// daemon reports as accepted, the highest accepted version and the sizes that the roster had.
func injectFaults(t *testing.T, seed uint64, naive bool, each func(f *fleet)) (violation string, accepted model.ConfigVersion, sizes map[int]bool) {
	t.Helper()
	sizes = make(map[int]bool)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.naive = naive
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(seed, 2))
		commit(t, f.mem, 1)
		for range 1800 {
			a, b := fmt.Sprint("h", random.IntN(7)), fmt.Sprint("h", random.IntN(7))
			if d := f.daemons[a]; d == nil {
				f.mem.SetHost(store.Host{ID: model.HostID(a)})
				f.start(ctx, a, "h0", "h1", "h2", "h3")
			} else {
				switch n := random.IntN(400); {
				case n < 3:
					d.cancel()
					synctest.Wait()
					f.mem.RemoveHost(model.HostID(a))
					f.locked(func() { delete(f.daemons, a) })
				case n < 6:
					f.start(ctx, a, "h0", "h1", "h2", "h3")
				case n < 50:
					f.locked(func() { f.cut[a+">"+b] = n < 18 })
				case n < 60:
					f.locked(func() { f.cut[a] = n < 53 })
				case n < 100:
					d.link.SetUnavailable(n < 75)
				case n < 120:
					d.link.SetUnavailable(n < 110)
					f.locked(func() { f.stuck[a] = n < 110 })
				case n < 126:
					commit(t, f.mem, f.nextVersion(ctx, t))
				}
			}
			each(f)
			time.Sleep(500 * time.Millisecond)
			for _, d := range f.daemons {
				sizes[len(d.member.Roster().Hosts)] = true
				accepted = max(accepted, d.member.Status().Accepted)
			}
			for name, d := range f.daemons {
				if v := d.member.Status().Version; violation == "" && d.member.Fresh() && v < accepted {
					violation = fmt.Sprintf("%s is fresh with version %d after %d was accepted", name, v, accepted)
				}
			}
		}
		cancel()
		f.group.Wait()
	})
	return violation, accepted, sizes
}

// TestAccepted guards against a daemon that is fresh with a version older than an
// accepted one, while hosts join, leave, restart and lose connections in one
// direction. As a control, the same schedules must detect a policy that confirms
// regardless of versions.
func TestAccepted(t *testing.T) {
	naiveViolations := 0
	for seed := range uint64(3) {
		violation, accepted, sizes := injectFaults(t, seed, false, func(*fleet) {})
		must.EqOp(t, "", violation, must.Sprint("seed ", seed))
		must.Greater(t, 5, int(accepted))
		must.Greater(t, 2, len(sizes), must.Sprint("the roster changed"))
		if violation, _, _ := injectFaults(t, seed, true, func(*fleet) {}); violation != "" {
			naiveViolations++
		}
		t.Logf("seed %d: version %d accepted, %d sizes of the roster", seed, accepted, len(sizes))
	}
	must.Positive(t, naiveViolations)
	t.Logf("the naive policy fails in %d schedules", naiveViolations)
}

// TestWatch guards against a watch that misses changes after the platform was
// unavailable or has compacted old changes. Nothing else reads the root here.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		d := &daemon{link: f.mem.Link()}
		m := cell.NewMember(cell.Host{ID: "h0", Address: "h0"}, "c", "1")
		m.SetRoster(cell.Roster{Version: 1, Hosts: []cell.Host{m.Self()}}, true)
		d.Service = New(conf.NewHolder(), m, d.link, peers{f, "h0"})
		ctx, cancel := context.WithCancel(t.Context())
		f.group.Go(func() { _ = d.Run(ctx) })
		for v := model.ConfigVersion(1); v < 9; v += 2 {
			commit(t, f.mem, v)
			time.Sleep(time.Second)
			must.EqOp(t, v, d.installedVersion())
			d.link.SetUnavailable(true)
			time.Sleep(time.Second)
			commit(t, f.mem, v+1)
			if v > 2 {
				f.mem.Compact()
			}
			time.Sleep(time.Minute)
			d.link.SetUnavailable(false)
			time.Sleep(time.Second)
			must.EqOp(t, v+1, d.installedVersion())
		}
		cancel()
		f.group.Wait()
	})
}

// TestLink guards against answers that exceed the size of a message and against
// methods that do not work over the network, with 26,000 customers.
func TestLink(t *testing.T) {
	in := &model.Intent{}
	for i := range 26_000 {
		id := fmt.Sprintf("customer-%05d", i)
		in.Customers = append(in.Customers, model.Customer{ID: model.CustomerID(id), Rate: 1, Burst: 1,
			Keys: []model.Key{{ID: "a", Digest: model.DigestOf([]byte(id))}, {ID: "b", Digest: model.DigestOf([]byte(id + "b"))}}})
	}
	root, chunks, err := conf.Build(in, 1, model.DigestOf(nil), "one")
	must.NoError(t, err)
	full, err := conf.Assemble(root, func(d model.Digest) ([]byte, error) { return chunks[d], nil })
	must.NoError(t, err)
	source := New(conf.NewHolder(), cell.NewMember(cell.Host{ID: "a"}, "c", "1"), store.NewMem(), NewLink(nil))
	source.holder.Install(full)

	counters := wire.NewCounters()
	server := wire.NewServer(wire.WithCounters(counters))
	Register(server, source)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	pool := wire.NewPool()
	link := NewLink(pool)
	got, err := link.Root(t.Context(), l.Addr().String())
	must.NoError(t, err)
	sink := New(conf.NewHolder(), cell.NewMember(cell.Host{ID: "b"}, "c", "1"), store.NewMem(), link)
	must.NoError(t, sink.install(t.Context(), Notice{Root: got, Address: l.Addr().String()}))
	must.Eq(t, in, &model.Intent{Customers: sink.holder.Current().Intent().Customers})
	must.NoError(t, link.Notify(t.Context(), l.Addr().String(), Notice{Root: root, Address: "x"}))
	c := counters.Methods()["conf.pull"]
	must.Less(t, store.MaxValue, c.BytesSent/c.MessagesSent)
	pool.Close()
	cancel()
	must.NoError(t, <-done)
}
