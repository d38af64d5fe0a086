package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// countingLink is a host's way to the store. It counts the complete lists that it reads.
type countingLink struct {
	*store.Link
	lists *int
	mu    *sync.Mutex
}

func (l countingLink) List(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error) {
	l.mu.Lock()
	*l.lists++
	l.mu.Unlock()
	return l.Link.List(ctx, kind)
}

// fleetHost is one process of a host.
type fleetHost struct {
	config  *ConfigFollower
	targets *Targets
	holder  *conf.Holder
	link    *store.Link
	cancel  context.CancelFunc
	answer  []mesh.ListUpdate       // the parent's last answer
	left    map[model.TargetID]bool // targets that this host has seen leaving
	highest model.ConfigVersion
}

// modelFleet is a tree of hosts, a store that is copied and restored, and what the operator and
// the targets wrote.
type modelFleet struct {
	t       *testing.T
	random  *rand.Rand
	mem     *store.Mem
	hosts   []*fleetHost
	cut     []bool // the link to the parent is cut
	lists   int
	mu      sync.Mutex
	copies  []store.Copy            // one every copyInterval, the newest last
	written map[string]string       // the state of each object that was acknowledged, by "kind/name"; empty: removed
	config  int                     // version of the newest configuration
	started int                     // targets so far
	left    map[model.TargetID]bool // targets whose leaving was acknowledged
	away    bool
}

const (
	copyInterval     = 500 * time.Millisecond
	exchangeInterval = 80 * time.Millisecond
)

func newModelFleet(t *testing.T, seed uint64, hosts int) *modelFleet {
	f := &modelFleet{t: t, random: rand.New(rand.NewPCG(seed, 37)), mem: store.NewMem(store.WithWatchWait(300 * time.Millisecond)),
		hosts: make([]*fleetHost, hosts), cut: make([]bool, hosts), written: make(map[string]string), left: make(map[model.TargetID]bool)}
	f.changeConfig()
	for range 4 {
		f.startTarget()
	}
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// start starts the process of a host, without a state.
func (f *modelFleet) start(i int) {
	h := &fleetHost{holder: conf.NewHolder(), link: f.mem.Link(), left: make(map[model.TargetID]bool)}
	start := time.Now()
	boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
	source := countingLink{Link: h.link, lists: &f.lists, mu: &f.mu}
	h.targets = NewTargets(source, "servers", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return h.config.Age() }, func() bool { return h.config.StoreAnswers() }, boot)
	h.config = NewConfigFollower(source, "config", "main", configDecoder{}, h.holder, Observers{h.targets}, boot)
	ctx, cancel := context.WithCancel(f.t.Context())
	h.cancel = cancel
	f.hosts[i] = h
	go func() { _ = h.config.Run(ctx) }()
	go func() { _ = h.targets.Run(ctx) }()
}

// put writes an object on behalf of the operator or a target, as long as the store is there.
func (f *modelFleet) put(kind store.Kind, name, value string) {
	if f.away {
		return
	}
	f.written[string(kind)+"/"+name] = value
	f.write(kind, name, value)
}

func (f *modelFleet) write(kind store.Kind, name, value string) {
	ctx := context.Background()
	o, _ := f.mem.Get(ctx, kind, name) // a missing object has version 0
	switch {
	case value == "" && o.Version != 0:
		must.NoError(f.t, f.mem.Delete(ctx, kind, name, o.Version))
	case value != "" && string(o.Value) != value:
		_, err := f.mem.Put(ctx, kind, name, []byte(value), o.Version)
		must.NoError(f.t, err)
	}
}

func (f *modelFleet) changeConfig() {
	if !f.away {
		f.config++
		f.put("config", "main", strings.Repeat("x", f.config))
	}
}

func (f *modelFleet) startTarget() {
	if !f.away {
		name := fmt.Sprintf("t%d", f.started)
		f.started++
		f.put("servers", name, string(entryOf(name, false).Value))
	}
}

// changeTarget lets a target leave that is listed, and removes one that leaves.
func (f *modelFleet) changeTarget() {
	name := fmt.Sprintf("t%d", f.random.IntN(f.started))
	leaving := string(entryOf(name, true).Value)
	f.left[model.TargetID(name)] = f.left[model.TargetID(name)] || !f.away
	switch f.written["servers/"+name] {
	case "":
	case leaving:
		f.put("servers", name, "")
	default:
		f.put("servers", name, []string{leaving, ""}[f.random.IntN(2)])
	}
}

// restore lets the store be away for a while and come back from a copy that is up to 9 s old.
// Some time later, what the operator and the targets wrote is written again.
func (f *modelFleet) restore() {
	f.away = true
	f.mem.SetUnavailable(true)
	f.run(time.Duration(50+f.random.IntN(4000)) * time.Millisecond)
	f.mem.Restore(f.copies[max(0, len(f.copies)-1-f.random.IntN(18))])
	f.copies = nil
	f.mem.SetUnavailable(false)
	f.run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
	f.away = false
	for path, value := range f.written {
		kind, name, _ := strings.Cut(path, "/")
		f.write(store.Kind(kind), name, value)
	}
}

// run lets time pass, while hosts exchange messages.
func (f *modelFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if len(f.copies) == 0 || time.Now().UnixMilli()%copyInterval.Milliseconds() < exchangeInterval.Milliseconds() {
			f.copies = append(f.copies, f.mem.Copy())
		}
		for i := range f.hosts {
			f.exchange(i)
		}
		f.check()
		time.Sleep(exchangeInterval)
	}
}

// exchange exchanges the messages of a host and its parent, as package mesh does.
func (f *modelFleet) exchange(i int) {
	h := f.hosts[i]
	hasParent := i > 0 && !f.cut[i]
	h.config.SetFirst(!hasParent)
	h.targets.SetFirst(!hasParent)
	if !hasParent {
		h.answer = nil
		return
	}
	parent, child, above := f.hosts[(i-1)/2], model.HostID(fmt.Sprint(i)), model.HostID(fmt.Sprint((i-1)/2))
	childLists, parentLists := []mesh.List{h.config, h.targets}, []mesh.List{parent.config, parent.targets}
	answer := make([]mesh.ListUpdate, len(childLists))
	for k := range childLists {
		own, other := childLists[k], parentLists[k]
		offered := h.answer != nil && (h.answer[k].Version == 0 || h.answer[k].Outdated)
		var up mesh.ListUpdate
		knownAbove := other.Version()
		if offered {
			up = own.Since(knownAbove, above)
		}
		if n, ok := own.(mesh.NumberedList); ok && other.(mesh.NumberedList).Newest() < n.Newest() {
			n.AddNewest(&up, knownAbove, above)
		}
		other.ApplyOffer(&up, knownAbove, parent.config.sinceBoot(), child)
		known := own.Version()
		down := other.Since(known, child)
		if n, ok := other.(mesh.NumberedList); ok && own.(mesh.NumberedList).Newest() < n.Newest() {
			n.AddNewest(&down, known, child)
		}
		answer[k] = down
		own.ApplyUpdate(&down, known, h.config.sinceBoot(), above)
	}
	h.answer = answer
}

// check checks what holds at all times on each host.
func (f *modelFleet) check() {
	for i, h := range f.hosts {
		if c := h.holder.Current(); c != nil {
			must.GreaterEq(f.t, h.highest, c.Version(), must.Sprintf("host %d went back", i))
			h.highest = c.Version()
		}
		for _, target := range h.targets.Set()["p"] {
			must.False(f.t, h.left[target.ID] && !target.Leaving, must.Sprintf("host %d uses %s, which left", i, target.ID))
			h.left[target.ID] = h.left[target.ID] || target.Leaving && f.left[target.ID]
		}
	}
}

// checkEnd checks that all hosts know what was acknowledged.
func (f *modelFleet) checkEnd() {
	var want []string
	for path, value := range f.written {
		if kind, name, _ := strings.Cut(path, "/"); kind == "servers" && value == string(entryOf(name, false).Value) {
			want = append(want, name)
		}
	}
	slices.Sort(want)
	for i, h := range f.hosts {
		test.Eq(f.t, model.ConfigVersion(f.config), h.holder.Current().Version(), test.Sprintf("host %d", i))
		got := strings.Fields(usable(h.targets))
		slices.Sort(got)
		test.EqOp(f.t, strings.Join(want, " "), strings.Join(got, " "), test.Sprintf("targets of host %d", i))
	}
}

func (f *modelFleet) stop() {
	for _, h := range f.hosts {
		h.cancel()
	}
	synctest.Wait()
}

// TestRestoredFleet guards against lost changes, targets that left, and configurations that go back.
func TestRestoredFleet(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newModelFleet(t, seed, 7)
				defer f.stop()
				f.run(2 * time.Second)
				for range 25 {
					host := f.random.IntN(len(f.hosts))
					switch f.random.IntN(9) {
					case 0, 1:
						f.changeConfig()
					case 2:
						f.startTarget()
					case 3, 4:
						f.changeTarget()
					case 5:
						f.hosts[host].link.SetUnavailable(f.random.IntN(2) == 0)
					case 6:
						f.cut[host] = !f.cut[host]
					case 7:
						f.hosts[host].cancel()
						f.start(host)
					default:
						f.restore()
					}
					f.run(time.Duration(f.random.IntN(2000)) * time.Millisecond)
				}
				for i, h := range f.hosts {
					h.link.SetUnavailable(false)
					f.cut[i] = false
				}
				f.run(holdDeparted + 3*time.Second)
				f.checkEnd()
			})
		})
	}
}

// TestRestoreReads guards against a return of the store at which all hosts read the lists.
func TestRestoreReads(t *testing.T) {
	for _, away := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const hosts = 60
			f := newModelFleet(t, 1, hosts)
			defer f.stop()
			f.run(3 * time.Second)
			copied := f.mem.Copy()
			f.changeConfig()
			f.run(time.Second)
			f.mem.SetUnavailable(true)
			f.run(away)
			f.lists = 0
			f.mem.Restore(copied)
			f.mem.SetUnavailable(false)
			f.run(2 * time.Second)
			t.Logf("%d lists read by %d hosts after %s", f.lists, hosts, away)
			test.Less(t, hosts/4, f.lists, test.Sprint(away))
		})
	}
}
