package cmds

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/plan"
)

func newCheck() *cobra.Command {
	var edit bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file or an edit without a running fleet",
		Long: `check reads a daemon's settings file (JSON with comments) and reports the
first mistake with its line or field, what is allowed and the remedy. With
--edit the file is an edit that is applied to an empty configuration.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			check := checkSettings
			if edit {
				check = checkEdit
			}
			if err := check(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "ok")
			return err
		},
	}
	c.Flags().BoolVar(&edit, "edit", false, "the file is an edit")
	return c
}

func checkSettings(path string) error {
	_, err := config.Load(path)
	return err
}

func checkEdit(path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	e, err := plan.DecodeEdit(data)
	if err != nil {
		return err
	}
	_, err = e.Apply(new(model.Intent))
	return err
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path) //#nosec G304 -- the operator names the file
	if err != nil {
		return nil, fault.Wrap(fault.KindMissing, err, "the file cannot be read", "check the path and its permissions")
	}
	return data, nil
}
