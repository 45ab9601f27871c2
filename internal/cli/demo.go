package cli

import (
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/demo"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// demoCommand runs whole deployments on loopback.
type demoCommand struct {
	duration time.Duration
	serve    bool
	dir      string
	json     bool
	logLevel string
	seed     int
}

// BrokenError reports a demo whose invariants did not hold.
type BrokenError struct{ Count int }

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("%d invariants did not hold", e.Count) }

func (c *demoCommand) subcommand() *flaggy.Subcommand {
	c.duration = 15 * time.Second
	c.logLevel = "panic"
	c.seed = 1
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "run two whole deployments on loopback and check every invariant"
	sub.AdditionalHelpAppend = examples("demo", "demo --duration 60s --json > summary.json", "demo --serve --duration 1h --dir /tmp/demo")
	sub.Duration(&c.duration, "d", "duration", "time over which requests are sent and faults are spread")
	sub.Bool(&c.serve, "", "serve", "go on until interrupted")
	sub.String(&c.dir, "", "dir", "folder for files with which to try the operators' steps on a serving demo")
	sub.Bool(&c.json, "", "json", "print the summary as JSON, and progress on standard error")
	sub.String(&c.logLevel, "", "log-level", "level of the daemons' logs on standard error")
	sub.Int(&c.seed, "", "seed", "seed of the arrivals and service times")
	return sub
}

func (c *demoCommand) run(streams Streams) error {
	if c.duration <= 0 {
		return &BadFlagError{Flag: "duration", Want: "above 0"}
	}
	if c.dir != "" && !c.serve {
		return &BadFlagError{Flag: "dir", Want: "given with --serve only"}
	}
	log := logging.New(streams.Err, c.logLevel)
	invariant.OnBreach(func(breach *invariant.BreachError) {
		_, _ = fmt.Fprintln(streams.Err, breach)
	})
	options := demo.Options{Duration: c.duration, Serve: c.serve, Dir: c.dir, Seed: uint64(c.seed), Progress: streams.Out, Log: log}
	if c.json {
		options.Progress = streams.Err
	}
	ctx, cancel := interrupted()
	defer cancel()
	summary, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.print(streams, summary); err != nil {
		return err
	}
	if !summary.Held() {
		return &BrokenError{Count: len(summary.Broken)}
	}
	return nil
}

func (c *demoCommand) print(streams Streams, summary *demo.Summary) error {
	if c.json {
		return writeJSON(streams, summary)
	}
	return summary.WriteText(streams.Out)
}
