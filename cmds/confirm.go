package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/plan"
)

func newConfirm() *cobra.Command {
	c := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Put a saved plan in force",
		Long: `confirm puts a plan that "plan --out" saved in force. It fails with exit code 3
if the configuration changed since the plan was made; plan again then. Confirming
a plan twice is harmless. Exit code 4 means that the outcome is unknown: confirm
the same plan again, which finds out.`,
		Args: cobra.ExactArgs(1),
	}
	address := adminFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		data, err := readFile(args[0])
		if err != nil {
			return err
		}
		p := new(plan.Plan)
		if err := model.DecodeStrict(data, p); err != nil {
			return err
		}
		r, err := callAdmin[plan.Confirmation](*address, "POST", "/plans/"+p.ID+"/confirm", data)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s version=%d\n", r.Outcome, r.Version)
		return err
	}
	return c
}
