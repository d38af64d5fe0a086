package feed

import (
	"context"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/wire"
)

const (
	methodNotice = "conf.notice"
	methodRoot   = "conf.root"
	methodPull   = "conf.pull"
)

// Empty is a message without content.
type Empty struct{}

// Link implements Peers over package wire.
type Link struct{ pool *wire.ClientPool }

var _ Peers = Link{}

// NewLink returns a Link over the pool's connections.
func NewLink(p *wire.ClientPool) Link { return Link{pool: p} }

// Notify sends a notice of a new version to a peer.
func (l Link) Notify(ctx context.Context, address string, n Notice) error {
	_, err := wire.Call[Notice, Empty](ctx, l.pool.Client(address), methodNotice, &n)
	return err
}

// Root returns the root that is in force on a peer.
func (l Link) Root(ctx context.Context, address string) (conf.Root, error) {
	r, err := wire.Call[Empty, conf.Root](ctx, l.pool.Client(address), methodRoot, &Empty{})
	if err != nil {
		return conf.Root{}, err
	}
	return *r, nil
}

// Pull fetches chunks from a peer. The answer may hold only the first of them.
func (l Link) Pull(ctx context.Context, address string, request ChunkRequest) (ChunkResponse, error) {
	c, err := wire.Call[ChunkRequest, ChunkResponse](ctx, l.pool.Client(address), methodPull, &request)
	if err != nil {
		return ChunkResponse{}, err
	}
	return *c, nil
}

// Register registers the service's methods on the server.
func Register(w *wire.Server, s *Service) {
	wire.Handle(w, methodNotice, func(_ context.Context, n *Notice) (*Empty, error) {
		s.OfferRoot(*n)
		return &Empty{}, nil
	})
	wire.Handle(w, methodRoot, func(context.Context, *Empty) (*conf.Root, error) {
		r, err := s.CurrentRoot()
		return &r, err
	})
	wire.Handle(w, methodPull, func(_ context.Context, request *ChunkRequest) (*ChunkResponse, error) {
		c, err := s.ServeChunks(*request)
		return &c, err
	})
}
