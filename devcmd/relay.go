package devcmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/relay"
)

const relayLong = `relay forwards TCP connections to one address and imitates a faulty link. Each
direction can be cut, frozen or delayed while connections are open. It is meant
for tests and demonstrations on one machine.

With --control the state of the link is served over HTTP:

  GET /       the current state of the link
  PUT /       replaces it
  GET /stats  open connections and relayed bytes

LINKS

The state of the link is one JSON document. "up" is the direction from the
caller to the target, "down" the opposite one. Each has the fields

  cut     true: bytes are lost; a connection that lost some stays silent in
          this direction, new connections work after the cut is lifted
  freeze  true: bytes are held back and delivered once this is false again
  delay   milliseconds by which bytes are delayed

SIGNALS

On SIGTERM the relay stops accepting, waits for open connections for the time
of --grace, closes the remaining ones and exits with status 0.`

// newRelay returns the command that runs a TCP relay.
func newRelay() *cobra.Command {
	var (
		listen, target, control, links string
		grace                          time.Duration
	)
	c := &cobra.Command{
		Use:     "relay",
		Short:   "Run a TCP relay that imitates a faulty link",
		Long:    relayLong,
		Example: `  rhubarbdrift relay --listen 127.0.0.1:9101 --target 127.0.0.1:9001 --control 127.0.0.1:9102`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var l relay.LinkState
			if err := model.DecodeStrict([]byte(links), &l); err != nil {
				return err
			}
			if err := l.Check(); err != nil {
				return err
			}
			if _, _, err := net.SplitHostPort(target); err != nil {
				return fault.Invalid("target "+target, "is not an address and port", "give one with --target, e.g. 127.0.0.1:9001")
			}
			r := relay.New(target, relay.WithState(l))
			ln, err := openListener(c.Context(), listen)
			if err != nil {
				return err
			}
			log := standinLog(c.OutOrStdout(), "relay")
			stop, err := serveControl(c.Context(), log, control, r.Handler())
			if err != nil {
				return errors.Join(err, ln.Close())
			}
			defer stop()
			return serveUntilStopped(c.Context(), log, r, ln, grace)
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port; port 0 chooses a free one")
	flags.StringVar(&target, "target", "", "IP address and port to forward to")
	flags.StringVar(&control, "control", "", "IP address and port of the control endpoint; empty: none")
	flags.StringVar(&links, "links", "{}", "state of the link at the start, as JSON")
	flags.DurationVar(&grace, "grace", defaultGrace, "time allowed for open connections after SIGTERM")
	return c
}

// serveControl serves the control endpoint on the address until the returned
// function is called. If the address is empty, it serves nothing and returns a
// function without effect.
func serveControl(ctx context.Context, log zerolog.Logger, address string, h http.Handler) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	ln, err := openListener(ctx, address)
	if err != nil {
		return nil, err
	}
	log.Info().Str("control", ln.Addr().String()).Msg("control endpoint listening")
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	return func() {
		_ = s.Close()
		<-done
	}, nil
}
