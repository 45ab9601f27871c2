// Package hangup makes a starting daemon ignore SIGHUP, which tells it to reload its
// settings but by default terminates a Go process.
//
// The packages that a daemon imports take some time to initialize, and a signal in that
// time would end the daemon. This package has almost no imports, so that it is among the
// first to be initialized. The daemon installs its own handler once it runs. Earlier
// signals can be ignored because the daemon reads its settings after them anyway.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// daemonCommands are the subcommands that run as daemons.
var daemonCommands = []string{"gateway", "entry"}

func init() {
	if runsDaemon(os.Args) {
		signal.Ignore(syscall.SIGHUP)
	}
}

// runsDaemon reports whether the command line args runs a daemon.
func runsDaemon(args []string) bool { return len(args) > 1 && slices.Contains(daemonCommands, args[1]) }
