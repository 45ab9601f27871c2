//go:build review

// Command stand-2 runs the cases of the second review against gateway daemons, which it starts as
// separate processes. The store, the servers and the requesters are stand-ins within this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the names of their folders.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	err = cases[os.Args[1]](r)
	r.close()
	switch {
	case err != nil:
		r.logf("the case couldn't run: %v", err)
		os.Exit(exitNotRun)
	case r.broken > 0:
		r.logf("the rule was broken %d times", r.broken)
		os.Exit(exitBroken)
	}
	r.logf("the rule held")
	os.Exit(exitHeld)
}
