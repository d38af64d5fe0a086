package mesh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// wholeSize is the size in bytes up to which an update is sent as a whole.
	wholeSize = 8 << 10
	// startWindow is the size in bytes of the first piece from a parent. A hub with 10 Mbit/s
	// sends one to each of a dozen children in 40 ms. minWindow and maxWindow bound the others.
	startWindow = 4 << 10
	minWindow   = 1 << 10
	maxWindow   = 64 << 10
	// shortExchange and longExchange are the shares of the timeout of an exchange below which
	// the next piece is larger, and above which it is smaller.
	shortExchange = 1.0 / 8
	longExchange  = 1.0 / 4
	// maxPacked is the largest size in bytes of a packed update, and maxUnpacked that of its events.
	maxPacked   = 2 << 20
	maxUnpacked = 16 << 20
	// maxPacks and packLife bound the packed updates that are kept for other neighbours.
	maxPacks = 16
	packLife = 5 * time.Second
	// maxPartial bounds the updates of one list that are received at the same time.
	maxPartial = 4
)

// Digest is the xxHash of a packed update or of the content of a list.
type Digest uint64

// Piece is a part of a packed update. The next one continues where the receiver's Progress
// ends, also if another host sends it.
type Piece struct {
	Digest Digest `cbor:"1,keyasint"` // of the packed update
	Size   int    `cbor:"2,keyasint"` // bytes of the packed update
	Offset int    `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint"`
	// Base is the content of the receiver's list with which the update was compressed; 0: none.
	Base Digest `cbor:"5,keyasint,omitempty"`
}

// unfinished reports whether other pieces follow.
func (p *Piece) unfinished() bool { return p != nil && p.Offset+len(p.Data) < p.Size }

// adjustWindow returns the size of the next piece after an exchange that took a time.
func adjustWindow(window int, elapsed, timeout time.Duration) int {
	switch share := float64(elapsed) / float64(timeout); {
	case share < shortExchange:
		return min(2*window, maxWindow)
	case share > longExchange:
		return max(window/2, minWindow)
	default:
		return window
	}
}

// valid reports whether the piece can be part of an update.
func (p *Piece) valid() bool {
	return p.Size > 0 && p.Size <= maxPacked && p.Offset >= 0 && len(p.Data) > 0 && len(p.Data) <= p.Size-p.Offset
}

// Progress is what a host has received of the updates of one list.
type Progress struct {
	Base  Digest     `cbor:"1,keyasint,omitempty"` // of the content of its copy; 0: none
	Parts []Received `cbor:"2,keyasint,omitempty"`
}

// Received is how much of a packed update a host has.
type Received struct {
	Digest Digest `cbor:"1,keyasint"`
	Size   int    `cbor:"2,keyasint"` // bytes from its beginning
}

// size returns how much of a packed update has been received.
func (p *Progress) size(d Digest) int {
	for _, part := range p.Parts {
		if part.Digest == d {
			return part.Size
		}
	}
	return 0
}

// ContentList is a list whose updates are compressed with the content that the receiver has.
type ContentList interface {
	List
	// Content returns the content of the local copy. It must not be changed.
	Content() []byte
}

// ReceivingList is a list that learns when a piece of an update has arrived.
type ReceivingList interface {
	List
	Receiving()
}

// pack is a packed update.
type pack struct {
	key        uint64 // hash of what was packed
	known      store.Version
	version    store.Version
	complete   bool
	completeAt time.Duration // clock reading at which the list was known to be complete
	base       Digest
	digest     Digest
	data       []byte
	usedAt     time.Duration
}

// partial is a packed update that is being received.
type partial struct {
	digest Digest
	data   []byte
}

// transfer packs the updates of one list and puts together those of neighbours.
type transfer struct {
	mu       sync.Mutex
	packs    []*pack    // the one used last is at the end
	partials []*partial // the one that grew last is at the end
	contents contents
}

// progress returns what this host has received.
func (t *transfer) progress(list List) Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Progress{Base: t.noteContent(list)}
	for _, part := range t.partials {
		p.Parts = append(p.Parts, Received{part.digest, len(part.data)})
	}
	return p
}

// noteContent remembers the content of the local copy. The caller holds t.mu.
func (t *transfer) noteContent(list List) Digest {
	if c, ok := list.(ContentList); ok {
		return t.contents.add(c.Content())
	}
	return 0
}

// split returns the update as it is sent to a neighbour whose copy is complete up to version
// known: as it is, or as its next piece of at most window bytes.
func (t *transfer) split(list List, u ListUpdate, known store.Version, p *Progress, window int, now time.Duration) ListUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteContent(list)
	k := t.begun(max(u.Version, known), known, p)
	if k == nil && sizeOf(u.Events) > wholeSize {
		k = t.pack(&u, known, p.Base, now)
	}
	if k == nil {
		return u
	}
	t.packs = keepLast(t.packs, k, maxPacks)
	k.usedAt = now
	offset := min(p.size(k.digest), len(k.data)-1)
	out := ListUpdate{Version: k.version, Complete: k.complete, Age: u.Age, Outdated: u.Outdated || u.Version == 0}
	if k.version != u.Version {
		out.Age = max(u.Age, model.Millis((now-k.completeAt)/time.Millisecond)+1)
	}
	out.Piece = &Piece{Digest: k.digest, Size: len(k.data), Offset: offset, Base: k.base, Data: k.data[offset:min(offset+window, len(k.data))]}
	return out
}

// begun returns the packed update that the neighbour has the most of, or nil. The rest of it
// takes less time than a newer one. The caller holds t.mu.
func (t *transfer) begun(version, known store.Version, p *Progress) *pack {
	var best *pack
	for _, k := range t.packs {
		if size := p.size(k.digest); size > 0 && size < len(k.data) && k.known == known && k.version <= version && (best == nil || size > p.size(best.digest)) {
			best = k
		}
	}
	return best
}

// pack packs an update, unless a neighbour had the same, or returns nil. The caller holds t.mu.
func (t *transfer) pack(u *ListUpdate, known store.Version, base Digest, now time.Duration) *pack {
	t.packs = slices.DeleteFunc(t.packs, func(k *pack) bool { return now-k.usedAt > packLife })
	content := t.contents.get(base)
	if content == nil {
		base = 0
	}
	sortEvents(u.Events)
	key := hashUpdate(u, known, base)
	for _, k := range t.packs {
		if k.key == key {
			return k
		}
	}
	text, err := cbor.Marshal(u.Events)
	if err != nil || len(text) > maxUnpacked {
		return nil
	}
	data := compress(text, content)
	if len(data) == 0 || len(data) > maxPacked {
		return nil
	}
	return &pack{key: key, known: known, version: u.Version, complete: u.Complete, completeAt: now - u.Age.Duration(), base: base, digest: Digest(xxhash.Sum64(data)), data: data}
}

// receive adds a piece. With the last one it returns the events of the update.
func (t *transfer) receive(u *ListUpdate, known store.Version, at time.Duration) (events []store.Event, ok bool) {
	p := u.Piece
	if !p.valid() {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.partials, func(part *partial) bool { return part.digest == p.Digest })
	switch {
	case i >= 0 && p.Offset == len(t.partials[i].data):
		part := t.partials[i]
		part.data = append(part.data, p.Data...)
		t.partials = keepLast(t.partials, part, maxPartial)
	case i < 0 && p.Offset == 0:
		t.partials = keepLast(t.partials, &partial{digest: p.Digest, data: slices.Clone(p.Data)}, maxPartial)
	default:
		return nil, false // sent twice, or continues what this host has dropped
	}
	part := t.partials[len(t.partials)-1]
	if len(part.data) < p.Size {
		return nil, false
	}
	t.partials = t.partials[:len(t.partials)-1]
	if Digest(xxhash.Sum64(part.data)) != p.Digest {
		return nil, false
	}
	events, ok = t.unpack(part.data, p.Base)
	if !ok {
		return nil, false
	}
	whole := ListUpdate{Version: u.Version, Complete: u.Complete, Events: events}
	t.packs = keepLast(t.packs, &pack{key: hashUpdate(&whole, known, p.Base), known: known, version: u.Version, complete: u.Complete,
		completeAt: at - u.Age.Duration(), base: p.Base, digest: p.Digest, data: part.data, usedAt: at}, maxPacks)
	return events, true
}

// unpack returns the events of a packed update. The caller holds t.mu.
func (t *transfer) unpack(data []byte, base Digest) (events []store.Event, ok bool) {
	content := t.contents.get(base)
	if base != 0 && content == nil {
		return nil, false
	}
	text, err := decompress(data, content)
	if err != nil || cbor.Unmarshal(text, &events) != nil {
		return nil, false
	}
	return events, true
}

// keepLast moves an element to the end of a list, or adds it, and drops the first ones above
// a number.
func keepLast[T comparable](list []T, element T, most int) []T {
	if i := slices.Index(list, element); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, element)
	return slices.Delete(list, 0, max(0, len(list)-most))
}

// sizeOf returns about the size of events in bytes.
func sizeOf(events []store.Event) int {
	const overhead = 64
	size := 0
	for i := range events {
		size += overhead + len(events[i].Object.Name) + len(events[i].Object.Value)
	}
	return size
}

// sortEvents puts events into the same order on all hosts.
func sortEvents(events []store.Event) {
	slices.SortFunc(events, func(a, b store.Event) int {
		return cmp.Or(cmp.Compare(a.Object.Name, b.Object.Name), cmp.Compare(a.Object.Version, b.Object.Version))
	})
}

// hashUpdate returns a hash of an update, without its age, and of what it is based on.
func hashUpdate(u *ListUpdate, known store.Version, base Digest) uint64 {
	h := xxhash.New()
	number := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:]) // cannot fail
	}
	text := func(b []byte) {
		number(uint64(len(b)))
		_, _ = h.Write(b)
	}
	flag := func(b bool) {
		if b {
			number(1)
		} else {
			number(0)
		}
	}
	number(uint64(known))
	number(uint64(u.Version))
	number(uint64(base))
	flag(u.Complete)
	for i := range u.Events {
		e := &u.Events[i]
		number(uint64(e.Object.Version))
		flag(e.Deleted)
		text([]byte(e.Object.Name))
		text(e.Object.Value)
	}
	return h.Sum64()
}
