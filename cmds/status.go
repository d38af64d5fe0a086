package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/admin"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

func newStatus() *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, targets with their verdicts, and customers",
		Long: `status prints a daemon's view of the fleet: whether its configuration is accepted
in its cell, the members of the cell with their versions, the targets with their
verdicts and the evidence, and the customers with their limits and their usage on
this daemon. --json prints the same as JSON.`,
		Args: cobra.NoArgs,
	}
	address := adminFlag(c)
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := callAdmin[admin.Status](*address, "GET", "/status", nil)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(s)
		}
		return printStatus(c.OutOrStdout(), s)
	}
	return c
}

func printStatus(out io.Writer, s *admin.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	row("host\tregion\tdomain\tcell\tversion\taccepted\tfresh\tready\tplatform\n")
	row("%s\t%s\t%s\t%s\t%d\t%t\t%t\t%t\t%t\n\n", s.Host, s.Region, s.Domain, s.Cell, s.Version, s.Accepted, s.Fresh, s.Ready, s.PlatformReachable)
	row("cell\treached\thosts\tlive\tversion\taccepted\n")
	for _, c := range s.Cells {
		row("%s\t%t\t%d\t%d\t%d\t%d\n", c.Cell, c.Reached, c.Hosts, c.Live, c.Version, c.Accepted)
	}
	row("\ndaemon\tversion\tlive\tseen ms ago\n")
	for _, d := range s.Daemons {
		row("%s\t%d\t%t\t%d\n", d.Host, d.Version, d.Live, d.SinceHeartbeat)
	}
	row("\ntarget\tpool\tverdict\tscope\trunning\tevidence\n")
	for _, t := range s.Targets {
		row("%s\t%s\t%s\t%s\t%d\t%s\n", t.Target, t.Pool, t.Verdict, t.Scope, t.Running, t.Evidence)
	}
	row("\ncustomer\trate\tburst\tadmitted\trefused\n")
	for _, c := range s.Customers {
		row("%s\t%g\t%g\t%d\t%d\n", c.Customer, c.Rate, c.Burst, c.Admitted, c.Refused)
	}
	return w.Flush()
}
