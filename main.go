// Command rhubarbdrift is a proxy fleet between callers and targets with gray
// failures. See package cmds for its commands and docs/design.md for its design.
package main

import (
	"os"

	"rhubarbdrift.example/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
