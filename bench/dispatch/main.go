// Command dispatch measures how calls fare under overload and while a target
// fails.
//
// It starts real entry daemons and target stand-ins on loopback and prints one
// line of key=value pairs a row.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// slots is the number of requests a target runs at once.
	slots = 3
	// meanService is the mean service time.
	meanService = 20 * time.Millisecond
	// agreed is the time within which an answer counts.
	agreed = 200 * time.Millisecond
	// entries is the number of entry daemons.
	entries = 3
	// targetsPerService is the number of targets of each service.
	targetsPerService = 8
	// capacity is the number of calls a second that a service's targets can run.
	capacity = float64(slots*targetsPerService) / (float64(meanService) / float64(time.Second))
)

type options struct {
	binary   string
	rows     string
	fault    string
	duration time.Duration
}

// Values of the flag rows.
const (
	// rowsOverload compares goodput with and without the queue at the entry, and
	// how it is shared between callers and services.
	rowsOverload = "overload"
	// rowsFaults lets one target fail in turn in each way.
	rowsFaults = "faults"
)

// UnknownRowsError reports a value of the flag rows that doesn't exist.
type UnknownRowsError struct{ Rows string }

// Error implements error.
func (e *UnknownRowsError) Error() string { return fmt.Sprintf("unknown rows %q", e.Rows) }

func main() {
	o := options{rows: rowsOverload, duration: 3 * time.Second}
	c := command.New("dispatch", "measure how calls fare under overload and while a target fails")
	c.Binary(&o.binary)
	c.String(&o.rows, "", "rows", "what to measure: overload or faults")
	c.String(&o.fault, "", "fault", "with --rows faults: measure this one only")
	c.Duration(&o.duration, "", "duration", "length of each row")
	c.Run(func() error { return run(o) })
}

func run(o options) error {
	switch o.rows {
	case rowsOverload:
		return withFleet(o, func(f *fleet.Fleet) error { return overload(f, o) })
	case rowsFaults:
		return faults(o)
	}
	return &command.UsageError{Cause: &UnknownRowsError{Rows: o.rows}}
}

// withFleet starts the processes for the time of a measurement.
func withFleet(o options, measure func(f *fleet.Fleet) error) error {
	dir, err := os.MkdirTemp("", "poplarwheel-dispatch")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(fleet.Options{
		Binary:  o.binary,
		Dir:     dir,
		Entries: entries,
		Targets: 2 * targetsPerService,
		TargetArgs: func(int) []string {
			return []string{"--mean-ms", fmt.Sprint(meanService.Milliseconds())}
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	return measure(f)
}
