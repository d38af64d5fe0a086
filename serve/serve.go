// Package serve adapts a daemon's servers to kernel services: HTTP for callers
// and operators, gRPC for other daemons.
//
// # Usage
//
//	s := &serve.FastHTTP{Name: "callers", Address: "10.0.0.1:8080", Server: server, Log: log}
//	go s.Run(ctx)
//	...
//	err := s.Stop(ctx) // waits for running requests if Wait is set
package serve

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/wire"
)

// FastHTTP serves HTTP on one address with fasthttp.
type FastHTTP struct {
	Name    string
	Address string // IP address and port
	Server  *fasthttp.Server
	Log     zerolog.Logger
	Wait    func(context.Context) error     // waits for running requests; if nil, Stop does nothing
	Wrap    func(net.Listener) net.Listener // replaces the listener; may be nil
}

// Run listens and serves until ctx ends. It returns an error if the address
// cannot be bound or the server fails. After Stop it waits for ctx.
func (s *FastHTTP) Run(ctx context.Context) error {
	ln, err := listen(ctx, s.Address)
	if err != nil {
		return err
	}
	s.Log.Info().Str("service", s.Name).Str("address", s.Address).Msg("listening")
	serveErr := make(chan error, 1)
	if s.Wrap != nil {
		ln = s.Wrap(ln)
	}
	go func() { serveErr <- s.Server.Serve(ln) }()
	select {
	case err := <-serveErr:
		if err != nil {
			return err
		}
		// The server was stopped gracefully. The other services run until ctx
		// ends, and so does this one.
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		return s.Server.Shutdown()
	}
}

// Stop closes the listener and idle connections and waits for running requests
// until ctx ends. Without Wait it does nothing: the end of Run's context stops
// the server.
func (s *FastHTTP) Stop(ctx context.Context) error {
	if s.Wait == nil {
		return nil
	}
	if err := s.Server.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return s.Wait(ctx)
}

// GRPC serves gRPC to the other daemons. It has no Stop: the end of Run's context
// stops the server.
type GRPC struct {
	Address string // IP address and port
	Server  *wire.Server
	Log     zerolog.Logger
}

// Run listens and serves until ctx ends. It returns an error if the address
// cannot be bound or the server fails.
func (s *GRPC) Run(ctx context.Context) error {
	ln, err := listen(ctx, s.Address)
	if err != nil {
		return err
	}
	s.Log.Info().Str("service", "peers").Str("address", s.Address).Msg("listening")
	return s.Server.Serve(ctx, ln)
}

// listen opens a TCP listener. Errors are of kind fault.KindUnavailable.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.KindUnavailable, err, "cannot listen on "+address, "use a free port of this host in the settings")
	}
	return ln, nil
}
