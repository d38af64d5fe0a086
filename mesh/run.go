package mesh

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

const (
	// method is the name of the message exchange on the wire.
	method = "mesh"
	// interval is the time between two messages to a parent in the same failure
	// domain, and headInterval that of a domain's head, whose parent is in another
	// domain and which forwards the reports of its whole domain.
	interval     = 80 * time.Millisecond
	headInterval = 40 * time.Millisecond
	// pieceInterval is the shortest time between two pieces of an update.
	pieceInterval = 5 * time.Millisecond
	// startInterval is the poll interval at start, until the list of hosts is
	// available.
	startInterval = 20 * time.Millisecond
	// regionTimeout bounds one exchange within a region, where a round trip takes
	// 3 ms, and crossRegionTimeout one between regions, where it takes 24 ms.
	regionTimeout      = 200 * time.Millisecond
	crossRegionTimeout = 500 * time.Millisecond
	// minBackoff is the time before a host that did not answer is tried again. It
	// doubles with each failure up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Message is the request or the answer of an exchange between a child and its
// parent.
type Message struct {
	From model.HostID `cbor:"1,keyasint"`
	Sum  Sum          `cbor:"2,keyasint"`
	// Versions holds the version up to which the sender's copy of each list of the
	// store is complete.
	Versions []store.Version `cbor:"3,keyasint,omitempty"`
	// Updates holds the sender's updates of the lists for the receiver.
	Updates []ListUpdate `cbor:"4,keyasint,omitempty"`
	// AnsweredAt is the reading of a parent's clock when it answered. The child
	// returns it in its next message, with EchoedVersions, the Versions of that answer.
	AnsweredAt     time.Duration   `cbor:"5,keyasint,omitempty"`
	EchoedVersions []store.Version `cbor:"6,keyasint,omitempty"`
	// Incarnation identifies the process of a parent that answers, and
	// EchoedIncarnation is that of the answer which the child returns. A reading of the
	// clock of an earlier process says nothing to a new one.
	Incarnation       uint64 `cbor:"7,keyasint,omitempty"`
	EchoedIncarnation uint64 `cbor:"8,keyasint,omitempty"`
	// Newest holds, for each list of the store whose content is numbered, the number of the
	// newest content that the sender has; see NumberedList.
	Newest []uint64 `cbor:"9,keyasint,omitempty"`
	// Progress holds, for each list, what the sender has received of its updates.
	Progress []Progress `cbor:"10,keyasint,omitempty"`
	// Window is the largest piece, in bytes, that a child accepts in the answer.
	Window int `cbor:"11,keyasint,omitempty"`
}

// maxHosts is above the number of hosts of any fleet.
const maxHosts = 1 << 20

// Check implements wire.Checker. What can be left out of a message alone is dropped when
// it is applied; see Sum.dropOdd and ListUpdate.usable.
func (m *Message) Check() error {
	if m.From == "" || len(m.From) > store.MaxName || m.Sum.Hosts < 0 || m.Sum.Hosts > maxHosts || m.Sum.New < 0 || m.Sum.New > maxHosts {
		return fault.Invalid("mesh message", fmt.Sprintf("it comes from %.40q, with %d hosts of which %d are new", m.From, m.Sum.Hosts, m.Sum.New), "run compatible versions of rhubarbdrift on all hosts")
	}
	if err := m.Sum.Reach.check(); err != nil {
		return fault.Wrap(fault.KindInvalid, err, "mesh message", "run compatible versions of rhubarbdrift on all hosts")
	}
	m.Sum.dropOdd()
	return nil
}

// largeMessage is the number of entries from which a message counts as large. Hosts with
// slow links may have a dozen children, and all of them catch up at the same time.
const largeMessage = 16

// Large implements wire.Sizer.
func (m *Message) Large() bool {
	entries := 0
	for i := range m.Updates {
		entries += len(m.Updates[i].Events)
	}
	return entries >= largeMessage
}

// RegisterHandler registers the handler for messages from children.
func RegisterHandler(s *wire.Server, n *Node, l *RelayedLists) {
	wire.Handle(s, method, func(_ context.Context, m *Message) (*Message, error) { return n.answer(l, m), nil })
}

// answer processes a message from a child and returns the answer to it.
func (n *Node) answer(l *RelayedLists, m *Message) *Message {
	sum := m.Sum
	sum.Reach = sum.Reach.confirmed()
	n.Receive(m.From, &sum)
	l.noteNewest(m.Newest)
	if m.EchoedIncarnation == n.incarnation {
		l.applyOffers(m.Updates, m.EchoedVersions, m.AnsweredAt, m.From)
	}
	return &Message{
		From: n.self.ID, Sum: n.TakePending(m.From), Versions: l.known(), Updates: l.since(m), Newest: l.newest(),
		AnsweredAt: l.Clock(), Incarnation: n.incarnation, Progress: l.progress(),
	}
}

// transport sends a message to a host and returns its answer.
type transport func(ctx context.Context, to Host, m *Message) (*Message, error)

// Runner selects the node's parent and exchanges messages with it.
type Runner struct {
	node  *Node
	lists *RelayedLists
	send  transport
	hosts func() []Host
	log   zerolog.Logger

	parentsFrom []Host                // the list of hosts that parents was computed from
	silent      map[model.HostID]bool // those of them that were left out
	parents     []Host                // possible parents, the best first

	parent  Host          // zero: none
	more    bool          // pieces of an update follow those of the last exchange
	window  int           // bytes of the largest piece that is accepted next
	elapsed time.Duration // that the last exchange took
	answer  *Message      // last answer to an exchange, usually the parent's

	mu       sync.Mutex
	backoffs map[model.HostID]backoff
}

// backoff is the state of a host that did not answer.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Option sets an optional property of a Runner.
type Option func(*Runner)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(r *Runner) { r.log = l } }

// NewRunner returns a runner. The function hosts returns the known daemons, or
// none before their list was read; it is called before every message.
func NewRunner(n *Node, l *RelayedLists, p *wire.ClientPool, hosts func() []Host, options ...Option) *Runner {
	r := &Runner{node: n, lists: l, hosts: hosts, window: startWindow, log: zerolog.Nop(), backoffs: make(map[model.HostID]backoff)}
	r.send = func(ctx context.Context, to Host, m *Message) (*Message, error) {
		return wire.Call[Message, Message](ctx, p.Client(to.Address), method, m)
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run exchanges messages with the parent until ctx ends. The error is always nil.
func (r *Runner) Run(ctx context.Context) error {
	next := time.NewTimer(startInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
		}
		hosts := r.hosts()
		r.exchange(ctx, hosts)
		r.lists.setFirst(len(hosts) > 0 && r.parent.ID == "")
		next.Reset(r.nextInterval(hosts))
	}
}

// nextInterval returns the time until the next message. A parent that answers slowly has more
// to do than it can, so it gets fewer messages.
func (r *Runner) nextInterval(hosts []Host) time.Duration {
	switch {
	case r.more:
		return max(pieceInterval, r.elapsed/4)
	case len(hosts) == 0:
		return startInterval
	case domainOf(r.parent) != domainOf(r.node.self):
		return max(headInterval, r.elapsed)
	default:
		return max(interval, r.elapsed)
	}
}

// candidates returns the possible parents. They are computed again whenever hosts is
// another slice than before, or other hosts do not answer: hubs that are lost are replaced
// by the next hosts, since those that are left could not process the messages of all children.
func (r *Runner) candidates(hosts []Host) []Host {
	silent := r.silentHosts()
	if len(hosts) == 0 || len(r.parentsFrom) != len(hosts) || &r.parentsFrom[0] != &hosts[0] || !maps.Equal(silent, r.silent) {
		answering := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return silent[h.ID] })
		r.parentsFrom, r.silent, r.parents = hosts, silent, ParentCandidates(r.node.self, answering)
		r.lists.setRank(rankOf(r.node.self, answering))
	}
	return r.parents
}

// silentHosts returns the hosts that are not to be tried yet.
func (r *Runner) silentHosts() map[model.HostID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := make(map[model.HostID]bool)
	for id, b := range r.backoffs {
		if time.Now().Before(b.until) {
			silent[id] = true
		}
	}
	return silent
}

// exchange sends a message to the best parent that answers and makes it the
// parent. Without an answer there is none. A host that does not answer is no candidate
// for a time, so each is tried once. While the parent answers, it gets a message after each
// other host that does not: it would take this one for lost if many were tried before.
func (r *Runner) exchange(ctx context.Context, hosts []Host) {
	for failed := false; ctx.Err() == nil; failed = true {
		parents := r.candidates(hosts)
		if len(parents) == 0 {
			r.setParent(Host{})
			return
		}
		next := parents[0]
		if (r.more || failed) && slices.Contains(parents, r.parent) {
			next = r.parent // a better one is tried later, and not before the update is whole
		}
		if r.exchangeWith(ctx, next) {
			r.setParent(next)
			return
		}
	}
}

// exchangeWith exchanges one message with a host and reports whether it answered.
func (r *Runner) exchangeWith(ctx context.Context, h Host) bool {
	timeout := regionTimeout
	if h.Region != r.node.self.Region {
		timeout = crossRegionTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.more = false
	known, sent := r.lists.known(), r.lists.Clock()
	out := &Message{From: r.node.self.ID, Sum: r.node.TakePending(h.ID), Versions: known, Newest: r.lists.newest(), Progress: r.lists.progress(), Window: r.window}
	if r.answer != nil && r.answer.From == h.ID {
		out.Updates, out.EchoedVersions, out.AnsweredAt = r.lists.offer(r.answer, r.window), r.answer.Versions, r.answer.AnsweredAt
		out.EchoedIncarnation = r.answer.Incarnation
	}
	answer, err := r.send(ctx, h, out)
	if err != nil {
		// The message is not sent again, because the host may have processed it.
		r.node.RemoveLink(h.ID)
		r.recordFailure(h.ID, err)
		r.window = startWindow
		return false
	}
	r.more = hasMore(out.Updates) || hasMore(answer.Updates)
	r.elapsed = r.lists.Clock() - sent
	if r.more {
		r.window = adjustWindow(r.window, r.elapsed, timeout)
	}
	r.handleAnswer(h.ID, answer, known, sent)
	return true
}

// hasMore reports whether pieces of one of the updates follow.
func hasMore(updates []ListUpdate) bool {
	return slices.ContainsFunc(updates, func(u ListUpdate) bool { return u.Piece.unfinished() })
}

// handleAnswer processes a parent's answer to a message that was sent at the
// clock reading sent and held the known versions.
func (r *Runner) handleAnswer(id model.HostID, answer *Message, known []store.Version, sent time.Duration) {
	r.node.Receive(id, &answer.Sum)
	r.lists.noteNewest(answer.Newest)
	r.lists.apply(answer.Updates, known, sent, id)
	r.answer = answer
	r.mu.Lock()
	delete(r.backoffs, id)
	r.mu.Unlock()
}

// setParent stores the parent and removes the link to the previous one.
func (r *Runner) setParent(h Host) {
	if h.ID == r.parent.ID {
		return
	}
	if r.parent.ID != "" {
		r.node.RemoveLink(r.parent.ID)
	}
	r.log.Info().Str("parent", string(h.ID)).Str("before", string(r.parent.ID)).Int("hosts", r.node.CountHosts()).Msg("mesh parent changed")
	r.parent = h
}

// inBackoff reports whether the host is not to be tried yet.
func (r *Runner) inBackoff(id model.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.backoffs[id].until)
}

// recordFailure starts or extends the backoff of a host that did not answer.
func (r *Runner) recordFailure(id model.HostID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backoffs[id]
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	b.until = time.Now().Add(b.delay)
	r.backoffs[id] = b
	r.log.Warn().Err(err).Str("peer", string(id)).Dur("pause", b.delay).Msg("mesh peer does not answer")
}
