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

// DefaultConnect is the time allowed for connecting to the target.
const DefaultConnect = 5 * time.Second

// Link is the state of one direction.
type Link struct {
	Cut    bool         `json:"cut,omitempty"`    // bytes are lost
	Freeze bool         `json:"freeze,omitempty"` // bytes are held back
	Delay  model.Millis `json:"delay,omitempty"`  // bytes arrive later
}

// Links is the state of both directions.
type Links struct {
	Up   Link `json:"up"`   // from the caller to the target
	Down Link `json:"down"` // from the target to the caller
}

// Check reports the first mistake.
func (l *Links) Check() error {
	if l.Up.Delay < 0 || l.Down.Delay < 0 {
		return fault.Invalid("delay", "must not be negative", "give a time in milliseconds")
	}
	return nil
}

// Option changes a setting of a Relay.
type Option func(*Relay)

// WithLinks sets the state at the start.
func WithLinks(l Links) Option { return func(r *Relay) { r.links = l } }

// WithConnect sets the time allowed for connecting to the target.
func WithConnect(d time.Duration) Option { return func(r *Relay) { r.connect = d } }

// Relay forwards connections to one target.
type Relay struct {
	target  string
	connect time.Duration

	mu      sync.Mutex
	links   Links
	changed chan struct{} // closed by Set
	ln      net.Listener
	conns   map[net.Conn]struct{}
	stopped bool
	halt    chan struct{} // closed when all connections are to end
	once    sync.Once
	running sync.WaitGroup

	up, down atomic.Int64 // relayed bytes
}

// New returns a relay to the target's IP address and port.
func New(target string, options ...Option) *Relay {
	r := &Relay{
		target:  target,
		connect: DefaultConnect,
		changed: make(chan struct{}),
		conns:   make(map[net.Conn]struct{}),
		halt:    make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Links returns the state of the link.
func (r *Relay) Links() Links {
	l, _ := r.state()
	return l
}

// Set replaces the state of the link, also for open connections.
func (r *Relay) Set(l Links) error {
	if err := l.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = l
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Stats counts what the relay does.
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

// Serve relays connections until Stop is called, and then returns nil.
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
			return fault.Wrap(fault.Unavailable, err, "the relay cannot accept connections", "raise the limit of open files")
		}
		if !r.begin() {
			_ = nc.Close()
			continue
		}
		go r.relay(nc)
	}
}

// Stop stops accepting and waits for the open connections to end. When ctx
// ends, it closes them.
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

// begin counts a connection unless the relay is stopping.
func (r *Relay) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.running.Add(1)
	return true
}

func (r *Relay) abort() {
	r.once.Do(func() { close(r.halt) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// state returns the links and a channel that is closed when they change.
func (r *Relay) state() (Links, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links, r.changed
}

func (r *Relay) relay(near net.Conn) {
	defer r.running.Done()
	defer func() { _ = near.Close() }()
	d := net.Dialer{Timeout: r.connect}
	far, err := d.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	r.track(near, far)
	defer r.forget(near, far)
	var both sync.WaitGroup
	both.Go(func() { r.pipe(far, near, func(l Links) Link { return l.Up }, &r.up) })
	both.Go(func() { r.pipe(near, far, func(l Links) Link { return l.Down }, &r.down) })
	both.Wait()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	select {
	case <-r.halt:
		for _, c := range conns {
			_ = c.Close()
		}
	default:
	}
}

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
