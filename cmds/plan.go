package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/plan"
)

// planFileMode is the mode of a saved plan, which only its owner may read.
const planFileMode = 0o600

func newPlan() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan EDIT",
		Short: "Show what an edit would change",
		Long: `plan sends an edit (JSON with comments) to a daemon and prints the changes that
it would make, one per line: + added, - removed, ~ modified. Nothing changes
until the plan is confirmed. --out saves the plan for "confirm".

The edit has the fields set (customers, routes, pools: added or replaced by id;
evacuated: failure domains whose targets get no requests), grant and withdraw
(keys), and remove (ids, and evacuated domains to be put back into service). While
domains are evacuated, the slots that remain in each pool are shown.`,
		Args: cobra.ExactArgs(1),
	}
	address := adminFlag(c)
	out := c.Flags().String("out", "", "file to save the plan to")
	c.RunE = func(c *cobra.Command, args []string) error {
		data, err := readFile(args[0])
		if err != nil {
			return err
		}
		p, err := callAdmin[plan.Plan](*address, "POST", "/plans", data)
		if err != nil {
			return err
		}
		printPlan(c.OutOrStdout(), p)
		return savePlan(*out, p)
	}
	return c
}

// printPlan prints a plan with the first 12 digits of its ID.
func printPlan(w io.Writer, p *plan.Plan) {
	_, _ = fmt.Fprintf(w, "plan %s on version %d: %d changes\n", p.ID[:12], p.Base, len(p.Changes))
	for _, c := range p.Changes {
		_, _ = fmt.Fprintln(w, c)
	}
	for _, s := range p.Slots {
		_, _ = fmt.Fprintln(w, s)
	}
	for _, s := range p.Warnings {
		_, _ = fmt.Fprintln(w, "warning:", s)
	}
}

func savePlan(path string, p *plan.Plan) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, planFileMode); err != nil {
		return fault.Wrap(fault.KindMissing, err, "the plan cannot be saved", "check the path of --out")
	}
	return nil
}
