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

// group is the kind of entry that a chunk holds.
type group string

const (
	groupCustomer group = "customer"
	groupRoute    group = "route"
	groupPool     group = "pool"
	groupDomain   group = "domain" // evacuated failure domains; the chunk is absent if there are none
)

// chunksPerGroup is the number of chunks of each group. If a number changes, most
// entries move to another chunk, which is correct but rewrites all chunks once.
var chunksPerGroup = map[group]int{groupCustomer: 64, groupRoute: 8, groupPool: 8, groupDomain: 1}

// decodedChunk is the decoded form of one chunk. Exactly one of the lists is used,
// except in the only chunk of a snapshot built by NewSnapshot. A decoded chunk is immutable
// and shared by all snapshots whose root lists its digest.
type decodedChunk struct {
	Customers []model.Customer `cbor:"1,keyasint,omitempty"`
	Routes    []model.Route    `cbor:"2,keyasint,omitempty"`
	Pools     []model.Pool     `cbor:"3,keyasint,omitempty"`
	Evacuated []model.Domain   `cbor:"4,keyasint,omitempty"`
}

// groupOf returns the group of a chunk name and whether the name is valid.
func groupOf(name string) (group, bool) {
	kind, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", false
	}
	n, err := strconv.Atoi(number)
	g := group(kind)
	return g, err == nil && n >= 0 && n < chunksPerGroup[g] && chunkName(g, n) == name
}

func chunkName(g group, n int) string { return string(g) + "/" + strconv.Itoa(n) }

// chunkNameFor returns the name of the chunk that holds the entry with the id.
func chunkNameFor(g group, id string) string {
	return chunkName(g, int(xxhash.Sum64String(id)%uint64(chunksPerGroup[g])))
}

// Build splits the intent into chunks and returns the root that lists them, and the
// encoded chunks by digest. The result is deterministic: the order of entries
// within the intent does not matter. Empty chunks are left out. The root records audit,
// the digest of the change's audit record, and change, the id of the change.
//
// A chunk larger than maxChunkBytes is an error of kind fault.KindInvalid.
func Build(in *model.Intent, version model.ConfigVersion, audit model.Digest, change string) (Root, map[model.Digest][]byte, error) {
	if err := in.Check(); err != nil {
		return Root{}, nil, err
	}
	root := Root{Version: version, Chunks: make(map[string]model.Digest), Audit: audit, Change: change}
	chunks := make(map[model.Digest][]byte)
	for name, ch := range split(in) {
		data, err := encodeChunk(name, ch)
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

// split distributes the entries of the intent over chunks, by chunk name, and sorts
// them.
func split(in *model.Intent) map[string]*decodedChunk {
	chunks := make(map[string]*decodedChunk)
	chunkFor := func(g group, id string) *decodedChunk {
		name := chunkNameFor(g, id)
		if chunks[name] == nil {
			chunks[name] = new(decodedChunk)
		}
		return chunks[name]
	}
	for _, c := range in.Customers {
		ch := chunkFor(groupCustomer, string(c.ID))
		ch.Customers = append(ch.Customers, c)
	}
	for _, r := range in.Routes {
		ch := chunkFor(groupRoute, string(r.ID))
		ch.Routes = append(ch.Routes, r)
	}
	for _, p := range in.Pools {
		ch := chunkFor(groupPool, string(p.ID))
		ch.Pools = append(ch.Pools, p)
	}
	for _, d := range in.Evacuated {
		ch := chunkFor(groupDomain, string(d))
		ch.Evacuated = append(ch.Evacuated, d)
	}
	for _, ch := range chunks {
		ch.sort()
	}
	return chunks
}

func (ch *decodedChunk) sort() {
	slices.SortFunc(ch.Customers, func(a, b model.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(ch.Routes, func(a, b model.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(ch.Pools, func(a, b model.Pool) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(ch.Evacuated)
}

// encodeChunk encodes a chunk. The name is used in the error for a chunk larger than
// maxChunkBytes.
func encodeChunk(name string, ch *decodedChunk) ([]byte, error) {
	data, err := encoder.Marshal(ch)
	if err != nil {
		return nil, err
	}
	if len(data) > maxChunkBytes {
		return nil, fault.Invalid("chunk "+name, fmt.Sprintf("is %d bytes, above the limit of %d", len(data), maxChunkBytes),
			"shorten the lists of keys, customers or targets in this group")
	}
	return data, nil
}

// decodeChunk decodes a chunk after it has verified that data has the digest want.
// Errors have kind fault.KindInvalid.
func decodeChunk(name string, want model.Digest, data []byte) (*decodedChunk, error) {
	if got := model.DigestOf(data); got != want {
		return nil, fault.Invalid("chunk "+name, "its content has digest "+string(got)+" instead of "+string(want), "fetch it again from another source")
	}
	ch := new(decodedChunk)
	if err := decoder.Unmarshal(data, ch); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "chunk "+name+" does not decode", "commit the configuration with this version of rhubarbdrift")
	}
	return ch, nil
}
