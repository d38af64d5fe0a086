package proxy

import (
	"slices"
	"sync"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
)

// rooms holds the memory of the responses of a call's exchanges, of which at most one is
// given to the caller.
type rooms struct {
	mu   sync.Mutex
	list []*budget.Holder
	over bool // the call has its response
}

// open returns the memory for the response of one exchange. A caller that reads the response
// too slowly while memory is short has its connection closed.
func (r *rooms) open(c *call) *budget.Holder {
	ctx := c.request.Context()
	h := budget.NewHolder(caller.Owner(ctx), budget.Responses, func() { caller.Abort(ctx) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, h)
	return h
}

// end releases the memory of an exchange that ended after the call had its response.
func (r *rooms) end(h *budget.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over && !slices.Contains(r.list, h) {
		h.Release()
	}
}

// keepOnly releases the memory of all responses but the one that the caller gets.
func (r *rooms) keepOnly(resp *response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for _, h := range r.list {
		if resp == nil || h != resp.memory {
			h.Release()
		}
	}
	r.list = nil
	if resp != nil && resp.memory != nil {
		r.list = append(r.list, resp.memory)
	}
}

// body returns the body of the target's response.
func (s *sendAttempt) body() budget.Segments {
	if s.room.Body.Len() > 0 {
		return s.room.Body
	}
	return budget.Of(s.targetResp.Body())
}
