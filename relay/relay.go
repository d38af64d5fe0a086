package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// DefaultConnectTimeout is the default time limit for connecting to the target.
const DefaultConnectTimeout = 5 * time.Second

// Direction is the state of one direction.
type Direction struct {
	Cut    bool         `json:"cut,omitempty"`    // data is discarded
	Freeze bool         `json:"freeze,omitempty"` // data is buffered until the freeze ends
	Delay  model.Millis `json:"delay,omitempty"`  // data is delivered this much later
}

// LinkState is the state of both directions.
type LinkState struct {
	Up   Direction `json:"up"`   // from the caller to the target
	Down Direction `json:"down"` // from the target to the caller
}

// Check returns an error of kind fault.KindInvalid if a delay is negative.
func (l *LinkState) Check() error {
	if l.Up.Delay < 0 || l.Down.Delay < 0 {
		return fault.Invalid("delay", "must not be negative", "give a time in milliseconds")
	}
	return nil
}

// Option changes a setting of a Relay.
type Option func(*Relay)

// WithState sets the initial state of the link, which is not checked.
func WithState(l LinkState) Option { return func(r *Relay) { r.linkState = l } }

// WithConnectTimeout sets the time limit for connecting to the target. The default is
// DefaultConnectTimeout.
func WithConnectTimeout(d time.Duration) Option { return func(r *Relay) { r.connectTimeout = d } }

// Relay forwards TCP connections to one target. Its methods are safe for
// concurrent use.
type Relay struct {
	target         string
	connectTimeout time.Duration

	mu        sync.Mutex
	linkState LinkState
	changed   chan struct{} // closed and replaced by SetState
	ln        net.Listener
	conns     map[net.Conn]struct{} // both connections of each relayed pair: the caller's and the target's
	stopped   bool
	aborted   chan struct{} // closed by abort
	abortOnce sync.Once
	running   sync.WaitGroup

	up, down atomic.Int64 // delivered bytes
}

// New returns a relay to target, an IP address and port. Serve starts it.
func New(target string, options ...Option) *Relay {
	r := &Relay{
		target:         target,
		connectTimeout: DefaultConnectTimeout,
		changed:        make(chan struct{}),
		conns:          make(map[net.Conn]struct{}),
		aborted:        make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Links returns the state of the link.
func (r *Relay) Links() LinkState {
	l, _ := r.state()
	return l
}

// SetState replaces the state of the link, also for open connections. An invalid state
// is an error of kind fault.KindInvalid and changes nothing.
func (r *Relay) SetState(l LinkState) error {
	if err := l.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkState = l
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Stats holds the relay's counts.
type Stats struct {
	Connections int   `json:"connections"` // open connections of callers
	Up          int64 `json:"up"`          // bytes delivered to the target
	Down        int64 `json:"down"`        // bytes delivered to callers
}

// Stats returns the current counts.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Connections: len(r.conns) / 2, Up: r.up.Load(), Down: r.down.Load()}
}

// Serve relays connections until Stop is called, and then returns nil. It returns
// an error of kind fault.KindUnavailable if it cannot accept connections.
func (r *Relay) Serve(ln net.Listener) error {
	r.mu.Lock()
	r.ln = ln
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fault.Wrap(fault.KindUnavailable, err, "the relay cannot accept connections", "raise the limit of open files")
		}
		if !r.admit() {
			_ = nc.Close()
			continue
		}
		go r.forward(nc)
	}
}

// Stop closes the listener and waits for the open connections to end. When ctx
// ends, it closes them. That is no error: Stop returns only the error of closing the
// listener.
func (r *Relay) Stop(ctx context.Context) error {
	r.mu.Lock()
	r.stopped = true
	ln := r.ln
	r.mu.Unlock()
	var err error
	if ln != nil {
		err = ln.Close()
	}
	done := make(chan struct{})
	go func() {
		r.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		r.abort()
		<-done
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// admit counts a new connection as running and returns true. It returns false if
// the relay is stopping.
func (r *Relay) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.running.Add(1)
	return true
}

// abort closes all open connections and ends waiting deliveries.
func (r *Relay) abort() {
	r.abortOnce.Do(func() { close(r.aborted) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// state returns the state of the link and a channel that is closed when it changes.
func (r *Relay) state() (LinkState, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.linkState, r.changed
}

// forward connects to the target and relays both directions until they end. It
// closes the caller's connection if the target cannot be reached.
func (r *Relay) forward(callerConn net.Conn) {
	defer r.running.Done()
	defer func() { _ = callerConn.Close() }()
	d := net.Dialer{Timeout: r.connectTimeout}
	targetConn, err := d.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = targetConn.Close() }()
	r.track(callerConn, targetConn)
	defer r.untrack(callerConn, targetConn)
	var pipes sync.WaitGroup
	pipes.Go(func() { r.pipe(targetConn, callerConn, func(l LinkState) Direction { return l.Up }, &r.up) })
	pipes.Go(func() { r.pipe(callerConn, targetConn, func(l LinkState) Direction { return l.Down }, &r.down) })
	pipes.Wait()
}

// track adds connections to those that abort closes, or closes them if abort was
// called before.
func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	select {
	case <-r.aborted:
		for _, c := range conns {
			_ = c.Close()
		}
	default:
	}
}

// untrack removes connections from those that abort closes.
func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
