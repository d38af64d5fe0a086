package daemon

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/wire"
)

// listener serves HTTP on one address.
type listener struct {
	name    string
	address string
	server  *fasthttp.Server
	log     zerolog.Logger
	wait    func(context.Context) error // waits for running requests; may be nil
}

// Run serves until ctx ends or the server is stopped.
func (l *listener) Run(ctx context.Context) error {
	ln, err := listen(ctx, l.address)
	if err != nil {
		return err
	}
	l.log.Info().Str("service", l.name).Str("address", l.address).Msg("listening")
	failed := make(chan error, 1)
	go func() { failed <- l.server.Serve(ln) }()
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
		// The server was stopped gracefully; other services end with ctx.
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		return l.server.Shutdown()
	}
}

// Stop closes the listener and idle connections and waits for running requests.
func (l *listener) Stop(ctx context.Context) error {
	if l.wait == nil {
		return nil
	}
	if err := l.server.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return l.wait(ctx)
}

// peerListener serves the other daemons.
type peerListener struct {
	address string
	server  *wire.Server
	log     zerolog.Logger
}

// Run serves until ctx ends.
func (l *peerListener) Run(ctx context.Context) error {
	ln, err := listen(ctx, l.address)
	if err != nil {
		return err
	}
	l.log.Info().Str("service", namePeers).Str("address", l.address).Msg("listening")
	return l.server.Serve(ctx, ln)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen on "+address, "use a free port of this host in the settings")
	}
	return ln, nil
}
