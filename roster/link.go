package roster

import (
	"context"
	"slices"
	"sync"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/wire"
)

const (
	methodBeat   = "cell.beat"
	methodAsk    = "cell.ask"
	methodRoster = "cell.roster"
)

// Empty is the request of a method without parameters.
type Empty struct{}

// Link implements Transport over package wire.
type Link struct {
	pool    *wire.ClientPool
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	senders map[string]*sender
}

// sender is the stream of heartbeats to one address.
type sender struct {
	*wire.Sender[cell.Heartbeat]
	cancel context.CancelFunc
}

var _ Transport = (*Link)(nil)

// NewLink returns a transport over the pool's connections. Close stops it.
func NewLink(p *wire.ClientPool) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{pool: p, ctx: ctx, cancel: cancel, senders: make(map[string]*sender)}
}

// Close ends all streams of heartbeats and waits until they have ended. The pool
// stays open.
func (l *Link) Close() {
	l.cancel()
	l.running.Wait()
}

// Send queues a heartbeat on the stream to the address, which it starts on first
// use.
func (l *Link) Send(address string, b cell.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.senders[address]
	if s == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		s = &sender{Sender: wire.NewSender[cell.Heartbeat](l.pool.Client(address), methodBeat), cancel: cancel}
		l.senders[address] = s
		l.running.Go(func() { _ = s.Run(ctx) })
	}
	s.Send(&b)
}

// Reset closes the connection to an address, so that the next call opens a new one.
func (l *Link) Reset(address string) { l.pool.Client(address).Reset() }

// Retain ends the streams to all addresses except these and closes their connections.
func (l *Link) Retain(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, s := range l.senders {
		if !slices.Contains(addresses, a) {
			s.cancel()
			delete(l.senders, a)
			l.pool.Remove(a)
		}
	}
}

// Ask sends a question to a member and returns its answer.
func (l *Link) Ask(ctx context.Context, address string, q cell.Question) (cell.Answer, error) {
	a, err := wire.Call[cell.Question, cell.Answer](ctx, l.pool.Client(address), methodAsk, &q)
	if err != nil {
		return cell.Answer{}, err
	}
	return *a, nil
}

// Roster reads the roster that a daemon holds.
func (l *Link) Roster(ctx context.Context, address string) (cell.Roster, error) {
	r, err := wire.Call[Empty, cell.Roster](ctx, l.pool.Client(address), methodRoster, &Empty{})
	if err != nil {
		return cell.Roster{}, err
	}
	return *r, nil
}

// Register registers the service's methods on the server.
func Register(w *wire.Server, s *Service) {
	wire.Receive(w, methodBeat, func(_ context.Context, b *cell.Heartbeat) { s.Handle(*b) })
	wire.Handle(w, methodAsk, func(ctx context.Context, q *cell.Question) (*cell.Answer, error) {
		a := s.HandleQuestion(ctx, *q)
		return &a, nil
	})
	wire.Handle(w, methodRoster, func(context.Context, *Empty) (*cell.Roster, error) {
		r := s.HandleRosterRequest()
		return &r, nil
	})
}
