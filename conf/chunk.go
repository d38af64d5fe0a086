package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// group is one kind of chunk.
type group string

const (
	groupCustomer group = "customer"
	groupRoute    group = "route"
	groupPool     group = "pool"
)

// counts holds the number of chunks of each group. A change of a number gives
// most entries another chunk, which is correct but rewrites everything once.
var counts = map[group]int{groupCustomer: 64, groupRoute: 8, groupPool: 8}

// part is the decoded form of one chunk. Exactly one of the lists is used.
// Parts are immutable and shared by all snapshots that name their digest.
type part struct {
	Customers []model.Customer `cbor:"1,keyasint,omitempty"`
	Routes    []model.Route    `cbor:"2,keyasint,omitempty"`
	Pools     []model.Pool     `cbor:"3,keyasint,omitempty"`
}

func groupOf(name string) (group, bool) {
	kind, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", false
	}
	n, err := strconv.Atoi(number)
	g := group(kind)
	return g, err == nil && n >= 0 && n < counts[g] && chunkName(g, n) == name
}

func chunkName(g group, n int) string { return string(g) + "/" + strconv.Itoa(n) }

func nameFor(g group, id string) string {
	return chunkName(g, int(xxhash.Sum64String(id)%uint64(counts[g])))
}

// Build splits the intent into chunks and returns the root that names them.
// The result depends only on the arguments: the order of entries within the
// intent does not matter, and empty chunks are left out.
//
// A chunk that exceeds the platform's limit is an error of kind fault.KindInvalid.
func Build(in *model.Intent, version model.ConfigVersion, audit model.Digest, change string) (Root, map[model.Digest][]byte, error) {
	if err := in.Check(); err != nil {
		return Root{}, nil, err
	}
	root := Root{Version: version, Chunks: make(map[string]model.Digest), Audit: audit, Change: change}
	chunks := make(map[model.Digest][]byte)
	for name, p := range split(in) {
		data, err := encodePart(name, p)
		if err != nil {
			return Root{}, nil, err
		}
		d := model.DigestOf(data)
		root.Chunks[name], chunks[d] = d, data
	}
	if err := root.Check(); err != nil {
		return Root{}, nil, err
	}
	return root, chunks, nil
}

func split(in *model.Intent) map[string]*part {
	parts := make(map[string]*part)
	at := func(g group, id string) *part {
		name := nameFor(g, id)
		if parts[name] == nil {
			parts[name] = new(part)
		}
		return parts[name]
	}
	for _, c := range in.Customers {
		p := at(groupCustomer, string(c.ID))
		p.Customers = append(p.Customers, c)
	}
	for _, r := range in.Routes {
		p := at(groupRoute, string(r.ID))
		p.Routes = append(p.Routes, r)
	}
	for _, l := range in.Pools {
		p := at(groupPool, string(l.ID))
		p.Pools = append(p.Pools, l)
	}
	for _, p := range parts {
		p.sort()
	}
	return parts
}

func (p *part) sort() {
	slices.SortFunc(p.Customers, func(a, b model.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(p.Routes, func(a, b model.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(p.Pools, func(a, b model.Pool) int { return cmp.Compare(a.ID, b.ID) })
}

func encodePart(name string, p *part) ([]byte, error) {
	data, err := encoder.Marshal(p)
	if err != nil {
		return nil, err
	}
	if len(data) > chunkLimit {
		return nil, fault.Invalid("chunk "+name, fmt.Sprintf("is %d bytes, above the limit of %d", len(data), chunkLimit),
			"shorten the lists of keys, customers or targets in this group")
	}
	return data, nil
}

// decodePart verifies that data is the chunk that the root names.
func decodePart(name string, want model.Digest, data []byte) (*part, error) {
	if got := model.DigestOf(data); got != want {
		return nil, fault.Invalid("chunk "+name, "its content has digest "+string(got)+" instead of "+string(want), "fetch it again from another source")
	}
	p := new(part)
	if err := decoder.Unmarshal(data, p); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "chunk "+name+" does not decode", "commit the configuration with this version of rhubarbdrift")
	}
	return p, nil
}
