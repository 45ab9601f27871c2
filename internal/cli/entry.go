package cli

import (
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/settings"
)

// entryCommand runs the entry daemon.
type entryCommand struct {
	settingsPath string
	check        bool
	json         bool
}

// settingsReply is the JSON output of a check of settings.
type settingsReply struct {
	Valid bool `json:"valid"`
}

func (c *entryCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "run the entry daemon"
	sub.AdditionalHelpAppend = examples("entry --settings entry.json", "entry --settings entry.json --check", "entry --settings entry.json --check --json", "entry --settings - < entry.json")
	sub.String(&c.settingsPath, "s", "settings", "settings file, - for standard input")
	sub.Bool(&c.check, "", "check", "check the settings and exit")
	sub.Bool(&c.json, "", "json", "print the result of a check as JSON")
	return sub
}

// logCloseLimit bounds the wait for the log's reader at the end.
const logCloseLimit = 200 * time.Millisecond

func (c *entryCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"settings", c.settingsPath}); err != nil {
		return err
	}
	data, err := readInput(streams, c.settingsPath)
	if err != nil {
		return err
	}
	parsed, err := settings.Parse(data)
	if err != nil {
		return &InputError{Path: c.settingsPath, Cause: err}
	}
	if c.check {
		return c.printValid(streams)
	}
	lines := logging.NewAsyncWriter(streams.Err)
	defer lines.Close(logCloseLimit)
	log := logging.New(lines, parsed.LogLevel)
	invariant.LogTo(log)
	ctx, cancel := interrupted()
	defer cancel()
	return daemon.New(parsed, log).Run(ctx)
}

func (c *entryCommand) printValid(streams Streams) error {
	if c.json {
		return writeJSON(streams, settingsReply{Valid: true})
	}
	_, err := fmt.Fprintln(streams.Out, "settings are valid")
	return err
}
