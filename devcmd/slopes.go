package devcmd

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/slope"
)

// newSlopes returns the command that produces the figures of docs/CAPACITY.md.
func newSlopes() *cobra.Command {
	var plot string
	c := &cobra.Command{
		Use:    "slopes",
		Short:  "Measure how costs grow with the size of the fleet",
		Hidden: true,
		Long: `slopes runs cells, owners, wallets and judges in this process on 127.0.0.1 and
prints how their costs grow with the sizes of the fleet and its configuration.
It takes about five minutes and should have the machine to itself.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := slope.Measure(c.Context(), slope.Full)
			if err != nil {
				return errors.Join(err, report.Print(c.OutOrStdout()))
			}
			if plot != "" {
				if err := os.WriteFile(plot, report.Plot(), 0o600); err != nil {
					return err
				}
			}
			return report.Print(c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&plot, "plot", "", "write a plot in SVG to this `file`")
	return c
}
