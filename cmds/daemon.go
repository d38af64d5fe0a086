package cmds

import (
	"github.com/spf13/cobra"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/daemon"
	"rhubarbdrift.example/logs"
)

func newDaemon() *cobra.Command {
	return &cobra.Command{
		Use:   "daemon SETTINGS",
		Short: "Run a daemon of the fleet",
		Long: `daemon runs one entry host of the fleet with the settings of a file (JSON with
comments; see "check"). It serves callers, peers and operators on the addresses
of the settings and logs each event as a line of key=value pairs on standard
error.

SIGTERM starts a planned stop: the daemon reports that it is not ready, waits
for the load balancer (setting "drain"), finishes all running requests, releases
its leases and exits with code 0. A second signal has no effect.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			log := logs.New(c.ErrOrStderr(), s.Level).With().Str("host", string(s.Host)).Logger()
			d, err := daemon.New(s, daemon.WithLog(log), daemon.WithRelease(release))
			if err != nil {
				return err
			}
			return d.Run(c.Context())
		},
	}
}
