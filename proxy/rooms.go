package proxy

import (
	"sync"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
)

// rooms holds the memory of the responses of a call's exchanges, of which at most one is
// given to the caller.
type rooms struct {
	mu    sync.Mutex
	ended []*budget.Holder // of exchanges that ended before the call had its response
	given *budget.Holder   // of the call's response; nil: none yet, or not accounted
	over  bool             // the call has its response
}

// open returns the memory for the response of one exchange. A caller that reads the response
// too slowly while memory is short has its connection closed.
func (r *rooms) open(c *call) *budget.Holder {
	ctx := c.request.Context()
	h := budget.NewHolder(caller.Owner(ctx), budget.Responses, func() { caller.Abort(ctx) })
	h.SetBehind(func() bool { return caller.IsBehind(ctx) })
	return h
}

// end releases the memory of an exchange that ended, unless it may be that of the call's
// response.
func (r *rooms) end(h *budget.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.over:
		r.ended = append(r.ended, h)
	case h != r.given:
		h.Release()
	}
}

// keepOnly releases the memory of all responses but the one that the caller gets. That of an
// exchange in progress is released at its end, since its bytes are held until then.
func (r *rooms) keepOnly(resp *response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	if resp != nil {
		r.given = resp.memory
	}
	for _, h := range r.ended {
		if h != r.given {
			h.Release()
		}
	}
	r.ended = nil
}

// body returns the body of the target's response.
func (s *sendAttempt) body() budget.Segments {
	if s.room.Body.Len() > 0 {
		return s.room.Body
	}
	return budget.Of(s.targetResp.Body())
}
