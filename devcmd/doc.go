// Package devcmd holds the commands for trials and development, one per file:
// the stand-ins of the platform, of targets and of faulty links, the load tool,
// and the measurement of the capacity page.
//
// # Usage
//
//	root.AddCommand(devcmd.Commands()...)
//
// Commands that run servers stop gracefully on SIGTERM. The Long text of a
// command is its manual page.
package devcmd

import "github.com/spf13/cobra"

// Commands returns all commands of the package.
func Commands() []*cobra.Command {
	return []*cobra.Command{newPlatform(), newTarget(), newRelay(), newLoad(), newSlopes()}
}
