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
// all its lookups are safe for concurrent use and allocate nothing. Callers
// must not modify what its methods return.
type Snapshot struct {
	root      Root
	data      map[model.Digest][]byte
	parts     map[model.Digest]*part
	customers map[model.CustomerID]*model.Customer
	keys      map[model.Digest]keyOwner
	pools     map[model.PoolID]*model.Pool
	routes    map[routeKey]*model.Route
	urgent    map[model.PoolID]int // most urgent rank of the pool's routes
	longest   int                  // length of the longest route prefix in bytes
}

type keyOwner struct {
	customer *model.Customer
	key      model.KeyID
}

type routeKey struct{ host, prefix string }

// Option sets an optional property of Assemble and Load.
type Option func(*assembly)

type assembly struct{ base *Snapshot }

// WithBase reuses the chunks that an earlier snapshot already holds, so that
// only changed ones are fetched and decoded. A nil snapshot has no effect.
func WithBase(s *Snapshot) Option { return func(a *assembly) { a.base = s } }

// Assemble builds the snapshot that root describes. It calls get for each
// chunk that it needs, verifies the digests and checks the whole intent.
func Assemble(root Root, get func(model.Digest) ([]byte, error), options ...Option) (*Snapshot, error) {
	var a assembly
	for _, o := range options {
		o(&a)
	}
	if err := root.Check(); err != nil {
		return nil, err
	}
	s := &Snapshot{root: root, data: make(map[model.Digest][]byte), parts: make(map[model.Digest]*part)}
	for name, d := range root.Chunks {
		if err := s.add(name, d, get, a.base); err != nil {
			return nil, err
		}
	}
	if err := s.Intent().Check(); err != nil {
		return nil, err
	}
	s.index()
	return s, nil
}

// Of builds the snapshot of an intent that a platform keeps whole, without
// chunks. The caller has checked the intent.
func Of(version model.ConfigVersion, in *model.Intent) *Snapshot {
	p := &part{Customers: in.Customers, Routes: in.Routes, Pools: in.Pools}
	s := &Snapshot{root: Root{Version: version}, parts: map[model.Digest]*part{"": p}}
	s.index()
	return s
}

func (s *Snapshot) add(name string, d model.Digest, get func(model.Digest) ([]byte, error), base *Snapshot) error {
	if base != nil && base.parts[d] != nil {
		s.data[d], s.parts[d] = base.data[d], base.parts[d]
		return nil
	}
	data, err := get(d)
	if err != nil {
		return err
	}
	p, err := decodePart(name, d, data)
	if err != nil {
		return err
	}
	s.data[d], s.parts[d] = data, p
	return nil
}

func (s *Snapshot) index() {
	s.customers = make(map[model.CustomerID]*model.Customer)
	s.keys = make(map[model.Digest]keyOwner)
	s.pools = make(map[model.PoolID]*model.Pool)
	s.routes = make(map[routeKey]*model.Route)
	s.urgent = make(map[model.PoolID]int)
	for _, p := range s.parts {
		for i := range p.Customers {
			c := &p.Customers[i]
			s.customers[c.ID] = c
			for _, k := range c.Keys {
				s.keys[k.Digest] = keyOwner{customer: c, key: k.ID}
			}
		}
		for i := range p.Pools {
			s.pools[p.Pools[i].ID] = &p.Pools[i]
		}
		for i := range p.Routes {
			r := &p.Routes[i]
			s.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
			s.longest = max(s.longest, len(r.Prefix))
			s.rank(r.Pool, r.Rank)
			for _, part := range r.Split {
				s.rank(part.Pool, r.Rank)
			}
		}
	}
}

func (s *Snapshot) rank(id model.PoolID, rank int) {
	if before, ok := s.urgent[id]; !ok || rank < before {
		s.urgent[id] = rank
	}
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() model.ConfigVersion { return s.root.Version }

// Root returns the root that the snapshot was assembled from.
func (s *Snapshot) Root() Root { return s.root }

// Chunk returns the encoded chunk with the digest, to send it to another daemon.
func (s *Snapshot) Chunk(d model.Digest) ([]byte, bool) {
	data, ok := s.data[d]
	return data, ok
}

// Pools returns all pools in the order of their ids. The list is new; the pools
// are the snapshot's.
func (s *Snapshot) Pools() []*model.Pool {
	list := slices.Collect(maps.Values(s.pools))
	slices.SortFunc(list, func(a, b *model.Pool) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Intent returns the configuration as one intent, in the order of the ids. The
// lists are new; what the entries point to is shared with the snapshot.
func (s *Snapshot) Intent() *model.Intent {
	in := new(model.Intent)
	for _, p := range s.parts {
		in.Customers = append(in.Customers, p.Customers...)
		in.Routes = append(in.Routes, p.Routes...)
		in.Pools = append(in.Pools, p.Pools...)
	}
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

// Pool returns the pool with the id.
func (s *Snapshot) Pool(id model.PoolID) (*model.Pool, bool) {
	p, ok := s.pools[id]
	return p, ok
}

// Urgent returns the most urgent rank of the routes to a pool; 0 is the most
// urgent of all.
func (s *Snapshot) Urgent(id model.PoolID) int { return s.urgent[id] }

// Route returns the route for a host name (lower case, without port) and a
// path. Routes of exactly this host come before routes of any host; among
// them the longest prefix wins. A prefix matches whole path segments: /orders
// matches /orders and /orders/7 but not /orders2.
func (s *Snapshot) Route(host, path string) (*model.Route, bool) {
	if r, ok := s.longestRoute(host, path); ok || host == "" {
		return r, ok
	}
	return s.longestRoute("", path)
}

func (s *Snapshot) longestRoute(host, path string) (*model.Route, bool) {
	if r, ok := s.routes[routeKey{host, path}]; ok {
		return r, true
	}
	// No prefix is longer than s.longest, so a long path costs no more lookups.
	path = path[:min(len(path), s.longest+1)]
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

// errNoChunk is returned for a chunk that a source did not deliver.
func errNoChunk(d model.Digest) error {
	return fault.New(fault.Missing, "configuration chunk "+string(d)+" is not there", "fetch it from another source")
}
