package devcmd

import (
	"context"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/logs"
)

// defaultGrace bounds the time that a stand-in waits for running requests after
// SIGTERM.
const defaultGrace = 30 * time.Second

// standin is the server of a stand-in target or of a relay. Stop lets running
// requests finish until the context that it is given ends.
type standin interface {
	Serve(ln net.Listener) error
	Stop(ctx context.Context) error
}

// serveUntilStopped runs a stand-in on the listener until ctx ends or a
// SIGTERM or SIGINT arrives, and then waits up to the grace time for running
// requests to finish. Further signals are ignored.
func serveUntilStopped(ctx context.Context, log zerolog.Logger, s standin, ln net.Listener, grace time.Duration) error {
	ctx, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	log.Info().Str("address", ln.Addr().String()).Msg("listening")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Serve(ln) })
	g.Go(func() error {
		<-ctx.Done()
		log.Info().Stringer("grace", grace).Msg("stopping")
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		return s.Stop(stopCtx)
	})
	return g.Wait()
}

// openListener opens a TCP listener on the address. Errors are of kind
// fault.KindUnavailable; fault.Wrap returns nil if there is none.
func openListener(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	ln, err := c.Listen(ctx, "tcp", address)
	return ln, fault.Wrap(fault.KindUnavailable, err, "cannot listen on "+address, "choose a free address with --listen")
}

// standinLog returns a logger that writes one key=value line per event and tags
// each with the name of the stand-in.
func standinLog(w io.Writer, name string) zerolog.Logger {
	return logs.New(w, config.DefaultLevel).With().Str("name", name).Logger()
}
