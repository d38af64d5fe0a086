package mesh_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
)

// countFleet is a fleet whose hosts are cut off, killed, suspended and started again.
type countFleet struct {
	hosts []mesh.Host

	mu    sync.Mutex
	nodes []*mesh.Node // nil: the process is gone
	stop  []context.CancelFunc
	side  []int  // hosts of different sides cannot reach each other
	kind  string // how a cut answers: silent, reset, refused, or heard if only answers are lost
}

func newCountFleet(n int) *countFleet {
	f := &countFleet{nodes: make([]*mesh.Node, n), stop: make([]context.CancelFunc, n), side: make([]int, n)}
	for i := range n {
		domain := i % 4
		f.hosts = append(f.hosts, mesh.Host{ID: model.HostID(fmt.Sprintf("h%02d", i)), Region: model.Region([]string{"north", "south"}[domain/2]),
			Domain: model.Domain(fmt.Sprintf("d%d", domain)), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Cores: 1})
	}
	return f
}

// start starts the process of a host.
func (f *countFleet) start(i int) {
	start := time.Now()
	lists := &mesh.RelayedLists{Clock: func() time.Duration { return time.Since(start) }}
	node := mesh.NewNode(f.hosts[i], time.Now, func(*mesh.Sum) {})
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	f.nodes[i], f.stop[i] = node, cancel
	f.mu.Unlock()
	send := func(ctx context.Context, to mesh.Host, m *mesh.Message) (*mesh.Message, error) {
		return f.send(ctx, i, to, m, lists)
	}
	go func() {
		_ = mesh.NewRunner(node, lists, nil, func() []mesh.Host { return f.hosts }, mesh.WithTransport(send)).Run(ctx)
	}()
}

// kill ends the process of a host.
func (f *countFleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop[i]()
	f.nodes[i] = nil
}

// send is the transport of host i.
func (f *countFleet) send(ctx context.Context, i int, to mesh.Host, m *mesh.Message, lists *mesh.RelayedLists) (*mesh.Message, error) {
	time.Sleep(time.Millisecond)
	j := slices.IndexFunc(f.hosts, func(h mesh.Host) bool { return h.ID == to.ID })
	f.mu.Lock()
	node, cut, kind := f.nodes[j], f.side[i] != f.side[j], f.kind
	f.mu.Unlock()
	switch {
	case cut && kind == "heard" && node != nil:
		node.Answer(lists, m)
		<-ctx.Done()
		return nil, ctx.Err()
	case cut && kind == "silent":
		<-ctx.Done()
		return nil, ctx.Err()
	case cut && kind == "reset":
		return nil, syscall.ECONNRESET
	case cut || node == nil:
		return nil, syscall.ECONNREFUSED
	}
	answer := node.Answer(lists, m)
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return nil, errors.New("late")
	}
	return answer, nil
}

// reached returns how many hosts are on the side of a host, itself included.
func (f *countFleet) reached(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for j := range f.hosts {
		if f.nodes[j] != nil && f.side[j] == f.side[i] {
			count++
		}
	}
	return count
}

const (
	// noticeTime is the time in which all hosts notice that others are gone: a link's timeout
	// and the way through the tree.
	noticeTime = 1500 * time.Millisecond
	// joinTime is the time in which those that are left find each other. Each host that does not
	// answer takes up to half a second, and is tried again after 8 s at most.
	joinTime = 30 * time.Second
)

// checkCounts checks that each host counts those that it reaches, and at no time others: they use
// their own part of the limits. It returns how long a part of the limits was not used by anybody.
func (f *countFleet) checkCounts(t *testing.T, name string) (unused time.Duration) {
	t.Helper()
	start := time.Now()
	time.Sleep(noticeTime)
	for time.Since(start) < joinTime {
		for i, node := range f.running() {
			count, reached := node.CountHosts(), f.reached(i)
			test.LessEq(t, reached, count, test.Sprintf("%s: %s", name, f.hosts[i].ID))
			if count < reached {
				unused = time.Since(start)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i, node := range f.running() {
		test.Eq(t, f.reached(i), node.CountHosts(), test.Sprintf("%s: %s", name, f.hosts[i].ID))
	}
	return unused
}

// running returns the nodes of the processes that run, by the index of their host.
func (f *countFleet) running() map[int]*mesh.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := make(map[int]*mesh.Node)
	for i, node := range f.nodes {
		if node != nil {
			nodes[i] = node
		}
	}
	return nodes
}

// TestHostsCounted guards against hosts whose part of the limits is used on both sides of a cut,
// however the cut answers, and against hosts that still count after a kill, a return or a move.
func TestHostsCounted(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 54))
				f := newCountFleet(24)
				for i := range f.hosts {
					f.start(i)
				}
				defer func() {
					for _, stop := range f.stop {
						stop()
					}
					time.Sleep(noticeTime)
				}()
				f.checkCounts(t, "start")
				for range 6 {
					f.change(t, random)
				}
			})
		})
	}
}

// change cuts the fleet into sides, or kills some hosts, and ends that again.
func (f *countFleet) change(t *testing.T, random *rand.Rand) {
	t.Helper()
	chosen := random.Perm(len(f.hosts))[:1+random.IntN(len(f.hosts)/2)]
	if random.IntN(4) == 0 {
		for _, i := range chosen {
			f.kill(i)
		}
		f.checkCounts(t, "killed")
		for _, i := range chosen {
			f.start(i)
		}
		f.checkCounts(t, "started")
		return
	}
	f.mu.Lock()
	f.kind = []string{"silent", "reset", "refused", "heard"}[random.IntN(4)]
	kind, together := f.kind, random.IntN(2) == 0
	for n, i := range chosen {
		f.side[i] = n + 1
		if together {
			f.side[i] = 1
		}
	}
	f.mu.Unlock()
	t.Logf("cut, %s: parts of the limits unused for up to %s", kind, f.checkCounts(t, "cut, "+kind))
	f.mu.Lock()
	clear(f.side)
	f.mu.Unlock()
	t.Logf("healed: %s", f.checkCounts(t, "healed"))
}
