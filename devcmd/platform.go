package devcmd

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/objapi"
)

// newPlatform returns the command that runs the platform stand-in.
func newPlatform() *cobra.Command {
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in for the platform's object API",
		Long: `platform serves the platform's object API from memory: versions, conditional
updates, watches and a delayed host list. It is meant for tests and the demo.
PUT /faults makes it slow or unavailable, or makes it drop responses; GET /calls
returns call counts.`,
		Args: cobra.NoArgs,
	}
	listen := c.Flags().String("listen", "127.0.0.1:7000", "IP address and port to listen on")
	lag := c.Flags().Duration("lag", time.Second, "delay of the host list")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s := objapi.New(objapi.WithLag(*lag))
		return listenAndServe(c.Context(), *listen, s.Serve, s.Stop)
	}
	return c
}

// listenAndServe listens on the address, runs the server until ctx ends and then
// calls stop. Unlike serveUntilStopped it handles no signals, so that the caller
// must end ctx on SIGTERM, and it sets no time limit for stop.
func listenAndServe(ctx context.Context, address string, run func(net.Listener) error, stop func() error) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(fault.KindUnavailable, err, "cannot listen on "+address, "use a free port of this host")
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return run(ln) })
	g.Go(func() error {
		<-ctx.Done()
		return stop()
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("server on %s: %w", address, err)
	}
	return nil
}
