package devcmd

import (
	"time"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/origin"
)

const targetLong = `target runs a stand-in target: an HTTP server with slots, a connection cap, a
cold start and a drain mode, which injects faults on request. It is meant for
tests and demonstrations on one machine.

Every path other than those below executes a request. The request takes a slot
or is refused with status 503 and "Rhubarbdrift-Shed: 1", works for the time of
--work within the milliseconds of the header Rhubarbdrift-Deadline, and
responds with a body of ?size= bytes that is derived from the request id in the
header Rhubarbdrift-Request. ?chunked=1 sends the body in chunks.

  GET    /health              200 or 503
  GET    /load                slots and busy slots
  GET    /control             the current faults
  PUT    /control             replaces the faults
  POST   /control/silence     silences all connections that are open now
  POST   /control/cold        starts the cold start again
  GET    /control/executions  the requests that were executed
  DELETE /control/executions  empties this list

FAULTS

The faults are one JSON document, with comments. Shares are between 0 and 1
and add up to at most 1.

  slow       milliseconds added to the execution time
  late       like slow, but deadline and cancellation are ignored
  stall      share of requests that are executed and never answered
  fail       share that is answered with status 500 and not executed
  lose       share that is executed and ends with a closed connection
  truncate   share whose connection closes after half of the body
  freeze     share without progress after half of the body
  bare       share sent with neither Content-Length nor chunking
  paths      path prefixes that the above apply to, default all
  customers  customers that the above apply to, default all
  drain      true: responses ask for no new work
  shed       true: every request is refused
  health     "good" or "bad": what /health reports
  load       "good" or "bad": what /load reports
  stale      milliseconds for which /health and /load repeat their answer

SIGNALS

On SIGTERM the target stops accepting, finishes running requests and exits with
status 0. Requests that run longer than --grace are cut off, with status 1.`

// newTarget returns the command that runs a stand-in for a target.
func newTarget() *cobra.Command {
	var (
		listen, name, faults      string
		slots, connections        int
		work, coldDuration, grace time.Duration
		coldFactor                float64
		seed                      uint64
	)
	c := &cobra.Command{
		Use:     "target",
		Short:   "Run a stand-in target",
		Long:    targetLong,
		Example: `  rhubarbdrift target --listen 127.0.0.1:9001 --work 5ms --faults '{"fail":0.5,"health":"good"}'`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var f origin.Faults
			if err := model.DecodeStrict([]byte(faults), &f); err != nil {
				return err
			}
			if err := f.Check(); err != nil {
				return err
			}
			ln, err := openListener(c.Context(), listen)
			if err != nil {
				return err
			}
			s := origin.New(origin.WithName(model.TargetID(name)), origin.WithSlots(model.Slots(slots)),
				origin.WithConnections(connections), origin.WithWork(work), origin.WithColdStart(coldDuration, coldFactor),
				origin.WithSeed(seed), origin.WithFaults(f))
			return serveUntilStopped(c.Context(), standinLog(c.OutOrStdout(), name), s, ln, grace)
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port; port 0 chooses a free one")
	flags.StringVar(&name, "name", "target", "name in the response header Rhubarbdrift-Target and in the log")
	flags.IntVar(&slots, "slots", int(origin.DefaultSlots), "requests executed at once")
	flags.IntVar(&connections, "connections", origin.DefaultConnections, "largest number of open connections")
	flags.DurationVar(&work, "work", 0, "time that executing a request takes, e.g. 5ms")
	flags.DurationVar(&coldDuration, "cold", 0, "length of the cold start, e.g. 10s")
	flags.Float64Var(&coldFactor, "cold-factor", 5, "factor by which requests take longer at the beginning of the cold start")
	flags.Uint64Var(&seed, "seed", 1, "seed of the choice of requests that fault shares apply to")
	flags.StringVar(&faults, "faults", "{}", "faults at the start, as JSON")
	flags.DurationVar(&grace, "grace", defaultGrace, "time allowed for running requests after SIGTERM")
	return c
}
