package budget

import (
	"slices"
	"time"
)

// evictSlow evicts holders below their minimum rate, the largest first, until the bytes
// are free. It spares the holder that asks.
func (a *Account) evictSlow(now time.Time, spared *Holder, bytes int64) []*Holder {
	return a.evictUntil(now, spared, func(h *Holder) bool {
		bytes -= h.bytes
		return bytes <= 0
	})
}

// EvictSlow evicts up to n holders below their minimum rate, the largest first, because
// descriptors are short. It returns their number.
func (a *Account) EvictSlow(now time.Time, n int) int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	out := a.evictUntil(now, nil, func(*Holder) bool { n--; return n <= 0 })
	a.mu.Unlock()
	for _, h := range out {
		h.evict()
	}
	return len(out)
}

// evictUntil evicts slow holders, the largest first, until enough returns true for the
// last one.
func (a *Account) evictUntil(now time.Time, spared *Holder, enough func(*Holder) bool) []*Holder {
	if now.Sub(a.lastTick) > pauseTime && !a.lastTick.IsZero() {
		return nil // Tick has not noticed the end of a pause yet
	}
	var slow []*Holder
	for h := a.first; h != nil; h = h.next {
		if h != spared && h.evict != nil && a.isSlow(now, h) {
			slow = append(slow, h)
		}
	}
	slices.SortFunc(slow, func(x, y *Holder) int { return int(y.bytes - x.bytes) })
	for n, h := range slow {
		h.isOut.Store(true)
		done := enough(h)
		a.remove(h, h.bytes)
		a.evicted++
		if done {
			return slow[:n+1]
		}
	}
	return slow
}

// isSlow reports whether a caller that has to send or read is below its minimum rate.
func (a *Account) isSlow(now time.Time, h *Holder) bool {
	if !h.expected.Load() {
		return false
	}
	if a.resumed.After(h.markAt) {
		h.mark(a.resumed)
	}
	movedAt := time.Unix(0, h.movedAt.Load())
	if a.resumed.After(movedAt) {
		movedAt = a.resumed
	}
	if now.Sub(movedAt) >= stallTime {
		return true
	}
	if elapsed := now.Sub(h.markAt); elapsed >= stallTime {
		h.rate = float64(h.moved.Load()-h.markBytes) / elapsed.Seconds()
		h.slow = h.rate < max(minRate, float64(h.bytes)/fullTime.Seconds())
		h.markAt, h.markBytes = now, h.moved.Load()
	}
	return h.slow
}

// delay returns the time after which bytes are expected to be free again, of the holders
// that match. A caller without progress frees its bytes when it is evicted, one with
// progress when its bytes have passed at the minimum rate at the latest.
func (a *Account) delay(now time.Time, match func(*Holder) bool, bytes int64) time.Duration {
	type end struct {
		after time.Duration
		bytes int64
	}
	var ends []end
	for h := a.first; h != nil; h = h.next {
		if !match(h) {
			continue
		}
		after := maxDelay
		if h.expected.Load() {
			after = h.remaining(now)
		}
		ends = append(ends, end{after, h.bytes})
	}
	slices.SortFunc(ends, func(x, y end) int { return int(x.after - y.after) })
	for _, e := range ends {
		if bytes -= e.bytes; bytes <= 0 {
			return min(max(e.after, minDelay), maxDelay)
		}
	}
	return maxDelay
}

// remaining estimates the time until the caller has sent or taken all, at the rate so far,
// or until it can be evicted if it has stalled.
func (h *Holder) remaining(now time.Time) time.Duration {
	idle := now.Sub(time.Unix(0, h.movedAt.Load()))
	rate := h.rate
	if elapsed := now.Sub(h.markAt); rate == 0 && elapsed > 0 {
		rate = float64(h.moved.Load()-h.markBytes) / elapsed.Seconds()
	}
	if idle >= stallTime/2 || rate <= 0 {
		return max(stallTime-idle, 0)
	}
	left := max(float64(h.bytes-h.moved.Load()), 0)
	return time.Duration(min(left/rate, maxDelay.Seconds()) * float64(time.Second))
}

// Tick is called every TickInterval, so that a pause of the process is noticed: callers
// made no progress meanwhile through no fault of theirs.
func (a *Account) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lastTick.IsZero() && now.Sub(a.lastTick) > pauseTime {
		a.resumed = now
	}
	a.lastTick = now
}
