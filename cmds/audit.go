package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/plan"
)

// newAudit returns the command audit. It prints the first 12 digits of a plan ID, like
// printPlan.
func newAudit() *cobra.Command {
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit trail, newest change first",
		Args:  cobra.NoArgs,
	}
	address := adminFlag(c)
	limit := c.Flags().Int("limit", 20, "number of changes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		list, err := callAdmin[[]plan.AuditRecord](*address, "GET", fmt.Sprintf("/audit?limit=%d", *limit), nil)
		if err != nil {
			return err
		}
		for _, r := range *list {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "time=%s operator=%s from=%d to=%d outcome=%s plan=%s\n",
				r.Time.Format("2006-01-02T15:04:05.000Z"), r.Operator, r.From, r.To, r.Outcome, r.PlanID[:12])
			for _, d := range r.Changes {
				_, _ = fmt.Fprintln(c.OutOrStdout(), "  "+d.String())
			}
		}
		return nil
	}
	return c
}
