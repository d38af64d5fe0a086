package mesh

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

const (
	// method is the name of the exchange on the wire.
	method = "mesh"
	// interval is the time between two messages to the parent.
	interval = 100 * time.Millisecond
	// firstInterval is the time between looks for the list of hosts at the start.
	firstInterval = 20 * time.Millisecond
	// most is the number of messages a second that a host takes from its
	// children; beyond it the interval grows. At 0.2 ms each this is a tenth of
	// half a core.
	most = 400
	// patience bounds one exchange: a round trip between regions is 24 ms.
	patience = 500 * time.Millisecond
	// recovery is the time in which a new parent gets word from the store.
	recovery = 600 * time.Millisecond
	// retryAfter is the pause before a host that did not answer is tried again,
	// doubled up to retryMost.
	retryAfter = time.Second
	retryMost  = 8 * time.Second
	// probeEvery is how often the first host of a region looks for hosts that
	// ended.
	probeEvery = 500 * time.Millisecond
	// probeLimit bounds one look.
	probeLimit = 200 * time.Millisecond
)

// Message is one side of an exchange.
type Message struct {
	From model.HostID `cbor:"1,keyasint"`
	Sum  Sum          `cbor:"2,keyasint"`
	// Known is up to where a child knows the lists of the store.
	Known []store.Version `cbor:"3,keyasint,omitempty"`
	// Relays is what a parent knows beyond that.
	Relays []Relay `cbor:"4,keyasint,omitempty"`
}

// Serve registers the exchange with children.
func Serve(s *wire.Server, n *Node, l *Lists) {
	wire.Handle(s, method, func(_ context.Context, m *Message) (*Message, error) {
		n.Receive(m.From, &m.Sum)
		return &Message{From: n.self.ID, Sum: n.Take(m.From), Relays: l.since(m.Known)}, nil
	})
}

// Runner keeps the node's place in the tree.
type Runner struct {
	node  *Node
	lists *Lists
	pool  *wire.Pool
	hosts func() []Host
	log   zerolog.Logger

	mu     sync.Mutex
	down   map[model.HostID]outage
	parent model.HostID
	behind model.HostID // the parent that is out of date
	since  time.Time    // since when
}

type outage struct {
	until time.Time
	pause time.Duration
	stale bool // it answered, but had lost the store
}

// Option sets an optional property of a Runner.
type Option func(*Runner)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(r *Runner) { r.log = l } }

// NewRunner returns a runner. The function hosts returns the known daemons.
func NewRunner(n *Node, l *Lists, p *wire.Pool, hosts func() []Host, options ...Option) *Runner {
	r := &Runner{node: n, lists: l, pool: p, hosts: hosts, log: zerolog.Nop(), down: make(map[model.HostID]outage)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run exchanges messages with the parent until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	next := time.NewTimer(firstInterval)
	defer next.Stop()
	var probed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
		}
		hosts := r.hosts()
		r.exchange(ctx, Parents(r.node.self, hosts))
		if time.Since(probed) >= probeEvery {
			probed = time.Now()
			r.probe(ctx, hosts)
		}
		if r.parent == "" && len(hosts) == 0 {
			next.Reset(firstInterval)
			continue
		}
		next.Reset(max(interval, time.Duration(r.siblings(hosts))*time.Second/most))
	}
}

// exchange sends the message to the best parent that answers.
func (r *Runner) exchange(ctx context.Context, parents []Host) {
	for _, h := range parents {
		if r.isDown(h.ID) {
			continue
		}
		if r.call(ctx, h) {
			r.adopt(h.ID)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	r.adopt("")
}

func (r *Runner) call(ctx context.Context, h Host) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	out := r.node.Take(h.ID)
	known, sent := r.lists.known(), r.lists.Clock()
	answer, err := wire.Call[Message, Message](ctx, r.pool.Client(h.Address), method, &Message{From: r.node.self.ID, Sum: out, Known: known})
	if err != nil {
		// What the message held is lost: the host may have taken it.
		r.node.Drop(h.ID)
		r.fail(h.ID, err)
		return false
	}
	return r.accept(h.ID, answer, known, sent)
}

// accept takes a parent's answer, and reports whether the parent stays. What a
// parent reported that is left at once must not be passed on: its other
// children would pass on the same.
func (r *Runner) accept(id model.HostID, answer *Message, known []store.Version, sent time.Duration) bool {
	if r.outOfDate(id, answer) {
		r.node.Drop(id)
		r.fail(id, errOutOfDate)
		return false
	}
	r.node.Receive(id, &answer.Sum)
	r.lists.take(answer.Relays, known, sent)
	r.mu.Lock()
	delete(r.down, id)
	r.mu.Unlock()
	return true
}

// errOutOfDate is the reason for leaving a parent that lost the store.
var errOutOfDate = errors.New("the parent has no contact with the store, unlike this host")

// outOfDate reports whether a parent has been without word from the store for
// longer than it takes to get one, while this host has it. While the store is
// away for all, the tree stays as it is.
func (r *Runner) outOfDate(id model.HostID, answer *Message) bool {
	if !r.lists.better(answer.Relays) {
		r.behind, r.since = "", time.Time{}
		return false
	}
	r.mu.Lock()
	before := r.down[id].stale
	r.mu.Unlock()
	if before {
		return true // it has had its time to recover
	}
	if r.behind != id {
		r.behind, r.since = id, time.Now()
	}
	return time.Since(r.since) > recovery
}

// adopt notes the parent and ends the link to the one before.
func (r *Runner) adopt(id model.HostID) {
	if id == r.parent {
		return
	}
	if r.parent != "" {
		r.node.Drop(r.parent)
	}
	r.log.Info().Str("parent", string(id)).Str("before", string(r.parent)).Int("hosts", r.node.Hosts()).Msg("mesh parent changed")
	r.parent = id
}

func (r *Runner) isDown(id model.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.down[id].until)
}

func (r *Runner) fail(id model.HostID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.down[id]
	o.pause = min(max(2*o.pause, retryAfter), retryMost)
	o.until = time.Now().Add(o.pause)
	o.stale = errors.Is(err, errOutOfDate)
	r.down[id] = o
	r.log.Warn().Err(err).Str("peer", string(id)).Dur("pause", o.pause).Msg("mesh peer does not answer")
}

// probe counts the hosts of the region that run no daemon, if this host is the
// region's first: their ports refuse connections. They use nothing of any
// limit, unlike hosts that are only out of reach.
func (r *Runner) probe(ctx context.Context, hosts []Host) {
	if r.parent != "" && r.regionOf(hosts, r.parent) == r.node.self.Region {
		r.node.Ended(0)
		return
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for _, h := range hosts {
		if h.Region != r.node.self.Region || h.ID == r.node.self.ID || r.node.Linked(h.ID) {
			continue
		}
		wait.Go(func() {
			if refuses(ctx, h.Address) {
				mu.Lock()
				ended++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	r.node.Ended(ended)
}

// siblings returns the number of hosts of this host's region, of which all but
// one may have the same parent.
func (r *Runner) siblings(hosts []Host) int {
	n := 0
	for _, h := range hosts {
		if h.Region == r.node.self.Region {
			n++
		}
	}
	return n
}

func (r *Runner) regionOf(hosts []Host, id model.HostID) model.Region {
	for _, h := range hosts {
		if h.ID == id {
			return h.Region
		}
	}
	return ""
}

// refuses reports whether a connection is refused at once.
func refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
