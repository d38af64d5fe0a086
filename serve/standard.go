package serve

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net/http"

	"github.com/rs/zerolog"
)

// Standard serves HTTP with the standard library's server, which notices when
// a caller leaves while its request runs.
type Standard struct {
	Name    string
	Address string // IP address and port
	Server  *http.Server
	Log     zerolog.Logger
}

// Run serves until ctx ends. After Shutdown it waits for ctx.
func (l *Standard) Run(ctx context.Context) error {
	ln, err := listen(ctx, l.Address)
	if err != nil {
		return err
	}
	l.Log.Info().Str("service", l.Name).Str("address", l.Address).Msg("listening")
	failed := make(chan error, 1)
	go func() { failed <- l.Server.Serve(ln) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		return l.Server.Close()
	}
}

// Shutdown closes the listener and idle connections and waits for running requests.
func (l *Standard) Shutdown(ctx context.Context) error { return l.Server.Shutdown(ctx) }

// Discard returns a logger for the standard library's server that writes
// nothing: its messages quote parts of requests, which may contain keys.
func Discard() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
