package serve

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// HTTPServer is a server of net/http's handlers: *http.Server or *caller.Server. Serve
// returns http.ErrServerClosed after Shutdown.
type HTTPServer interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// NetHTTP serves HTTP with a server of net/http's handlers. It has no Stop, so the kernel
// does not end it gracefully; an owner that needs this calls Shutdown.
type NetHTTP struct {
	Name    string
	Address string // IP address and port
	Server  HTTPServer
	Log     zerolog.Logger
}

// Run listens and serves until ctx ends. It returns an error if the address
// cannot be bound or the server fails. After Shutdown it waits for ctx.
func (s *NetHTTP) Run(ctx context.Context) error {
	ln, err := listen(ctx, s.Address)
	if err != nil {
		return err
	}
	s.Log.Info().Str("service", s.Name).Str("address", s.Address).Msg("listening")
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Server.Serve(ln) }()
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// As in FastHTTP.Run: after Shutdown the other services still run.
		<-ctx.Done()
		return s.Server.Close() // the connections that were still in use at the end of Shutdown
	case <-ctx.Done():
		return s.Server.Close()
	}
}

// Shutdown closes the listener and idle connections and waits for running
// requests until ctx ends.
func (s *NetHTTP) Shutdown(ctx context.Context) error { return s.Server.Shutdown(ctx) }

// DiscardLogger returns a logger for http.Server.ErrorLog that writes nothing: the
// server's messages quote parts of requests, which may contain API keys.
func DiscardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
