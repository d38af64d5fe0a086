package cmds

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/model"
)

func newShow() *cobra.Command {
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force on a daemon",
		Args:  cobra.NoArgs,
	}
	address := adminFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		in, err := callAdmin[model.Intent](*address, "GET", "/config", nil)
		if err != nil {
			return err
		}
		data, err := json.MarshalIndent(in, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), string(data))
		return err
	}
	return c
}
