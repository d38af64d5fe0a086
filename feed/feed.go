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
	// maxBatchBytes bounds the total size of the chunks in one answer that holds more
	// than one. It leaves room for the message around them.
	maxBatchBytes = store.MaxValue - 1<<16
	// maxParallelFetches is the number of chunks fetched from the platform in
	// parallel.
	maxParallelFetches = 8
	// callTimeout bounds a small call to a peer or to the platform.
	callTimeout = time.Second
	// batchTimeout bounds the transfer of one batch or chunk, so that an
	// unresponsive source is replaced by another one within cell.FreshFor.
	batchTimeout = 2 * time.Second
	// sourcesPerPeriod is the number of peers with a newer version that are tried
	// in one period.
	sourcesPerPeriod = 3
	// fetchTimeout bounds the transfer of a configuration. 5 MB take 1.4 s on
	// an idle link between regions (30 Mbit/s).
	fetchTimeout = 10 * time.Second
	// watchTimeout bounds one watch call, in case its answer never arrives.
	watchTimeout = 30 * time.Second
	// retryDelay is the pause after a failed watch.
	retryDelay = 500 * time.Millisecond
)

// Notice announces a new version to a member of the cell.
type Notice struct {
	Root    conf.Root `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"` // of the sender, which has the chunks; empty for the platform
}

// Check returns an error of kind fault.KindInvalid for the first mistake in the root.
func (n *Notice) Check() error { return n.Root.Check() }

// ChunkRequest requests chunks by their digests.
type ChunkRequest struct {
	Digests []model.Digest `cbor:"1,keyasint"`
}

// ChunkResponse holds the first of the requested chunks, as many as fit in one message.
type ChunkResponse struct {
	Data [][]byte `cbor:"1,keyasint"`
}

// Peers sends messages to other daemons by address.
type Peers interface {
	Notify(ctx context.Context, address string, n Notice) error
	Root(ctx context.Context, address string) (conf.Root, error)
	Pull(ctx context.Context, address string, request ChunkRequest) (ChunkResponse, error)
}

// Service keeps the holder of this daemon at the newest known version.
type Service struct {
	holder *conf.Holder
	member *cell.Member
	store  store.Store
	peers  Peers
	logger zerolog.Logger

	wake    chan struct{} // holds a value after a newer root became known
	rounds  int           // number of times that newerPeers found a peer; rotates its choice
	mu      sync.Mutex
	pending Notice // newest root that is known but not installed; without an address it is on the platform
}

// Option sets an optional property of a Service.
type Option func(*Service)

// WithLogger sets the logger for installed versions and failures.
func WithLogger(l zerolog.Logger) Option { return func(s *Service) { s.logger = l } }

// New returns a service that keeps h at the newest version. Run starts it.
func New(h *conf.Holder, m *cell.Member, s store.Store, p Peers, options ...Option) *Service {
	service := &Service{holder: h, member: m, store: s, peers: p, logger: zerolog.Nop(), wake: make(chan struct{}, 1)}
	for _, o := range options {
		o(service)
	}
	return service
}

// Run watches the root, fetches newer versions and notifies the cell until ctx
// ends. It then returns nil.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.watch(ctx) })
	g.Go(func() error { return s.fetch(ctx) })
	return g.Wait()
}

// ReadVersion reads the newest root from the platform and returns its version, or 0
// if there is none. Run then installs a newer version in the background.
func (s *Service) ReadVersion(ctx context.Context) (model.ConfigVersion, error) {
	root, _, err := conf.ReadRoot(ctx, s.store)
	if fault.Is(err, fault.KindMissing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.OfferRoot(Notice{Root: root})
	return root.Version, nil
}

// OfferRoot processes a notice. It has no effect unless its version is newer than the
// installed and the pending one.
func (s *Service) OfferRoot(n Notice) {
	if n.Root.Version <= s.installedVersion() {
		return
	}
	s.mu.Lock()
	if n.Root.Version > s.pending.Root.Version {
		s.pending = n
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// installedVersion returns the version in force, or 0 if there is none.
func (s *Service) installedVersion() model.ConfigVersion {
	if c := s.holder.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// CurrentRoot handles a peer's request for the root in force. Without a configuration
// the error has kind fault.KindMissing.
func (s *Service) CurrentRoot() (conf.Root, error) {
	if c := s.holder.Current(); c != nil {
		return c.Root(), nil
	}
	return conf.Root{}, fault.New(fault.KindMissing, "this daemon has no configuration yet", "ask another one")
}

// ServeChunks handles a peer's request for chunks. It returns the requested chunks in
// order, until one is missing here or would make the total exceed maxBatchBytes. The
// first chunk is returned whatever its size. The error has kind fault.KindMissing if
// the first one is missing.
func (s *Service) ServeChunks(request ChunkRequest) (ChunkResponse, error) {
	var out ChunkResponse
	c := s.holder.Current()
	size := 0
	for _, d := range request.Digests {
		if c == nil {
			break
		}
		data, ok := c.Chunk(d)
		if !ok || (size > 0 && size+len(data) > maxBatchBytes) {
			break
		}
		size += len(data)
		out.Data = append(out.Data, data)
	}
	if len(out.Data) == 0 {
		return out, fault.New(fault.KindMissing, "this daemon does not have the chunk", "ask for its root, then for that root's chunks")
	}
	return out, nil
}

// fetch installs newer versions as they become known, at the latest once a period.
func (s *Service) fetch(ctx context.Context) error {
	t := time.NewTicker(cell.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-t.C:
		}
		s.installNewest(ctx)
	}
}

// installNewest installs the pending root. If there is none or it fails, it installs
// a newer version from a peer whose heartbeat reported one.
func (s *Service) installNewest(ctx context.Context) {
	s.mu.Lock()
	n := s.pending
	s.pending = Notice{}
	s.mu.Unlock()
	if n.Root.Version > s.installedVersion() {
		err := s.install(ctx, n)
		if err == nil {
			return
		}
		s.logger.Warn().Err(err).Str("source", n.Address).Uint64("version", uint64(n.Root.Version)).
			Msg("the new configuration could not be fetched; trying other sources")
	}
	for _, p := range s.newerPeers() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		root, err := s.peers.Root(callCtx, p.Address)
		cancel()
		if err == nil && root.Version > s.installedVersion() && s.install(ctx, Notice{Root: root, Address: p.Address}) == nil {
			return
		}
	}
}

// newerPeers returns up to sourcesPerPeriod live peers with a newer version, the
// newest first. Among equal versions the order rotates with each call and differs
// between hosts: one unresponsive peer does not delay each attempt, and not all
// members pull from the same peer.
func (s *Service) newerPeers() []cell.Peer {
	v := s.installedVersion()
	peers := slices.DeleteFunc(s.member.Peers(), func(p cell.Peer) bool { return !p.Live || p.Version <= v })
	if len(peers) == 0 {
		return nil
	}
	s.rounds++
	first := (model.RendezvousHash(s.member.Self().ID, "source") + uint64(s.rounds)) % uint64(len(peers))
	peers = append(peers[first:], peers[:first]...)
	slices.SortStableFunc(peers, func(a, b cell.Peer) int { return cmp.Compare(b.Version, a.Version) })
	return peers[:min(len(peers), sourcesPerPeriod)]
}

// install fetches the missing chunks of a root and puts the snapshot in force. A
// version that came from the platform is announced to the cell.
func (s *Service) install(ctx context.Context, n Notice) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := s.holder.Current()
	chunks, err := s.fetchChunks(ctx, n, base)
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

// notify sends a notice of the root to all live members with an older version.
func (s *Service) notify(ctx context.Context, root conf.Root) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range s.member.Peers() {
		if p.Live && p.Version < root.Version {
			// After a lost notice the next heartbeat announces the version.
			g.Go(func() error {
				return s.peers.Notify(ctx, p.Address, Notice{Root: root, Address: s.member.Self().Address})
			})
		}
	}
	_ = g.Wait()
}

// fetchChunks fetches the chunks that base lacks from the source of the notice.
func (s *Service) fetchChunks(ctx context.Context, n Notice, base *conf.Snapshot) (map[model.Digest][]byte, error) {
	var missing []model.Digest
	for _, d := range n.Root.Chunks {
		if base != nil {
			if _, ok := base.Chunk(d); ok {
				continue
			}
		}
		missing = append(missing, d)
	}
	slices.Sort(missing)
	missing = slices.Compact(missing)
	if n.Address == "" {
		return s.fetchFromPlatform(ctx, missing)
	}
	return s.fetchFromPeer(ctx, n.Address, missing)
}

// fetchFromPlatform fetches chunks from the platform, in parallel.
func (s *Service) fetchFromPlatform(ctx context.Context, missing []model.Digest) (map[model.Digest][]byte, error) {
	out := make(map[model.Digest][]byte, len(missing))
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelFetches)
	for _, d := range missing {
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

// fetchFromPeer fetches chunks from a peer, in batches.
func (s *Service) fetchFromPeer(ctx context.Context, address string, missing []model.Digest) (map[model.Digest][]byte, error) {
	out := make(map[model.Digest][]byte, len(missing))
	for len(missing) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		answer, err := s.peers.Pull(callCtx, address, ChunkRequest{Digests: missing})
		cancel()
		if err != nil {
			return nil, err
		}
		if len(answer.Data) == 0 || len(answer.Data) > len(missing) {
			return nil, fault.Invalid("chunks", "the answer does not match the question", "run compatible versions of rhubarbdrift on all hosts")
		}
		for i, data := range answer.Data {
			out[missing[i]] = data // Assemble verifies the digest
		}
		missing = missing[len(answer.Data):]
	}
	return out, nil
}
