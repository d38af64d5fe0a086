package limit

import (
	"slices"
	"time"

	"rhubarbdrift.example/model"
)

// State is the state of a customer's limit for the next request.
type State struct {
	Kind     string  `json:"kind"` // bucket, window or none
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Held     float64 `json:"held"`     // tokens in the bucket, or known admissions in the window
	Capacity float64 `json:"capacity"` // most tokens, or the admissions allowed in a window
	Admits   float64 `json:"admits"`   // probability with which a request is admitted
	// RetryAfterMs is about the delay that a refused request is given; 0 if Admits is 1.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Explain returns the state of a customer's limit. It changes nothing, and creates no account.
func (s *Set) Explain(now time.Time, c *model.Customer) State {
	if c.Rate <= 0 {
		return State{Kind: "none", Admits: 1}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := Limit{Rate: float64(c.Rate), Burst: float64(c.Burst)}
	var a account
	if known := s.customers[c.ID]; known != nil {
		a = cloneAccount(known.account)
		if known.limit != limit {
			a.Resize(now, limit)
		}
	} else {
		a = s.newAccount(now, limit)
	}
	return a.explain(now)
}

// CanRetry reports whether Retry would allow a retry, and counts nothing.
func (s *Set) CanRetry(id model.PoolID, keepShare float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := NewBudget(s.allowance)
	b.SetFleetShare(s.fleet.Share)
	if known := s.pools[id]; known != nil {
		*b = *known
	}
	return b.Retry(keepShare)
}

func cloneAccount(a account) account {
	switch a := a.(type) {
	case *Bucket:
		clone := *a
		return &clone
	case *Window:
		clone := *a
		clone.slots = slices.Clone(a.slots)
		return &clone
	}
	return a
}

func (b *Bucket) explain(now time.Time) State {
	c := *b
	c.advance(now)
	c.demand += 1 / demandTimeConstant.Seconds() // of the request itself, as in Admit
	held, throttled := c.bounds(now)
	s := State{Kind: "bucket", Rate: c.limit.Rate, Burst: c.limit.Burst, Held: c.tokens, Capacity: c.capacity(), Admits: clamp(min(held, throttled))}
	if s.Admits < 1 {
		s.RetryAfterMs = c.retryDelay().Milliseconds()
	}
	return s
}

func (w *Window) explain(now time.Time) State {
	c := *w
	c.slots = slices.Clone(w.slots)
	c.advance(now)
	p := c.probability()
	s := State{Kind: "window", Rate: c.limit.Rate, Burst: c.limit.Burst, Held: c.sum(c.tolerance.Window), Capacity: c.allowance(), Admits: p}
	if p < 1 {
		const meanChance = 0.5 // the delays are spread evenly
		s.RetryAfterMs = c.retryDelay(p, meanChance).Milliseconds()
	}
	return s
}

// ClonePacer returns a copy, whose use does not change the original.
func ClonePacer(p *Pacer) *Pacer {
	clone := *p
	return &clone
}

// Probability returns the probability with which Admit would admit a request, and changes
// nothing.
func (p *Pacer) Probability(now time.Time, urgent bool, possible float64) float64 {
	c := *p
	c.advance(now)
	if c.fleetShare <= 0 {
		return 0
	}
	return clamp(c.probability(urgent, possible))
}
