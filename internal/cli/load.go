package cli

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/load"
)

// loadCommand sends requests at a fixed rate.
type loadCommand struct {
	callerFlags
	resends     int
	perSecond   float64
	duration    time.Duration
	withinMs    int
	arrivals    string
	maxInFlight int
	seed        int
	json        bool
}

// resendPause is the time before the first resend.
const resendPause = 50 * time.Millisecond

func (c *loadCommand) subcommand() *flaggy.Subcommand {
	c.perSecond = 100
	c.duration = 10 * time.Second
	c.withinMs = 1000
	c.arrivals = string(load.Poisson)
	c.maxInFlight = 1024
	c.seed = 1
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send requests at a fixed rate and report latency percentiles"
	sub.AdditionalHelpAppend = "\nRequests are sent at their intended times whether or not earlier ones have been\nanswered, and latency counts from the intended time.\n" + examples(
		"load --entries 10.20.0.11:8080 --service stock --type availability --rate 200 --duration 30s --within-ms 250",
		"load --entries 10.20.0.11:8080 --service bookings --type book --once --resends 3 --json",
	)
	c.attach(sub)
	sub.Int(&c.resends, "", "resends", "resends of a request without a target's answer")
	sub.Float64(&c.perSecond, "r", "rate", "requests per second")
	sub.Duration(&c.duration, "d", "duration", "time over which requests are sent")
	sub.Int(&c.withinMs, "", "within-ms", "agreed time for an answer in milliseconds")
	sub.String(&c.arrivals, "", "arrivals", "constant or poisson")
	sub.Int(&c.maxInFlight, "", "max-in-flight", "requests in flight beyond which requests are sent late")
	sub.Int(&c.seed, "", "seed", "seed of the arrivals")
	sub.Bool(&c.json, "", "json", "print JSON")
	return sub
}

func (c *loadCommand) check() error {
	err := c.callerFlags.check()
	switch {
	case err != nil:
		return err
	case c.perSecond <= 0:
		return &BadFlagError{Flag: "rate", Want: "above 0"}
	case c.duration <= 0:
		return &BadFlagError{Flag: "duration", Want: "above 0"}
	case c.withinMs <= 0:
		return &BadFlagError{Flag: "within-ms", Want: "above 0"}
	case c.maxInFlight <= 0:
		return &BadFlagError{Flag: "max-in-flight", Want: "above 0"}
	case c.resends < 0:
		return &BadFlagError{Flag: "resends", Want: "0 or more"}
	case c.arrivals != string(load.Constant) && c.arrivals != string(load.Poisson):
		return &BadFlagError{Flag: "arrivals", Want: "constant or poisson"}
	}
	return nil
}

func (c *loadCommand) run(streams Streams) error {
	if err := c.check(); err != nil {
		return err
	}
	request, err := c.request(streams)
	if err != nil {
		return err
	}
	request.Timeout = time.Duration(c.withinMs) * time.Millisecond
	caller := c.caller(c.maxInFlight)
	if _, err := caller.Entries(); err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	recorder := load.NewRecorder()
	load.Run(ctx, load.Options{
		PerSecond:   c.perSecond,
		Duration:    c.duration,
		Arrivals:    load.Arrivals(c.arrivals),
		Within:      time.Duration(c.withinMs) * time.Millisecond,
		MaxInFlight: c.maxInFlight,
		Seed:        uint64(c.seed),
	}, recorder, func(ctx context.Context, _ uint64) load.Result { return c.send(ctx, caller, request) })
	report := recorder.Report()
	if c.json {
		return writeJSON(streams, report)
	}
	return report.WriteText(streams.Out)
}

func (c *loadCommand) send(ctx context.Context, caller *client.Client, request client.Request) load.Result {
	if err := c.addKey(caller, &request); err != nil {
		return load.Result{Outcome: client.NotRun}
	}
	answer, _ := caller.DoUntilRan(ctx, request, client.Resends{Max: c.resends, Pause: resendPause})
	return load.Result{
		Outcome: answer.Outcome,
		Reason:  answer.Reason,
		Correct: answer.Outcome == client.Ran && answer.Status < firstErrorStatus,
		Resends: answer.Resends,
	}
}

// firstErrorStatus is the lowest HTTP status of a failure.
const firstErrorStatus = 400
