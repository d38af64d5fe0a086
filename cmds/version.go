package cmds

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// release is the version of the program, as the commands version and daemon report it.
const release = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "rhubarbdrift %s %s\n", release, runtime.Version())
			return err
		},
	}
}
