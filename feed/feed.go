package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// batchLimit bounds the chunks in one answer in bytes.
	batchLimit = store.MaxValue - 1<<16
	// parallel is the number of chunks fetched from the platform at once.
	parallel = 8
	// callTimeout bounds a small call to a peer or to the platform.
	callTimeout = time.Second
	// batchTimeout bounds the transfer of one batch or chunk, so that a source
	// that went silent is left for another one within FreshFor.
	batchTimeout = 2 * time.Second
	// sources is the number of peers that are asked in one period.
	sources = 3
	// fetchTimeout bounds the transfer of a configuration. 5 MB take 1.4 s on
	// an idle link between regions (30 Mbit/s).
	fetchTimeout = 10 * time.Second
	// watchTimeout bounds one waiting call, in case its answer never comes.
	watchTimeout = 30 * time.Second
	// retryDelay is the pause after a failed watch.
	retryDelay = 500 * time.Millisecond
)

// Notice tells a member of the cell about a new version.
type Notice struct {
	Root    conf.Root `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"` // of the sender, who has the chunks
}

// Check reports the first mistake in the notice.
func (n *Notice) Check() error { return n.Root.Check() }

// Pull asks for chunks.
type Pull struct {
	Digests []model.Digest `cbor:"1,keyasint"`
}

// Chunks holds the first of the chunks asked for, as many as fit in one message.
type Chunks struct {
	Data [][]byte `cbor:"1,keyasint"`
}

// Peers moves messages to other daemons by address.
type Peers interface {
	Notify(ctx context.Context, address string, n Notice) error
	Root(ctx context.Context, address string) (conf.Root, error)
	Pull(ctx context.Context, address string, p Pull) (Chunks, error)
}

// Service keeps the holder of this daemon at the newest version.
type Service struct {
	holder *conf.Holder
	member *cell.Member
	store  store.Store
	peers  Peers
	logger zerolog.Logger

	kick   chan struct{}
	rounds int
	mu     sync.Mutex
	next   Notice // newest known root; without an address it is on the platform
}

// Option sets an optional property of a Service.
type Option func(*Service)

// WithLogger logs installed versions and failures.
func WithLogger(l zerolog.Logger) Option { return func(s *Service) { s.logger = l } }

// New returns a service that is not running.
func New(h *conf.Holder, m *cell.Member, s store.Store, p Peers, options ...Option) *Service {
	v := &Service{holder: h, member: m, store: s, peers: p, logger: zerolog.Nop(), kick: make(chan struct{}, 1)}
	for _, o := range options {
		o(v)
	}
	return v
}

// Run watches, fetches and notifies until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.watch(ctx) })
	g.Go(func() error { return s.fetch(ctx) })
	return g.Wait()
}

// Read reads the newest root from the platform and returns its version, or 0
// if there is none. A newer version is then fetched in the background.
func (s *Service) Read(ctx context.Context) (model.ConfigVersion, error) {
	root, _, err := conf.ReadRoot(ctx, s.store)
	if fault.Is(err, fault.Missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.Offer(Notice{Root: root})
	return root.Version, nil
}

// Offer takes in a notice, of which only a newer version has an effect.
func (s *Service) Offer(n Notice) {
	if n.Root.Version <= s.version() {
		return
	}
	s.mu.Lock()
	if n.Root.Version > s.next.Root.Version {
		s.next = n
	}
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Service) version() model.ConfigVersion {
	if c := s.holder.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Current answers a peer's question for the root in force.
func (s *Service) Current() (conf.Root, error) {
	if c := s.holder.Current(); c != nil {
		return c.Root(), nil
	}
	return conf.Root{}, fault.New(fault.Missing, "this daemon has no configuration yet", "ask another one")
}

// Give answers a peer's question for chunks.
func (s *Service) Give(p Pull) (Chunks, error) {
	var out Chunks
	c := s.holder.Current()
	sum := 0
	for _, d := range p.Digests {
		if c == nil {
			break
		}
		data, ok := c.Chunk(d)
		if !ok || (sum > 0 && sum+len(data) > batchLimit) {
			break
		}
		sum += len(data)
		out.Data = append(out.Data, data)
	}
	if len(out.Data) == 0 {
		return out, fault.New(fault.Missing, "this daemon does not have the chunk", "ask for its root, then for that root's chunks")
	}
	return out, nil
}

// fetch installs newer versions as they become known.
func (s *Service) fetch(ctx context.Context) error {
	t := time.NewTicker(cell.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		case <-t.C:
		}
		s.advance(ctx)
	}
}

// advance installs the newest version that is known from a notice, from the
// platform or from a peer's heartbeat.
func (s *Service) advance(ctx context.Context) {
	s.mu.Lock()
	n := s.next
	s.next = Notice{}
	s.mu.Unlock()
	if n.Root.Version > s.version() {
		err := s.install(ctx, n)
		if err == nil {
			return
		}
		s.logger.Warn().Err(err).Str("source", n.Address).Uint64("version", uint64(n.Root.Version)).
			Msg("the new configuration could not be fetched; trying other sources")
	}
	for _, p := range s.newer() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		root, err := s.peers.Root(callCtx, p.Address)
		cancel()
		if err == nil && root.Version > s.version() && s.install(ctx, Notice{Root: root, Address: p.Address}) == nil {
			return
		}
	}
}

// newer returns some live peers with a newer version, the newest first. Among
// equals it starts elsewhere in each period and on each host, so that one slow
// peer neither blocks nor serves the whole cell.
func (s *Service) newer() []cell.Peer {
	v := s.version()
	peers := slices.DeleteFunc(s.member.Peers(), func(p cell.Peer) bool { return !p.Live || p.Version <= v })
	if len(peers) == 0 {
		return nil
	}
	s.rounds++
	first := (model.Rank(s.member.Self().ID, "source") + uint64(s.rounds)) % uint64(len(peers))
	peers = append(peers[first:], peers[:first]...)
	slices.SortStableFunc(peers, func(a, b cell.Peer) int { return cmp.Compare(b.Version, a.Version) })
	return peers[:min(len(peers), sources)]
}

func (s *Service) install(ctx context.Context, n Notice) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := s.holder.Current()
	chunks, err := s.chunks(ctx, n, base)
	if err != nil {
		return err
	}
	snapshot, err := conf.Assemble(n.Root, func(d model.Digest) ([]byte, error) { return chunks[d], nil }, conf.WithBase(base))
	if err != nil {
		return err
	}
	if !s.holder.Install(snapshot) {
		return nil
	}
	s.member.SetVersion(snapshot.Version())
	s.logger.Info().Uint64("version", uint64(snapshot.Version())).Str("source", n.Address).Msg("installed a configuration")
	if n.Address == "" {
		s.notify(ctx, n.Root)
	}
	return nil
}

// notify pushes a version that came from the platform to the members without it.
func (s *Service) notify(ctx context.Context, root conf.Root) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range s.member.Peers() {
		if p.Live && p.Version < root.Version {
			// A lost notice is repaired by the next heartbeat.
			g.Go(func() error {
				return s.peers.Notify(ctx, p.Address, Notice{Root: root, Address: s.member.Self().Address})
			})
		}
	}
	_ = g.Wait()
}

// chunks fetches what base lacks from the source of the notice.
func (s *Service) chunks(ctx context.Context, n Notice, base *conf.Snapshot) (map[model.Digest][]byte, error) {
	var need []model.Digest
	for _, d := range n.Root.Chunks {
		if base != nil {
			if _, ok := base.Chunk(d); ok {
				continue
			}
		}
		need = append(need, d)
	}
	slices.Sort(need)
	need = slices.Compact(need)
	if n.Address == "" {
		return s.load(ctx, need)
	}
	return s.pull(ctx, n.Address, need)
}

func (s *Service) load(ctx context.Context, need []model.Digest) (map[model.Digest][]byte, error) {
	out := make(map[model.Digest][]byte, len(need))
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	for _, d := range need {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, batchTimeout)
			defer cancel()
			o, err := s.store.Get(ctx, store.KindChunk, string(d))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			out[d] = o.Value
			return nil
		})
	}
	return out, g.Wait()
}

func (s *Service) pull(ctx context.Context, address string, need []model.Digest) (map[model.Digest][]byte, error) {
	out := make(map[model.Digest][]byte, len(need))
	for len(need) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		got, err := s.peers.Pull(callCtx, address, Pull{Digests: need})
		cancel()
		if err != nil {
			return nil, err
		}
		if len(got.Data) == 0 || len(got.Data) > len(need) {
			return nil, fault.Invalid("chunks", "the answer does not match the question", "run compatible versions of rhubarbdrift on all hosts")
		}
		for i, data := range got.Data {
			out[need[i]] = data // Assemble verifies the digest
		}
		need = need[len(got.Data):]
	}
	return out, nil
}
