package roster

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// callTimeout bounds one call to the platform or to a peer.
	callTimeout = time.Second
	// pollTimeout bounds a vote. A vote lets a lease holder continue without the
	// platform for one period from the start of that vote. The holder starts the next
	// vote when the previous one ends and needs the result before that period is
	// over, so two votes must fit in one period.
	pollTimeout = cell.Period * 45 / 100
	// probeTimeout bounds the platform call that a member makes before it answers
	// in a vote. The answer must arrive within pollTimeout even if the platform
	// accepts the call and never answers.
	probeTimeout = cell.Period / 4
	// hostListPeriods is the number of periods between two reads of the host list,
	// which lags by several seconds anyway.
	hostListPeriods = 5
)

// Transport sends messages to other daemons by address.
type Transport interface {
	// Send sends a heartbeat without blocking. It may be lost.
	Send(address string, b cell.Heartbeat)
	// Reset closes the connection to an address, because it no longer delivers.
	Reset(address string)
	// Retain releases the resources of all addresses except these.
	Retain(addresses []string)
	// Ask sends a question to a member and returns its answer.
	Ask(ctx context.Context, address string, q cell.Question) (cell.Answer, error)
	// Roster reads the roster that a daemon holds.
	Roster(ctx context.Context, address string) (cell.Roster, error)
}

// Reader reads the version of the newest root from the platform. It returns 0 if
// there is no root yet.
type Reader func(ctx context.Context) (model.ConfigVersion, error)

// Service runs a cell.Member: it sends heartbeats, reads the platform when the
// member needs it and keeps the roster up to date.
type Service struct {
	member     *cell.Member
	store      store.Store
	transport  Transport
	seeds      []string
	rootReader Reader // may be nil
	logger     zerolog.Logger
	clock      model.Clock

	rosterChanged chan struct{} // holds a value after the roster changed
	newerRoster   chan struct{} // holds a value after a heartbeat named a newer roster
	started       time.Time
	rounds        int                        // calls of readHosts; only maintain uses it and lastListed
	lastListed    map[model.HostID]time.Time // when the host list last contained the host
	lastReset     map[string]time.Time       // when the connection to an address was first used or last reset; only sendBeats uses it
}

// Option sets an optional property of a Service.
type Option func(*Service)

// WithClock replaces the system's clock. It should be the clock of the member.
func WithClock(c model.Clock) Option { return func(s *Service) { s.clock = c } }

// WithSeeds sets addresses of other daemons of the cell, from the settings. A daemon
// without a roster asks them for it while the platform is unavailable. A seed of
// another cell is not detected.
func WithSeeds(addresses []string) Option {
	return func(s *Service) { s.seeds = addresses }
}

// WithReader sets the function that reads the newest root. Without it, the member
// never becomes fresh by reading the platform.
func WithReader(r Reader) Option { return func(s *Service) { s.rootReader = r } }

// WithLogger sets the logger for changes of the roster and failures.
func WithLogger(l zerolog.Logger) Option { return func(s *Service) { s.logger = l } }

// NewService returns a service for the member. Run starts it.
func NewService(m *cell.Member, s store.Store, t Transport, options ...Option) *Service {
	service := &Service{
		member: m, store: s, transport: t, logger: zerolog.Nop(), clock: time.Now,
		lastListed: make(map[model.HostID]time.Time), lastReset: make(map[string]time.Time),
		rosterChanged: make(chan struct{}, 1), newerRoster: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(service)
	}
	service.started = service.clock()
	return service
}

// Member returns the member that the service runs.
func (s *Service) Member() *cell.Member { return s.member }

// Run sends heartbeats and maintains the roster until ctx ends. It then returns nil.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runPeriodically(ctx, s.rosterChanged, s.sendBeats, s.sendBeats) })
	g.Go(func() error { return s.runPeriodically(ctx, s.newerRoster, s.maintain, s.fetchNewer) })
	return g.Wait()
}

// runPeriodically calls periodic at once and then once a period, and triggered for
// each value of trigger. The second call follows the first after a part of a period,
// the phase, which depends on the host, so that hosts that start together do not
// conflict in their roster updates in each period.
func (s *Service) runPeriodically(ctx context.Context, trigger <-chan struct{}, periodic, triggered func(context.Context)) error {
	periodic(ctx)
	phase := time.Duration(model.RendezvousHash(s.member.Self().ID, "phase") % uint64(cell.Period))
	t := time.NewTimer(phase)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-trigger:
			triggered(ctx)
		case <-t.C:
			t.Reset(cell.Period)
			periodic(ctx)
		}
	}
}

// Handle processes a received heartbeat. If it names a newer roster, that is
// fetched at once.
func (s *Service) Handle(b cell.Heartbeat) {
	s.member.Handle(b)
	if s.member.Roster().Version < b.Roster {
		signal(s.newerRoster)
	}
}

// adopt passes a roster to the member; fromPlatform is as in cell.Member.SetRoster. If
// it is newer, heartbeats announce it to the cell at once, because the next change
// waits until an accept quorum holds it.
func (s *Service) adopt(r cell.Roster, fromPlatform bool) {
	before := s.member.Roster().Version
	s.member.SetRoster(r, fromPlatform)
	if r.Version > before {
		signal(s.rosterChanged)
	}
}

// signal makes the next receive from c succeed, without blocking.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendBeats sends the heartbeats of one period and resets silent connections.
func (s *Service) sendBeats(context.Context) {
	var addresses []string
	for _, e := range s.member.Heartbeats() {
		s.transport.Send(e.Address, e.Beat)
		addresses = append(addresses, e.Address)
	}
	s.transport.Retain(addresses)
	s.resetSilent()
}

// resetSilent resets connections on which no heartbeat has been answered for
// cell.FreshFor: an open connection can stop delivering for good while new ones
// work.
func (s *Service) resetSilent() {
	now := s.clock()
	for _, p := range s.member.Peers() {
		last := p.LastEchoed
		if t := s.lastReset[p.Address]; t.After(last) {
			last = t
		}
		if last.IsZero() {
			s.lastReset[p.Address] = now
			continue
		}
		if now.Sub(last) > cell.FreshFor {
			s.lastReset[p.Address] = now
			s.transport.Reset(p.Address)
		}
	}
}

// maintain runs one round: it fetches a newer roster from a peer and, if the
// member must read the platform, reads roster and root, joins the cell and removes
// an absent host.
func (s *Service) maintain(ctx context.Context) {
	s.fetchFromPeer(ctx)
	if !s.member.NeedsRead() {
		return
	}
	roster, err := s.readRoster(ctx)
	if err != nil {
		s.fetchFromSeeds(ctx)
		return
	}
	// The root is read after the roster, so that a host that joins by an update of
	// this roster holds at least what its members had accepted.
	settled := s.member.QuorumHolds(0)
	newest, ok := s.readRoot(ctx)
	if !ok || newest == 0 {
		return
	}
	s.join(ctx, roster, settled, newest)
	s.removeAbsent(ctx, roster, settled, newest)
}

// readRoot returns the version of the newest root, or 0 if there is none, and
// whether it could be read.
func (s *Service) readRoot(ctx context.Context) (model.ConfigVersion, bool) {
	if s.rootReader == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := s.clock()
	v, err := s.rootReader(ctx)
	if err != nil {
		s.member.NoteFailure(sentAt)
		return 0, false
	}
	s.member.NoteRead(sentAt, v)
	return v, true
}

// readRoster reads and adopts the roster of the cell. It returns an empty one if
// the platform has none. The member keeps its roster then and only records that the
// platform was read.
func (s *Service) readRoster(ctx context.Context) (cell.Roster, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := s.clock()
	o, err := s.store.Get(ctx, store.KindCell, string(s.member.Name()))
	if fault.Is(err, fault.KindMissing) {
		s.member.NoteContact(sentAt)
		s.member.SetRoster(cell.Roster{}, true)
		return cell.Roster{}, nil
	}
	if err != nil {
		s.member.NoteFailure(sentAt)
		return cell.Roster{}, err
	}
	s.member.NoteContact(sentAt)
	r, err := decodeRoster(o)
	if err != nil {
		s.logger.Error().Err(err).Str("cell", string(s.member.Name())).Msg("the roster of the cell is invalid")
		return cell.Roster{}, err
	}
	s.adopt(r, true)
	s.member.NoteRoster(sentAt, r.Version)
	return r, nil
}

// decodeRoster decodes and checks a stored roster.
func decodeRoster(o store.Object) (cell.Roster, error) {
	var r cell.Roster
	if err := cbor.Unmarshal(o.Value, &r); err != nil {
		return cell.Roster{}, fault.Wrap(fault.KindInvalid, err, "the roster of cell "+o.Name+" does not decode", "delete the object of the cell; its hosts join again")
	}
	r.Version = o.Version
	return r, r.Check()
}

// fetchNewer fetches a newer roster. It asks only members of the current roster,
// because another host may belong to another cell. If no member has a newer one,
// the heartbeat came from a host that has just joined, and the watching members
// read the roster from the platform.
func (s *Service) fetchNewer(ctx context.Context) {
	if !s.fetchFromPeer(ctx) && s.member.IsWatcher() {
		_, _ = s.readRoster(ctx) // maintain reads it again in any case
	}
}

// fetchFromPeer fetches the roster from the live peer with the newest one, if that
// is newer than the current one, and reports whether there was such a peer.
func (s *Service) fetchFromPeer(ctx context.Context) bool {
	held := s.member.Roster()
	var best cell.Peer
	for _, p := range s.member.Peers() {
		if p.Live && p.Roster > max(held.Version, best.Roster) {
			best = p
		}
	}
	if best.Roster <= held.Version {
		return false
	}
	s.fetchRoster(ctx, best.Address)
	return true
}

// fetchRoster fetches the roster from a daemon and adopts it if it is newer.
// Failures are ignored.
func (s *Service) fetchRoster(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r, err := s.transport.Roster(ctx, address); err == nil && r.Check() == nil {
		s.adopt(r, false)
	}
}

// fetchFromSeeds fetches the roster from the seeds if this daemon has none, to find
// the cell after a start while the platform is unavailable.
func (s *Service) fetchFromSeeds(ctx context.Context) {
	if len(s.member.Roster().Hosts) > 0 {
		return
	}
	var g errgroup.Group
	for _, a := range s.seeds {
		g.Go(func() error {
			s.fetchRoster(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
}

// HandleRosterRequest handles a request of another daemon for the roster.
func (s *Service) HandleRosterRequest() cell.Roster { return s.member.Roster() }

// HandleQuestion handles a question of another member. It first calls the platform,
// so that the statement is current.
func (s *Service) HandleQuestion(ctx context.Context, q cell.Question) cell.Answer {
	receivedAt := s.clock()
	s.probePlatform(ctx)
	return s.member.Answer(q, receivedAt)
}

// probePlatform calls the platform and reports the result to the member.
func (s *Service) probePlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := s.clock()
	_, err := s.store.Get(ctx, store.KindCell, string(s.member.Name()))
	if err == nil || fault.Is(err, fault.KindMissing) {
		s.member.NoteContact(sentAt)
		return
	}
	s.member.NoteFailure(sentAt)
}
