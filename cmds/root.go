// Package cmds implements the commands of the rhubarbdrift program, one per file.
//
// # Usage
//
//	os.Exit(cmds.Execute())
//
// # Exit codes
//
//	0  success
//	1  the command failed; the message contains the remedy
//	2  the command line is not valid
//	3  conflict with another change: plan again
//	4  the outcome of a change is unknown: run the command again
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/devcmd"
	"rhubarbdrift.example/fault"
)

// The exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// usageKind is the kind of errors in the flags of a command line.
const usageKind fault.Kind = "usage"

// Execute runs the command line and returns the exit code.
func Execute() int {
	// A second signal has no effect, so that it can't interrupt a planned stop.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "rhubarbdrift:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch fault.KindOf(err) {
	case usageKind:
		return exitUsage
	case fault.KindConflict:
		return exitConflict
	case fault.KindUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "rhubarbdrift",
		Short: "A proxy fleet for targets with gray failures",
		Long: `rhubarbdrift runs between callers and targets that turn slow, half-broken or
dishonest about their health. All daemons of a fleet are equal; durable state is
stored through the platform's object API.

Operators change the configuration in two steps: "plan" shows what an edit would
change, and "confirm" puts the plan in force.

Exit codes: 0 success; 1 failure; 2 wrong command line; 3 conflict, plan again;
4 the outcome of a change is unknown, run the command again.`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.Wrap(usageKind, err, "wrong command line", "see the command's --help")
	})
	root.AddCommand(newDaemon(), newEntry(), newCheck(), newKey(), newVersion(),
		newPlan(), newConfirm(), newShow(), newStatus(), newAudit(), newExplain())
	root.AddCommand(devcmd.Commands()...)
	return root
}
