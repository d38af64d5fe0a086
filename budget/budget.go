package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what bytes are held for.
type Kind uint8

// The kinds of held bytes.
const (
	Buffers   Kind = iota // read and write buffers of connections
	Bodies                // request bodies
	Responses             // responses of targets
	kinds
)

var kindNames = [kinds]string{"buffers", "bodies", "responses"}

// String returns the name of the kind as used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

const (
	// SmallHolder is the size up to which a holder may use the part of the limit that
	// is kept for small ones.
	SmallHolder = 128 << 10
	// LargestRequest is the memory of one request of the largest legal size: a body of
	// 64 MiB, a response of 8 MiB, and the buffers of their sockets.
	LargestRequest = 73 << 20
	// accountShare is the part of the memory of the machine that may be held. The rest
	// is for the program, stacks and memory that the runtime has not collected yet.
	accountShare = 0.45
	// minAccount is the smallest limit of an account: LargestRequest and the part that
	// is kept for small holders.
	minAccount = 80 << 20
	// smallPart is the divisor of the part of the limit that is kept for small holders.
	smallPart = 16
	// responsePart is kept for responses: one of the largest size.
	responsePart = 8 << 20
	// shortShare is the part of the limit above which minimum rates apply.
	shortShare = 0.75
	// minRate is the minimum rate of callers, in bytes per second.
	minRate = 4 << 10
	// fullTime is the time in which a holder's bytes must be able to pass at its
	// minimum rate. A caller on a link of 10 Mbit/s reaches it with the largest body.
	fullTime = 60 * time.Second
	// stallTime is the time over which rates are measured. It covers a lost segment and
	// its repetition.
	stallTime = 2 * time.Second
	// pauseTime is the time between two ticks from which on the process counts as
	// paused. Ticks are TickInterval apart.
	pauseTime = time.Second
	// minDelay and maxDelay bound the time after which a refused caller is told to
	// return.
	minDelay = 100 * time.Millisecond
	maxDelay = 20 * time.Second
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 250 * time.Millisecond

// Limits bounds an account, in bytes.
type Limits struct {
	Total      int64 // all held bytes
	Caller     int64 // of one caller, while other callers hold bytes too
	Connection int64 // of one connection
}

// ForMemory returns the limits for a machine with a memory in bytes.
func ForMemory(memory int64) Limits {
	total := max(int64(accountShare*float64(memory)), minAccount)
	return Limits{Total: total, Caller: max(total/2, LargestRequest), Connection: LargestRequest}
}

// Reason says why a reservation was refused.
type Reason uint8

// The reasons of refusals.
const (
	NoMemory Reason = iota
	CallerLimit
	ConnectionLimit
	reasons
)

var reasonNames = [reasons]string{"memory", "caller", "connection"}

// String returns the name of the reason as used in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Account counts the bytes held by one process. It is safe for concurrent use. A nil
// *Account bounds nothing.
type Account struct {
	limits Limits

	mu       sync.Mutex
	held     [kinds]int64
	total    int64
	callers  map[string]*callerSum
	first    *Holder // list of the holders with reserved bytes
	lastTick time.Time
	resumed  time.Time // end of the last pause of the process
	freed    chan struct{}
	awaited  bool // Freed returned the present channel
	refusals [reasons]int64
	evicted  int64
}

// callerSum is what one caller holds, over its connections.
type callerSum struct {
	bytes  int64
	owners int
}

// New returns an empty account.
func New(l Limits) *Account {
	return &Account{limits: l, callers: make(map[string]*callerSum), freed: make(chan struct{})}
}

// Owner is one connection of a caller.
type Owner struct {
	account *Account
	name    string
	caller  *callerSum
	bytes   int64
}

// NewOwner returns an owner for a connection of a caller, which counts as a caller until
// Close. Without an account it returns nil.
func (a *Account) NewOwner(caller string) *Owner {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.callers[caller]
	if sum == nil {
		sum = new(callerSum)
		a.callers[caller] = sum
	}
	sum.owners++
	return &Owner{account: a, name: caller, caller: sum}
}

// Close ends the owner. Holders that still have bytes release them later.
func (o *Owner) Close() {
	if o == nil {
		return
	}
	a := o.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.caller.owners--; o.caller.owners == 0 {
		delete(a.callers, o.name)
	}
}

// Holder holds bytes for one purpose, such as the body of one request. Without an
// account all reservations succeed.
type Holder struct {
	owner  *Owner
	kind   Kind
	evict  func()
	behind func() bool // see SetBehind; may be nil

	moved    atomic.Int64 // bytes that the caller sent or took
	movedAt  atomic.Int64 // time of the last of them, in Unix nanoseconds
	isOut    atomic.Bool  // the holder was evicted
	expected atomic.Bool  // the caller has to send or to read

	// Guarded by the account's mutex.
	bytes     int64
	markBytes int64 // moved at the last measurement
	markAt    time.Time
	rate      float64 // of the last measurement, in bytes per second; 0: none
	slow      bool
	next      *Holder
	previous  *Holder
}

// NewHolder returns a holder without bytes. The owner may be nil. The function evict is
// called at most once, without locks held, when the holder is evicted; its bytes count as
// released from then on.
func NewHolder(o *Owner, k Kind, evict func()) *Holder {
	return &Holder{owner: o, kind: k, evict: evict}
}

// SetBehind sets what reports whether the caller gets these bytes only after others of the
// same connection. Such a holder leaves room for those, which would otherwise wait for memory
// that is released only after them. The function must not block. SetBehind is called before
// the first reservation.
func (h *Holder) SetBehind(behind func() bool) { h.behind = behind }

// Evicted reports whether the holder was evicted.
func (h *Holder) Evicted() bool { return h.isOut.Load() }

// Expect sets whether the caller has to send or to read now, so that minimum rates apply.
func (h *Holder) Expect(now time.Time, expected bool) {
	if h.owner == nil {
		return
	}
	a := h.owner.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.expected.Store(expected)
	h.movedAt.Store(now.UnixNano())
	h.mark(now)
}

// ExpectWrite sets whether a write to the caller is in progress. It is Expect for responses
// that are streamed from a target: it costs less, and does not begin a new measurement.
func (h *Holder) ExpectWrite(now time.Time, expected bool) {
	if h.owner == nil {
		return
	}
	h.movedAt.Store(now.UnixNano())
	h.expected.Store(expected)
}

// mark begins a measurement of the rate.
func (h *Holder) mark(now time.Time) {
	h.markAt, h.markBytes, h.rate, h.slow = now, h.moved.Load(), 0, false
}

// Progress records that the caller sent or took n bytes.
func (h *Holder) Progress(now time.Time, n int) {
	if n > 0 && h.owner != nil {
		h.moved.Add(int64(n))
		h.movedAt.Store(now.UnixNano())
	}
}

// Reserve adds n bytes. If they don't fit, holders below the minimum rate are evicted. If
// they don't fit then either, Reserve returns the time after which a new attempt may
// succeed. Reservations of an evicted holder fail.
func (h *Holder) Reserve(now time.Time, n int64) (retryAfter time.Duration, ok bool) {
	if h.owner == nil || n == 0 {
		return 0, true
	}
	if n < 0 { // a sum of sizes overflowed
		n = math.MaxInt64
	}
	a := h.owner.account
	n = min(n, a.limits.Connection+1) // refused as any larger number is, and sums don't overflow
	a.mu.Lock()
	out, wait, ok := a.reserve(now, h, n)
	a.mu.Unlock()
	for _, e := range out {
		e.evict()
	}
	return wait, ok
}

// CanHold reports whether n bytes take at most half of what the account has for holders of
// this kind, and not more than a connection may have.
func (h *Holder) CanHold(n int64) bool {
	if h.owner == nil {
		return true
	}
	a := h.owner.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return n <= a.limits.Connection && 2*n <= a.room(h, a.limits.Total)
}

// reserve is Reserve with a.mu held. It returns the evicted holders.
func (a *Account) reserve(now time.Time, h *Holder, n int64) (out []*Holder, wait time.Duration, ok bool) {
	if h.isOut.Load() {
		return nil, minDelay, false
	}
	o := h.owner
	if h.behind != nil && !a.fitsBehind(h, n) && h.behind() {
		return nil, minDelay, false
	}
	switch {
	case o.bytes+n > a.limits.Connection:
		a.refuse(h, ConnectionLimit)
		return nil, a.delay(now, func(x *Holder) bool { return x.owner == o }, o.bytes+n-a.limits.Connection), false
	case len(a.callers) > 1 && o.caller.bytes+n > a.limits.Caller:
		a.refuse(h, CallerLimit)
		return nil, a.delay(now, func(x *Holder) bool { return x.owner.caller == o.caller }, o.caller.bytes+n-a.limits.Caller), false
	}
	if short := int64(shortShare * float64(a.limits.Total)); a.total+n > short {
		out = a.evictSlow(now, h, a.total+n-short)
	}
	if over := a.total + n - a.room(h, n); over > 0 {
		a.refuse(h, NoMemory)
		return out, a.delay(now, func(*Holder) bool { return true }, over), false
	}
	a.add(h, n)
	return out, 0, true
}

// fitsBehind reports whether n more bytes of a holder leave room for one response of the
// largest size on its connection and, unless it is small, keep the account from being short.
func (a *Account) fitsBehind(h *Holder, n int64) bool {
	if h.owner.bytes+n > a.limits.Connection-responsePart {
		return false
	}
	return h.bytes+n <= SmallHolder || a.total+n <= int64(shortShare*float64(a.limits.Total))
}

// refuse counts a refusal. Responses are not refused: they wait for room.
func (a *Account) refuse(h *Holder, r Reason) {
	if h.kind != Responses {
		a.refusals[r]++
	}
}

// room returns the limit that applies to a holder that adds n bytes.
func (a *Account) room(h *Holder, n int64) int64 {
	small := a.limits.Total / smallPart
	switch {
	case h.bytes+n <= SmallHolder:
		return a.limits.Total
	case h.kind == Responses:
		return a.limits.Total - small
	default:
		return a.limits.Total - small - min(responsePart, small*2)
	}
}

// add adds bytes to a holder, which is listed while it has any.
func (a *Account) add(h *Holder, n int64) {
	if h.bytes == 0 && n > 0 {
		h.previous, h.next = nil, a.first
		if a.first != nil {
			a.first.previous = h
		}
		a.first = h
	}
	h.bytes += n
	h.owner.bytes += n
	h.owner.caller.bytes += n
	a.held[h.kind] += n
	a.total += n
}

// remove releases bytes of a holder and wakes those that wait for room.
func (a *Account) remove(h *Holder, n int64) {
	if n <= 0 {
		return
	}
	a.add(h, -n)
	if h.bytes == 0 {
		if h.previous != nil {
			h.previous.next = h.next
		} else {
			a.first = h.next
		}
		if h.next != nil {
			h.next.previous = h.previous
		}
		h.previous, h.next = nil, nil
	}
	if a.awaited {
		close(a.freed)
		a.freed, a.awaited = make(chan struct{}), false
	}
}

// Release releases all bytes of the holder. It may be called again.
func (h *Holder) Release() { h.ReleaseTo(0) }

// ReleaseTo releases the bytes of the holder above n.
func (h *Holder) ReleaseTo(n int64) {
	if h.owner == nil {
		return
	}
	a := h.owner.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(h, h.bytes-n)
}

// Freed returns a channel that is closed when bytes are released. It is to be obtained
// before the reservation whose failure leads to the wait. It returns nil without an account.
func (h *Holder) Freed() <-chan struct{} {
	if h.owner == nil {
		return nil
	}
	a := h.owner.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaited = true
	return a.freed
}

// Status is the state of an account.
type Status struct {
	Limit    int64
	Held     [kinds]int64 // by kind
	Total    int64
	Short    bool           // minimum rates apply
	Refusals [reasons]int64 // so far, by reason
	Evicted  int64          // holders so far
}

// Status returns the state of the account.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Limit: a.limits.Total, Held: a.held, Total: a.total, Short: float64(a.total) > shortShare*float64(a.limits.Total), Refusals: a.refusals, Evicted: a.evicted}
}
