package conf

import (
	"sync"
	"sync/atomic"
)

// Holder has the snapshot that is in force on this daemon.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	next    int
	calls   map[int]func(*Snapshot)
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder { return &Holder{calls: make(map[int]func(*Snapshot))} }

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Install puts a snapshot in force if it is newer than the current one, and
// reports whether it did. It never replaces a version by a lower or equal one.
func (h *Holder) Install(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version() >= s.Version() {
		return false
	}
	h.current.Store(s)
	for _, call := range h.calls {
		call(s)
	}
	return true
}

// Subscribe has call invoked with each snapshot after it is in force, in the
// order of versions. The call must return quickly and must not use the
// holder's Install or Subscribe. The returned function ends the subscription.
func (h *Holder) Subscribe(call func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.next
	h.next++
	h.calls[id] = call
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.calls, id)
	}
}
