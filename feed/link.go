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

// Nothing is a message without content.
type Nothing struct{}

// Link implements Peers over package wire.
type Link struct{ pool *wire.Pool }

var _ Peers = Link{}

// NewLink returns a Link over the pool's connections.
func NewLink(p *wire.Pool) Link { return Link{pool: p} }

// Notify sends a notice of a new version to a peer.
func (l Link) Notify(ctx context.Context, address string, n Notice) error {
	_, err := wire.Call[Notice, Nothing](ctx, l.pool.Client(address), methodNotice, &n)
	return err
}

// Root returns the root that is in force on a peer.
func (l Link) Root(ctx context.Context, address string) (conf.Root, error) {
	r, err := wire.Call[Nothing, conf.Root](ctx, l.pool.Client(address), methodRoot, &Nothing{})
	if err != nil {
		return conf.Root{}, err
	}
	return *r, nil
}

// Pull fetches chunks from a peer. The answer may hold only the first of them.
func (l Link) Pull(ctx context.Context, address string, p Pull) (Chunks, error) {
	c, err := wire.Call[Pull, Chunks](ctx, l.pool.Client(address), methodPull, &p)
	if err != nil {
		return Chunks{}, err
	}
	return *c, nil
}

// Register registers the service's methods on the server.
func Register(w *wire.Server, s *Service) {
	wire.Handle(w, methodNotice, func(_ context.Context, n *Notice) (*Nothing, error) {
		s.Offer(*n)
		return &Nothing{}, nil
	})
	wire.Handle(w, methodRoot, func(context.Context, *Nothing) (*conf.Root, error) {
		r, err := s.Current()
		return &r, err
	})
	wire.Handle(w, methodPull, func(_ context.Context, p *Pull) (*Chunks, error) {
		c, err := s.Give(*p)
		return &c, err
	})
}
