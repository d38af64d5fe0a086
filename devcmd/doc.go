// Package devcmd holds the commands for tests and development, one per file:
// stand-ins for the platform, for targets and for faulty links, the load
// generator, and the measurements of docs/CAPACITY.md.
//
// # Usage
//
//	root.AddCommand(devcmd.Commands()...)
//
// Commands that run servers shut down gracefully on SIGTERM. For the platform the
// program that adds the commands must end their context on SIGTERM. Each command's Long
// text documents its flags, formats and exit status.
package devcmd

import "github.com/spf13/cobra"

// Commands returns all commands of the package.
func Commands() []*cobra.Command {
	return []*cobra.Command{newPlatform(), newTarget(), newRelay(), newLoad(), newSlopes()}
}
