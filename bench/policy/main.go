// Command policy compares balancing policies on real entry daemons and target
// stand-ins, all inside this process and connected over loopback.
//
// An open-loop generator sends calls at fixed random times, and the latency of a
// call counts from the time it was due, so a stalled system hides nothing. A
// call without a correct answer counts with at least the deadline.
package main

import (
	"fmt"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
)

// options are the command's flags.
type options struct {
	seed    int
	rounds  int
	seconds float64
	full    bool
	only    string
	// slow multiplies every duration of a row.
	slow int
	// load picks the rows with this load; 0 keeps all.
	load float64
}

func main() {
	o := options{rounds: 2, seconds: 1.2, slow: 1}
	c := command.New("policy", "compare balancing policies on real entry daemons")
	c.Seed(&o.seed)
	c.Int(&o.rounds, "", "rounds", "passes over the rows of a table; the results of a row are merged")
	c.Float64(&o.seconds, "", "seconds", "measured time of a row and pass, in seconds, before --slow")
	c.Bool(&o.full, "", "full", "all tables instead of the short form")
	c.String(&o.only, "", "only", "run the table with this name alone")
	c.Int(&o.slow, "", "slow", "multiplies all durations of the rows, which divides their rate of calls")
	c.Float64(&o.load, "", "load", "run the rows with this load alone")
	c.Run(func() error { return run(o) })
}

func run(o options) error {
	began := time.Now()
	for _, table := range tables(o) {
		if err := runTable(o, table.atLoad(o.load).slowed(o.slow)); err != nil {
			return err
		}
	}
	fmt.Printf("elapsed_s=%.1f seed=%d slow=%d date=%s\n", time.Since(began).Seconds(), o.seed, o.slow, began.Format(time.DateOnly))
	return nil
}

// measured is the measured time of a row and pass.
func (o options) measured() time.Duration {
	return time.Duration(o.seconds * float64(o.slow) * float64(time.Second))
}

// runTable measures the rows of a table in turn, round by round, so that
// neighbours on the host disturb all rows alike.
func runTable(o options, table table) error {
	fleet, err := startFleet(table.deployment)
	if err != nil {
		return err
	}
	defer fleet.close()
	results := make([]result, len(table.rows))
	for round := range o.rounds {
		for i, row := range table.rows {
			measured, err := fleet.measureQuiet(row, uint64(o.seed+round), o.measured())
			if err != nil {
				return err
			}
			results[i].merge(measured)
		}
	}
	print(table, results)
	fmt.Printf("table=%s repeated_passes=%d\n", table.name, fleet.repeated)
	return nil
}
