// Package hangup keeps SIGHUP from ending a node that has just started. The platform sends it after
// a change of the settings file, at any time; without a handler it ends the process. The package
// relies on being initialized before the large packages of the program, since it imports little.
// All daemons run it.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// daemons are the commands that run a node. Other commands end when their terminal does.
var daemons = []string{"edge", "storage", "node"}

func init() {
	if isDaemon(os.Args) {
		signal.Ignore(syscall.SIGHUP)
	}
}

// isDaemon reports whether the command line may run a node.
func isDaemon(arguments []string) bool {
	return len(arguments) > 1 && slices.ContainsFunc(arguments[1:], func(argument string) bool { return slices.Contains(daemons, argument) })
}
