package queue

import "time"

// poll checks for free capacity and expired deadlines while requests wait. A slot
// may be announced as free before the request that used it is released. If an
// announcement leads to no change, poll therefore waits for the next tick instead
// of trying again at once.
func (q *Queue) poll() {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		free := q.source.SlotFreed(q.pool)
		before, after := q.dispatchOnce()
		if after == 0 {
			return
		}
		if before == after {
			free = nil
		}
		select {
		case <-free:
		case <-t.C:
		}
	}
}

// dispatchOnce dispatches once and returns the number of waiting requests before
// and after it. The poll loop must end if none are left.
func (q *Queue) dispatchOnce() (before, after int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.waiting
	q.dispatch(q.settings.clock())
	q.polling = q.waiting > 0
	return before, q.waiting
}
