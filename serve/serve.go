// Package serve runs a daemon's servers as services: HTTP for callers and
// operators, gRPC for other daemons.
//
// # Usage
//
//	l := &serve.HTTP{Name: "callers", Address: "10.0.0.1:8080", Server: server, Log: log}
//	go l.Run(ctx)
//	...
//	err := l.Stop(ctx) // waits for running requests
package serve

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/wire"
)

// HTTP serves HTTP on one address.
type HTTP struct {
	Name    string
	Address string // IP address and port
	Server  *fasthttp.Server
	Log     zerolog.Logger
	Wait    func(context.Context) error // waits for running requests; may be nil
}

// Run serves until ctx ends or the server is stopped.
func (l *HTTP) Run(ctx context.Context) error {
	ln, err := listen(ctx, l.Address)
	if err != nil {
		return err
	}
	l.Log.Info().Str("service", l.Name).Str("address", l.Address).Msg("listening")
	failed := make(chan error, 1)
	go func() { failed <- l.Server.Serve(ln) }()
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
		// The server was stopped gracefully; other services end with ctx.
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		return l.Server.Shutdown()
	}
}

// Stop closes the listener and idle connections and waits for running requests.
func (l *HTTP) Stop(ctx context.Context) error {
	if l.Wait == nil {
		return nil
	}
	if err := l.Server.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return l.Wait(ctx)
}

// Peers serves the other daemons.
type Peers struct {
	Address string // IP address and port
	Server  *wire.Server
	Log     zerolog.Logger
}

// Run serves until ctx ends.
func (l *Peers) Run(ctx context.Context) error {
	ln, err := listen(ctx, l.Address)
	if err != nil {
		return err
	}
	l.Log.Info().Str("service", "peers").Str("address", l.Address).Msg("listening")
	return l.Server.Serve(ctx, ln)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen on "+address, "use a free port of this host in the settings")
	}
	return ln, nil
}
