package gate

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
)

const (
	// connectionBytes is what a connection holds without a request: fasthttp keeps its read
	// buffer of maxHeaderBytes, a write buffer, a request and a response.
	connectionBytes = maxHeaderBytes + budget.ConnectionBytes
	// headPatience is how long the header of a request may have been arriving before its
	// connection is closed in favour of another one.
	headPatience = time.Second
	// shedPart is the divisor of the part of the connections that are closed at once when
	// there are too many.
	shedPart = 32
	// searchPause is the time after a search for connections to close that found none
	// before the next one.
	searchPause = 20 * time.Millisecond
	// writeTimeout is the longest time for one write to a caller; half of it is the
	// shortest.
	writeTimeout = time.Minute
)

// connections are the open connections of callers.
type connections struct {
	account  *budget.Account
	limit    int
	searched time.Time // when a search found nothing; used by the accepting goroutine

	turns atomic.Int64 // how often connections became idle

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is a connection of a caller within the account for memory.
type callerConn struct {
	net.Conn
	conns   *connections
	owner   *budget.Owner
	buffers *budget.Holder
	once    sync.Once
	state   atomic.Int32                  // a connState
	idleAt  atomic.Int64                  // order in which connections became idle
	readAt  atomic.Int64                  // when makeRoom first saw the header arriving, in Unix nanoseconds; 0: not yet
	writes  atomic.Pointer[budget.Holder] // of the response that is being written; may be nil
	// deadlineSet is when the deadline of writes was set; used by the writing goroutine.
	deadlineSet time.Time
}

// connState says whether a connection may be closed in favour of another one.
type connState int32

const (
	connIdle    connState = iota // no request
	connReading                  // the header of a request is arriving
	connBusy                     // a request is being served
)

// Listener returns a listener that accepts connections of callers within the limits of
// WithAccount, or ln itself without that option.
func (g *Gate) Listener(ln net.Listener) net.Listener {
	if g.conns == nil {
		return ln
	}
	return &listener{Listener: ln, conns: g.conns}
}

// listener closes connections that are not admitted.
type listener struct {
	net.Listener
	conns *connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit returns the connection with its memory reserved, or nil. It closes others if there
// are too many.
func (s *connections) admit(nc net.Conn) *callerConn {
	// Requests that makeRoom ends keep their connections until they are answered.
	if s.count() >= s.limit && (!s.makeRoom() || s.count() > s.limit+s.limit/8) {
		return nil
	}
	address, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	c := &callerConn{Conn: nc, conns: s, owner: s.account.NewOwner(address)}
	c.buffers = budget.NewHolder(c.owner, budget.Buffers, nil)
	c.set(connIdle)
	reserve := func() bool { _, ok := c.buffers.Reserve(time.Now(), connectionBytes); return ok }
	if !reserve() && (!s.makeRoom() || !reserve()) {
		c.owner.Close()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// makeRoom closes the connections that have been idle for longest, or else those of which
// the header of a request has been arriving for longest, or else ends requests whose callers
// make no progress. It returns false if there were none.
func (s *connections) makeRoom() bool {
	now := time.Now()
	if now.Sub(s.searched) < searchPause {
		return false
	}
	s.mu.Lock()
	var list []*callerConn
	for c := range s.open {
		if c.mayClose(now) {
			list = append(list, c)
		}
	}
	count := max(1, len(s.open)/shedPart)
	s.mu.Unlock()
	slices.SortFunc(list, func(x, y *callerConn) int {
		return cmp.Or(cmp.Compare(x.state.Load(), y.state.Load()), cmp.Compare(x.readAt.Load(), y.readAt.Load()), cmp.Compare(x.idleAt.Load(), y.idleAt.Load()))
	})
	for _, c := range list[:min(count, len(list))] {
		_ = c.Close()
	}
	if len(list) > 0 || s.account.EvictSlow(now, count) > 0 {
		return true
	}
	s.searched = now
	return false
}

// connState is the server's hook for the states of connections.
func (*Gate) connState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.set(connReading)
	case fasthttp.StateIdle:
		c.writes.Store(nil)
		c.set(connIdle)
	}
}

// set sets the state. It reads no clock, since it is called three times for each request.
func (c *callerConn) set(s connState) {
	if s == connIdle {
		c.idleAt.Store(c.conns.turns.Add(1))
		c.readAt.Store(0)
	}
	c.state.Store(int32(s))
}

// mayClose reports whether the connection may be closed in favour of another one: it is
// idle, or has been seen with an incomplete header for headPatience.
func (c *callerConn) mayClose(now time.Time) bool {
	switch connState(c.state.Load()) {
	case connIdle:
		return true
	case connReading:
		c.readAt.CompareAndSwap(0, now.UnixNano())
		return now.UnixNano()-c.readAt.Load() >= int64(headPatience)
	default:
		return false
	}
}

// Write implements net.Conn. A caller that takes nothing for so long is given up.
func (c *callerConn) Write(p []byte) (int, error) {
	now := time.Now()
	if now.Sub(c.deadlineSet) >= writeTimeout/2 { // not for each write, since it costs a timer
		c.deadlineSet = now
		_ = c.SetWriteDeadline(now.Add(writeTimeout)) // fails only on a closed connection
	}
	h := c.writes.Load()
	if h == nil {
		return c.Conn.Write(p)
	}
	h.ExpectWrite(now, true)
	n, err := c.Conn.Write(p)
	now = time.Now()
	h.Progress(now, n)
	h.ExpectWrite(now, false) // between two writes, the target has to send
	return n, err
}

// Close implements net.Conn. It releases the memory of the connection.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		c.conns.mu.Lock()
		delete(c.conns.open, c)
		c.conns.mu.Unlock()
		c.buffers.Release()
		c.owner.Close()
	})
	return c.Conn.Close()
}
