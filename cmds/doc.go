// Package cmds holds the commands of the rhubarbdrift binary, one file per
// command.
//
// # Usage
//
// Each command has a constructor, whose result the root command adds:
//
//	root.AddCommand(newTarget(), newRelay(), newLoad())
//
// Commands that run servers stop gracefully on SIGTERM. The Long text of a
// command is its manual page.
package cmds
