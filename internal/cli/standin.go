package cli

import (
	"net"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

func standinGroup() *group {
	return &group{
		name:        "standin",
		description: "run a small stand-in of an outside system, for tests",
		examples:    []string{"standin platform --listen 127.0.0.1:7000", "standin target --listen 127.0.0.2:8000 --name stock-1"},
		commands:    []command{&standinPlatformCommand{}, &standinTargetCommand{}},
	}
}

// server is a stand-in that serves until it is closed.
type server interface {
	Serve(listener net.Listener) error
	Close() error
}

// serveUntilInterrupted serves on address until SIGINT or SIGTERM.
func serveUntilInterrupted(address string, s server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &UsageError{Cause: err}
	}
	ctx, cancel := interrupted()
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return s.Close()
	}
}

// standinPlatformCommand runs the platform stand-in.
type standinPlatformCommand struct{ listen string }

func (c *standinPlatformCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "run the stand-in of the platform"
	sub.AdditionalHelpAppend = examples("standin platform --listen 127.0.0.1:7000")
	sub.String(&c.listen, "l", "listen", "ip:port to listen on")
	return sub
}

func (c *standinPlatformCommand) run(Streams) error {
	if err := requireFlags(requirement{"listen", c.listen}); err != nil {
		return err
	}
	return serveUntilInterrupted(c.listen, platformd.NewServer())
}

// standinTargetCommand runs a target stand-in.
type standinTargetCommand struct {
	listen  string
	name    string
	slots   int
	meanMs  float64
	seed    int
	journal string
}

func (c *standinTargetCommand) subcommand() *flaggy.Subcommand {
	c.slots = 3
	c.meanMs = 5
	c.seed = 1
	sub := flaggy.NewSubcommand("target")
	sub.Description = "run the stand-in of a target"
	sub.AdditionalHelpAppend = examples("standin target --listen 127.0.0.2:8000 --name stock-1 --mean-ms 5")
	sub.String(&c.listen, "l", "listen", "ip:port to listen on")
	sub.String(&c.name, "n", "name", "VM name")
	sub.Int(&c.slots, "", "slots", "requests run at once")
	sub.Float64(&c.meanMs, "", "mean-ms", "mean service time in milliseconds")
	sub.Int(&c.seed, "", "seed", "seed of the service times")
	sub.String(&c.journal, "", "journal", "file that a line of JSON is added to for each event")
	return sub
}

func (c *standinTargetCommand) run(Streams) error {
	if err := requireFlags(requirement{"listen", c.listen}, requirement{"name", c.name}); err != nil {
		return err
	}
	options := targetd.Options{
		Name:        c.name,
		Slots:       c.slots,
		MeanService: time.Duration(c.meanMs * float64(time.Millisecond)),
		Seed:        uint64(c.seed),
		Exit:        func() { os.Exit(ExitFailure) },
	}
	if c.journal != "" {
		file, err := os.OpenFile(c.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
		if err != nil {
			return &UsageError{Cause: err}
		}
		defer func() { _ = file.Close() }()
		options.Journal = file
	}
	return serveUntilInterrupted(c.listen, targetd.New(options))
}

// journalMode is the mode of a new journal file.
const journalMode = 0o600
