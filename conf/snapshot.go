package conf

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Snapshot is one complete version of the configuration. It is immutable, and
// all its methods are safe for concurrent use. Lookups of one entry allocate
// nothing. Callers must not modify what its methods return.
type Snapshot struct {
	root      Root
	encoded   map[model.Digest][]byte // chunks as stored on the platform
	decoded   map[model.Digest]*decodedChunk
	customers map[model.CustomerID]*model.Customer
	keys      map[model.Digest]keyOwner
	pools     map[model.PoolID]*model.Pool
	routes    map[routeKey]*model.Route
	minRanks  map[model.PoolID]int // most urgent (lowest) rank of the pool's routes
	maxPrefix int                  // length of the longest route prefix in bytes
}

// keyOwner identifies an API key and its customer.
type keyOwner struct {
	customer *model.Customer
	key      model.KeyID
}

// routeKey is the lower-case host, or "" for any host, and the prefix of a route.
type routeKey struct{ host, prefix string }

// Option sets an optional property of Assemble and Load.
type Option func(*assembly)

// assembly holds the options of Assemble.
type assembly struct{ base *Snapshot }

// WithBase reuses the chunks of an earlier snapshot, so that only changed ones are
// fetched and decoded. A nil snapshot has no effect.
func WithBase(s *Snapshot) Option { return func(a *assembly) { a.base = s } }

// Assemble builds the snapshot of a root. It calls get for each chunk that the base
// does not hold, verifies the digests and checks the whole intent. It returns the
// errors of get and of the checks.
func Assemble(root Root, get func(model.Digest) ([]byte, error), options ...Option) (*Snapshot, error) {
	var a assembly
	for _, o := range options {
		o(&a)
	}
	if err := root.Check(); err != nil {
		return nil, err
	}
	s := &Snapshot{root: root, encoded: make(map[model.Digest][]byte), decoded: make(map[model.Digest]*decodedChunk)}
	for name, d := range root.Chunks {
		if err := s.addChunk(name, d, get, a.base); err != nil {
			return nil, err
		}
	}
	if err := s.Intent().Check(); err != nil {
		return nil, err
	}
	s.index()
	return s, nil
}

// NewSnapshot builds a snapshot from an intent that is not stored in chunks. The caller must
// have checked the intent.
func NewSnapshot(version model.ConfigVersion, in *model.Intent) *Snapshot {
	ch := &decodedChunk{Customers: in.Customers, Routes: in.Routes, Pools: in.Pools, Evacuated: in.Evacuated}
	s := &Snapshot{root: Root{Version: version}, decoded: map[model.Digest]*decodedChunk{"": ch}}
	s.index()
	return s
}

// addChunk takes the chunk from the base or fetches and decodes it.
func (s *Snapshot) addChunk(name string, d model.Digest, get func(model.Digest) ([]byte, error), base *Snapshot) error {
	if base != nil && base.decoded[d] != nil {
		s.encoded[d], s.decoded[d] = base.encoded[d], base.decoded[d]
		return nil
	}
	encoded, err := get(d)
	if err != nil {
		return err
	}
	ch, err := decodeChunk(name, d, encoded)
	if err != nil {
		return err
	}
	s.encoded[d], s.decoded[d] = encoded, ch
	return nil
}

// index builds the lookup maps from the decoded chunks.
func (s *Snapshot) index() {
	customers := 0
	for _, ch := range s.decoded {
		customers += len(ch.Customers)
	}
	s.customers = make(map[model.CustomerID]*model.Customer, customers)
	s.keys = make(map[model.Digest]keyOwner, customers)
	s.pools = make(map[model.PoolID]*model.Pool)
	s.routes = make(map[routeKey]*model.Route)
	s.minRanks = make(map[model.PoolID]int)
	evacuated := s.evacuated()
	for _, ch := range s.decoded {
		for i := range ch.Customers {
			c := &ch.Customers[i]
			s.customers[c.ID] = c
			for _, k := range c.Keys {
				s.keys[k.Digest] = keyOwner{customer: c, key: k.ID}
			}
		}
		for i := range ch.Pools {
			s.pools[ch.Pools[i].ID] = withoutDomains(&ch.Pools[i], evacuated)
		}
		for i := range ch.Routes {
			r := &ch.Routes[i]
			s.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
			s.maxPrefix = max(s.maxPrefix, len(r.Prefix))
			s.rank(r.Pool, r.Rank)
			for _, part := range r.Split {
				s.rank(part.Pool, r.Rank)
			}
		}
	}
}

// evacuated returns the evacuated failure domains, sorted.
func (s *Snapshot) evacuated() []model.Domain {
	var list []model.Domain
	for _, ch := range s.decoded {
		list = append(list, ch.Evacuated...)
	}
	slices.Sort(list)
	return list
}

// withoutDomains returns the pool with the targets of the evacuated domains marked as
// leaving, or the pool itself if it has none. Chunks are shared by snapshots and stay as
// they are.
func withoutDomains(p *model.Pool, evacuated []model.Domain) *model.Pool {
	isEvacuated := func(t model.Target) bool { return slices.Contains(evacuated, t.Domain) }
	if !slices.ContainsFunc(p.Targets, isEvacuated) {
		return p
	}
	out := *p
	out.Targets = slices.Clone(p.Targets)
	for i := range out.Targets {
		out.Targets[i].Leaving = out.Targets[i].Leaving || isEvacuated(out.Targets[i])
	}
	return &out
}

// rank records the rank of a route to the pool if it is the lowest so far.
func (s *Snapshot) rank(id model.PoolID, rank int) {
	if lowest, ok := s.minRanks[id]; !ok || rank < lowest {
		s.minRanks[id] = rank
	}
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() model.ConfigVersion { return s.root.Version }

// Root returns the root that the snapshot was assembled from. For a snapshot built
// by NewSnapshot, only its version is set.
func (s *Snapshot) Root() Root { return s.root }

// Chunk returns the encoded chunk with the digest, for another daemon.
func (s *Snapshot) Chunk(d model.Digest) ([]byte, bool) {
	encoded, ok := s.encoded[d]
	return encoded, ok
}

// Pools returns all pools in the order of their ids. The list is a copy; the pools
// are shared with the snapshot. Targets of evacuated failure domains are marked as leaving.
func (s *Snapshot) Pools() []*model.Pool {
	list := slices.Collect(maps.Values(s.pools))
	slices.SortFunc(list, func(a, b *model.Pool) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Intent returns the configuration as one intent, in the order of the ids, with the targets
// as the operator configured them. The lists are copies; the data that the entries refer to
// is shared with the snapshot.
func (s *Snapshot) Intent() *model.Intent {
	in := new(model.Intent)
	for _, ch := range s.decoded {
		in.Customers = append(in.Customers, ch.Customers...)
		in.Routes = append(in.Routes, ch.Routes...)
		in.Pools = append(in.Pools, ch.Pools...)
	}
	in.Evacuated = s.evacuated()
	slices.SortFunc(in.Customers, func(a, b model.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(in.Routes, func(a, b model.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(in.Pools, func(a, b model.Pool) int { return cmp.Compare(a.ID, b.ID) })
	return in
}

// Customer returns the customer with the id.
func (s *Snapshot) Customer(id model.CustomerID) (*model.Customer, bool) {
	c, ok := s.customers[id]
	return c, ok
}

// Key returns the customer that owns the key with the digest, and the key's id.
func (s *Snapshot) Key(d model.Digest) (*model.Customer, model.KeyID, bool) {
	k, ok := s.keys[d]
	return k.customer, k.key, ok
}

// Pool returns the pool with the id, as Pools does.
func (s *Snapshot) Pool(id model.PoolID) (*model.Pool, bool) {
	p, ok := s.pools[id]
	return p, ok
}

// MinRank returns the most urgent (lowest) rank of the routes to a pool. 0 is the
// most urgent rank, and also the result for a pool without routes.
func (s *Snapshot) MinRank(id model.PoolID) int { return s.minRanks[id] }

// Route returns the route for a host name (lower case, without port) and a
// path. Routes for exactly this host take precedence over routes for any host; among
// them the longest prefix wins. A prefix matches whole path segments: /orders
// matches /orders and /orders/7 but not /orders2.
func (s *Snapshot) Route(host, path string) (*model.Route, bool) {
	if r, ok := s.longestRoute(host, path); ok || host == "" {
		return r, ok
	}
	return s.longestRoute("", path)
}

// longestRoute returns the route of exactly this host with the longest prefix of path.
func (s *Snapshot) longestRoute(host, path string) (*model.Route, bool) {
	if r, ok := s.routes[routeKey{host, path}]; ok {
		return r, true
	}
	// No prefix is longer than maxPrefix, so a long path costs no more lookups.
	path = path[:min(len(path), s.maxPrefix+1)]
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil, false
		}
		if r, ok := s.routes[routeKey{host, path[:i+1]}]; ok {
			return r, true
		}
		path = path[:i]
		if r, ok := s.routes[routeKey{host, path}]; ok {
			return r, true
		}
	}
}

// errNoChunk returns the error for a chunk that a root lists but that was not passed
// to Commit.
func errNoChunk(d model.Digest) error {
	return fault.New(fault.KindMissing, "configuration chunk "+string(d)+" is not there", "fetch it from another source")
}
