package caller

import (
	"cmp"
	"slices"
	"time"

	"rhubarbdrift.example/budget"
)

const (
	// shedPart is the divisor of the part of the connections that are closed at once when
	// there are too many.
	shedPart = 32
	// searchPause is the time after a search for connections to close that found none
	// before the next one. A search looks at all connections.
	searchPause = 20 * time.Millisecond
	// headPatience is how long the header of a request may have been arriving before its
	// connection is closed in favour of another one.
	headPatience = time.Second
)

// idleState says whether a connection may be closed in favour of another one.
type idleState uint8

const (
	idle       idleState = iota // no request
	incomplete                  // the header of a request has been arriving for a while
	busy                        // must not be closed
)

// admit reserves the memory of a new connection and closes others if there are too many.
func (s *Server) admit(c *conn) bool {
	limit := s.limits.Connections
	// Requests that makeRoom ends keep their connections until they are answered.
	if limit > 0 && s.Open() >= limit && (!s.makeRoom() || s.Open() > limit+limit/8) {
		return false
	}
	return c.reserveBuffers(budget.ConnectionBytes) || s.makeRoom() && c.reserveBuffers(budget.ConnectionBytes)
}

// makeRoom closes the connections that have been idle for longest, or else those of which
// the header of a request has been arriving for longest, or else ends requests whose callers
// make no progress. It closes several, so that connections that arrive in large numbers
// don't make it search each time. It returns false if there were none.
func (s *Server) makeRoom() bool {
	type candidate struct {
		conn  *conn
		state idleState
		since time.Time
	}
	now := time.Now()
	if now.Sub(s.searched) < searchPause {
		return false
	}
	var list []candidate
	all := s.all()
	for _, c := range all {
		if state, since := c.idle(now); state != busy {
			list = append(list, candidate{c, state, since})
		}
	}
	count := max(1, len(all)/shedPart)
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.state, y.state), x.since.Compare(y.since))
	})
	closed := 0
	for _, x := range list[:min(count, len(list))] {
		if x.conn.closeUnlessBusy(now) {
			s.mu.Lock()
			delete(s.conns, x.conn)
			s.mu.Unlock()
			closed++
		}
	}
	s.metrics.shed.Inc(int64(closed))
	if closed > 0 || s.account.EvictSlow(now, count) > 0 {
		return true
	}
	s.searched = now
	return false
}

// reserveBuffers adds to the memory of the connection itself.
func (c *conn) reserveBuffers(n int64) bool {
	_, ok := c.buffers.Reserve(time.Now(), n)
	return ok
}

// releaseQueue releases the memory of responses that will not be written. The caller holds
// c.mu.
func (c *conn) releaseQueue() {
	for _, x := range c.queue {
		if x.done {
			x.release()
		}
	}
}

// idle reports whether the connection may be closed in favour of another one, and since when.
func (c *conn) idle(now time.Time) (idleState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleLocked(now)
}

// idleLocked is idle with c.mu held.
func (c *conn) idleLocked(now time.Time) (idleState, time.Time) {
	switch {
	case len(c.queue) > 0 || c.last || c.broken:
		return busy, time.Time{}
	case c.phase == waiting:
		return idle, c.idleUntil
	case c.phase == reading && now.Sub(c.readSince) >= headPatience:
		return incomplete, c.readSince
	default:
		return busy, time.Time{}
	}
}

// closeUnlessBusy closes the connection if it may still be closed in favour of another one.
func (c *conn) closeUnlessBusy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state, _ := c.idleLocked(now); state == busy {
		return false
	}
	c.breakOff()
	c.wake()
	_ = c.nc.Close()
	c.buffers.Release() // for the new connection, before the goroutine of this one has ended
	return true
}
