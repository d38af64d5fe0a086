package cmds

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/bench"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

const benchLong = `bench measures on loopback what one daemon adds to a request, with configuration
tables of the size that the fleet is designed for: latency against direct calls
to the same targets in the same run, and processor time. It starts the daemon
and the targets as processes of this program. See docs/bench.md.

  direct, daemon  latency of whole responses; added is the difference
  planned         from the planned start of a request
  sent            from its actual start; if it is much lower than planned, the
                  machine is too busy for the tool to keep its plan
  others          requests without a whole response
  processor       the daemon's processor time for one request
  idle            the daemon's use of one core in the rounds without it`

// newBench returns the command that measures one daemon.
func newBench() *cobra.Command {
	var (
		p       bench.Plan
		rates   []float64
		profile string
	)
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Measure what one daemon adds to a request",
		Long:    benchLong,
		Example: `  rhubarbdrift bench --rate 300 --rate 3000`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if p.Program, err = os.Executable(); err != nil {
				return err
			}
			for _, r := range rates {
				p.Rates = append(p.Rates, model.Rate(r))
			}
			if profile == "" {
				return runBench(c, p)
			}
			f, err := create(profile)
			if err != nil {
				return fault.Wrap(fault.Unavailable, err, "cannot create the profile", "check the file name of --profile")
			}
			defer func() { _ = f.Close() }()
			p.Profile, p.Inside, p.Rounds, p.Rates = io.Writer(f), true, 1, p.Rates[:1]
			return runBench(c, p)
		},
	}
	flags := c.Flags()
	flags.Float64SliceVar(&rates, "rate", []float64{300, 3000}, "requests per second; may be repeated")
	flags.DurationVar(&p.Round, "round", 5*time.Second, "length of a round")
	flags.IntVar(&p.Rounds, "rounds", 4, "rounds through the daemon, and as many direct ones")
	flags.IntVar(&p.Targets, "targets", 4, "stand-in targets")
	flags.DurationVar(&p.Work, "work", 0, "time that a target takes for a request")
	flags.StringVar(&profile, "profile", "", "file for a processor profile of one round at the first rate; the daemon then runs in this process")
	return c
}

func runBench(c *cobra.Command, p bench.Plan) error {
	report, err := bench.Run(c.Context(), p)
	if err != nil {
		return err
	}
	return report.Table(c.OutOrStdout())
}
