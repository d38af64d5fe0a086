package queue

import "time"

// pump looks for capacity and deadlines while requests wait. A freed slot is
// announced before the release of its request, so that an announcement may
// find nothing; the pump then waits for the next tick instead of trying again
// at once.
func (q *Queue) pump() {
	t := time.NewTicker(pumpPause)
	defer t.Stop()
	for {
		free := q.source.Free(q.pool)
		before, after := q.step()
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

// step dispatches once and returns the number of waiting requests before and
// after it. The pump must end if there are none.
func (q *Queue) step() (before, after int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.waiting
	q.dispatch(q.settings.clock())
	q.pumping = q.waiting > 0
	return before, q.waiting
}
