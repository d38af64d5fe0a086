package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/entry"
	"rhubarbdrift.example/logs"
	"rhubarbdrift.example/platform"
)

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run an entry host on the users' platform",
		Long: `entry runs one entry host of a fleet on the users' platform. It reads the settings
file that the environment variable ` + platform.Variable + ` names, and takes the
configuration, the targets and the other daemons from the platform's store. It
writes one line of key=value pairs for each decision to the standard output.

SIGHUP reads the settings again; settings that cannot be used are logged and the
old ones stay. SIGTERM starts a planned stop: the host reports that it is not
ready, finishes all running requests and exits with code 0.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.Variable)
			s, err := platform.Load(path)
			if err != nil {
				return err
			}
			out := logs.NewQueue(c.OutOrStdout())
			defer out.Close()
			log := logs.New(out, "info").With().Str("host", string(s.Host)).Logger()
			e, err := entry.New(s, platform.New(s.Domains), entry.WithLog(log))
			if err != nil {
				return err
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			go func() {
				for range hup {
					next, err := platform.Load(path)
					e.Reload(next, err)
				}
			}()
			return e.Run(c.Context())
		},
	}
}
