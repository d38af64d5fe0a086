package conf

import (
	"sync"
	"sync/atomic"
)

// Holder holds the snapshot that is in force on this daemon. It is safe for
// concurrent use.
type Holder struct {
	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex
	nextID      int // key of the next subscriber
	subscribers map[int]func(*Snapshot)
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder { return &Holder{subscribers: make(map[int]func(*Snapshot))} }

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Install puts a snapshot in force if it is newer than the current one, and
// reports whether it did. It calls all subscribers before it returns.
func (h *Holder) Install(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version() >= s.Version() {
		return false
	}
	h.current.Store(s)
	for _, callback := range h.subscribers {
		callback(s)
	}
	return true
}

// Subscribe registers a callback that receives each snapshot after it is in force,
// in the order of versions. The callback must return quickly and must not call
// Install, Subscribe or cancel, which would deadlock. The returned function ends the
// subscription.
func (h *Holder) Subscribe(callback func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.nextID
	h.nextID++
	h.subscribers[id] = callback
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, id)
	}
}
