package conf

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// fakeStore implements the part of store.Store that the tests need, and loses writes
// of the root on request.
type fakeStore struct {
	store.Store
	mu          sync.Mutex
	objects     map[string]store.Object
	version     store.Version
	loseAnswers int // number of writes of the root whose answer is lost
	dropWrites  int // number of writes of the root that are lost before the platform
	writes      int
}

func newFake() *fakeStore { return &fakeStore{objects: make(map[string]store.Object)} }

func (f *fakeStore) Get(_ context.Context, kind store.Kind, name string) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.objects[string(kind)+"/"+name]
	if !ok {
		return o, store.ErrMissing(kind, name)
	}
	return o, nil
}

func (f *fakeStore) Put(_ context.Context, kind store.Kind, name string, value []byte, match store.Version) (store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == store.KindConf && f.dropWrites > 0 {
		f.dropWrites--
		return 0, store.ErrUnknown("dropped")
	}
	path := string(kind) + "/" + name
	if f.objects[path].Version != match {
		return 0, store.ErrConflict(kind, name)
	}
	if len(value) > store.MaxValue {
		return 0, fault.Invalid(path, "is too large", "split it")
	}
	f.version++
	f.writes++
	f.objects[path] = store.Object{Kind: kind, Name: name, Version: f.version, Value: value}
	if kind == store.KindConf && f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, store.ErrUnknown("lost")
	}
	return f.version, nil
}

// sample returns an intent with two pools, three routes and this many customers, each
// with two keys.
func sample(customers int) *model.Intent {
	in := &model.Intent{
		Pools: []model.Pool{{ID: "ledger", Floor: 0.5}, {ID: "archive"}},
		Routes: []model.Route{
			{ID: "any", Prefix: "/", Pool: "ledger"},
			{ID: "orders", Prefix: "/orders", Pool: "ledger"},
			{ID: "files", Host: "Files.Example", Prefix: "/orders/files/", Pool: "archive"},
		},
	}
	for i := range customers {
		id := fmt.Sprintf("customer-%05d", i)
		in.Customers = append(in.Customers, model.Customer{ID: model.CustomerID(id), Rate: 10, Burst: 20, Weight: 1,
			Keys: []model.Key{{ID: "a", Digest: model.DigestOf([]byte(id))}, {ID: "b", Digest: model.DigestOf([]byte(id + "b"))}}})
	}
	return in
}

// commit builds the intent as the version and commits it on base, the version of the
// root object. It returns the new one.
func commit(t *testing.T, s store.Store, base store.Version, version model.ConfigVersion, change string, in *model.Intent) (store.Version, error) {
	t.Helper()
	audit := []byte("record " + change)
	root, chunks, err := Build(in, version, model.DigestOf(audit), change)
	must.NoError(t, err)
	return Commit(t.Context(), s, base, root, chunks, audit)
}

// TestBuildLarge guards against objects above the platform's limit with 26,000
// customers, against chunks that depend on the order of the intent, and against a
// small change that rewrites many chunks.
func TestBuildLarge(t *testing.T) {
	in := sample(26_000)
	f := newFake()
	rootVersion, err := commit(t, f, 0, 1, "one", in)
	must.NoError(t, err)
	first, _, err := Load(t.Context(), f)
	must.NoError(t, err)
	must.Eq(t, 26_000, len(first.Intent().Customers))
	slices.Reverse(in.Customers)
	again, _, err := Build(in, 1, first.Root().Audit, "one")
	must.NoError(t, err)
	must.Eq(t, first.Root().Chunks, again.Chunks)

	in.Customers[7].Keys = in.Customers[7].Keys[:1]
	before := f.writes
	_, err = commit(t, f, rootVersion, 2, "two", in)
	must.NoError(t, err)
	must.EqOp(t, 3, f.writes-before, must.Sprint("one chunk, one audit record, one root"))
	second, _, err := Load(t.Context(), f, WithBase(first))
	must.NoError(t, err)
	_, _, ok := second.Key(model.DigestOf([]byte(string(in.Customers[7].ID) + "b")))
	must.False(t, ok, must.Sprint("the revoked key is gone"))
}

// TestAssembleDigest guards against a chunk that was altered in transit.
func TestAssembleDigest(t *testing.T) {
	root, chunks, err := Build(sample(3), 1, model.DigestOf(nil), "one")
	must.NoError(t, err)
	_, err = Assemble(root, func(d model.Digest) ([]byte, error) { return append(slices.Clone(chunks[d]), 0), nil })
	must.True(t, fault.Is(err, fault.KindInvalid))
}

// TestEvacuated guards against a target of an evacuated domain that is shown as in use, and
// against one that stays out of use when the domain is in service again, since the two
// versions share the pool's chunk.
func TestEvacuated(t *testing.T) {
	in := sample(1)
	in.Pools[0].Targets = []model.Target{{ID: "a", Address: "127.0.0.1:1", Domain: "north-a", Slots: 1}, {ID: "b", Address: "127.0.0.1:2", Domain: "north-b", Slots: 1}}
	var base *Snapshot
	for n, evacuated := range [][]model.Domain{nil, {"north-x", "north-a"}, nil} {
		in.Evacuated = evacuated
		root, chunks, err := Build(in, model.ConfigVersion(n+1), model.DigestOf(nil), "one")
		must.NoError(t, err)
		base, err = Assemble(root, func(d model.Digest) ([]byte, error) { return chunks[d], nil }, WithBase(base))
		must.NoError(t, err)
		p, ok := base.Pool("ledger")
		must.True(t, ok)
		must.Eq(t, evacuated != nil, p.Targets[0].Leaving)
		must.False(t, p.Targets[1].Leaving)
		configured := base.Intent()
		must.Len(t, len(evacuated), configured.Evacuated)
		must.False(t, configured.Pools[1].Targets[0].Leaving)
	}
}

// TestRoute guards against a prefix that matches within a path segment, a shorter
// prefix that wins, and allocations in the lookup, which runs for each request.
func TestRoute(t *testing.T) {
	root, chunks, err := Build(sample(1), 1, model.DigestOf(nil), "one")
	must.NoError(t, err)
	s, err := Assemble(root, func(d model.Digest) ([]byte, error) { return chunks[d], nil })
	must.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"x", "/", "any"}, {"x", "/orders", "orders"}, {"x", "/orders/7", "orders"}, {"x", "/orders2", "any"},
		{"files.example", "/orders/files/9/long/path", "files"}, {"files.example", "/orders/files", "orders"}, {"x", "*", ""},
	} {
		r, ok := s.Route(c.host, c.path)
		must.EqOp(t, c.want != "", ok)
		if ok {
			must.EqOp(t, model.RouteID(c.want), r.ID, must.Sprint(c.host, c.path))
		}
	}
	must.EqOp(t, 0, testing.AllocsPerRun(100, func() { s.Route("files.example", "/orders/a/b/c") }))
}

// TestHolderNeverReverts guards against an older version that arrives late and
// replaces a newer one.
func TestHolderNeverReverts(t *testing.T) {
	h := NewHolder()
	var seen []model.ConfigVersion
	h.Subscribe(func(s *Snapshot) { seen = append(seen, s.Version()) })
	for _, v := range []model.ConfigVersion{2, 1, 2, 3} {
		h.Install(&Snapshot{root: Root{Version: v}})
	}
	must.Eq(t, []model.ConfigVersion{2, 3}, seen)
}

// TestCommitLostAnswer guards against a change that is reported as failed although
// it took effect, also when another change followed, and against one that is
// reported as committed although it never reached the platform.
func TestCommitLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.loseAnswers, f.dropWrites = 1, 2
		rootVersion, err := commit(t, f, 0, 1, "one", sample(2))
		must.NoError(t, err)
		_, err = commit(t, f, rootVersion, 2, "two", sample(3))
		must.NoError(t, err)
		_, err = commit(t, f, 0, 1, "one", sample(2))
		must.NoError(t, err, must.Sprint("repeating a committed change is harmless"))
		f.dropWrites = 100
		_, err = commit(t, f, f.version, 3, "three", sample(4))
		must.True(t, fault.Is(err, fault.KindUnknown))
	})
}

// TestCommitRace guards against two concurrent commits on the same base that both
// succeed.
func TestCommitRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.loseAnswers = 1
		var group sync.WaitGroup
		results := make([]error, 2)
		for i := range results {
			group.Go(func() { _, results[i] = commit(t, f, 0, 1, fmt.Sprint("change ", i), sample(2+i)) })
		}
		group.Wait()
		s, _, err := Load(t.Context(), f)
		must.NoError(t, err)
		for i, err := range results {
			if s.Root().Change == fmt.Sprint("change ", i) {
				must.NoError(t, err)
			} else {
				must.True(t, fault.Is(err, fault.KindConflict))
			}
		}
	})
}

// TestUrgent tests Snapshot.MinRank, which returns the lowest, and so most urgent, rank
// of the routes to a pool. It guards against the rank of a route to another pool, and
// against ranks that ignore the parts of a split route.
func TestUrgent(t *testing.T) {
	s := NewSnapshot(1, &model.Intent{Routes: []model.Route{
		{ID: "a", Prefix: "/a/", Pool: "one", Rank: 2},
		{ID: "b", Prefix: "/b/", Pool: "two", Rank: 3},
		{ID: "c", Prefix: "/c/", Rank: 1, Split: []model.SplitDestination{{Pool: "one", Weight: 9}, {Pool: "three", Weight: 1}}},
	}})
	must.Eq(t, []int{1, 3, 1}, []int{s.MinRank("one"), s.MinRank("two"), s.MinRank("three")})
}
