// Command soak runs the whole system as separate processes under a random
// schedule of failures and checks, against the targets' journals and the callers'
// records, what must always hold.
//
// The schedule depends on the seed alone. The exit code is 1 on a breach, with
// the seed, the schedule and the trace of each request concerned.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	var o options
	keep := flag.String("dir", "", "folder for logs and the journal (default: a temporary one)")
	flag.StringVar(&o.binary, "binary", "bin/poplarwheel", "path of the poplarwheel binary")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the schedule")
	flag.DurationVar(&o.duration, "duration", time.Minute, "length of the run")
	flag.IntVar(&o.entries, "entries", 13, "number of entry VMs")
	flag.IntVar(&o.targets, "targets", 12, "number of target VMs")
	flag.StringVar(&o.sabotage, "sabotage", "", "break the system on purpose: run-twice, false-not-run, foreign-answer or cut-request")
	flag.Parse()
	o.out = os.Stdout
	code, err := soak(o, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	os.Exit(code)
}

// soak makes a run in dir, or in a temporary folder, and returns the exit code.
func soak(o options, dir string) (int, error) {
	o.dir = dir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "poplarwheel-soak")
		if err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		o.dir = temporary
	}
	breaches, err := run(o)
	if err != nil {
		return 0, err
	}
	for _, b := range breaches {
		fmt.Fprintln(o.out, b)
	}
	fmt.Fprintf(o.out, "seed=%d duration=%s breaches=%d\n", o.seed, o.duration, len(breaches))
	if len(breaches) > 0 {
		return 1, nil
	}
	return 0, nil
}
