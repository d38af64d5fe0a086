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
file that the environment variable ` + platform.SettingsFileEnv + ` names, and reads the
configuration, the targets and the other daemons from the platform's store. It
logs each decision as a line of key=value pairs on standard output.

SIGHUP reloads the settings; if they are not valid, the error is logged and the
old settings stay in force. SIGTERM starts a planned stop: the host reports that
it is not ready, finishes running requests, refuses new ones that might not end within
the grace period, and exits with code 0.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsFileEnv)
			s, err := platform.Load(path)
			if err != nil {
				return err
			}
			out := logs.NewAsyncWriter(c.OutOrStdout())
			defer out.Close()
			log := logs.New(out, "info").With().Str("host", string(s.Host)).Logger()
			e, err := entry.New(s, platform.New(s.RegionOfDomain), entry.WithLog(log))
			if err != nil {
				return err
			}
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			go func() { // runs until the program exits
				for range hangups {
					reloaded, err := platform.Load(path)
					e.Reload(reloaded, err)
				}
			}()
			return e.Run(c.Context())
		},
	}
}
