// Package cli holds the subcommands of the poplarwheel binary.
package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/integrii/flaggy"
)

// Version is the version of the binary.
const Version = "0.1.0"

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is one subcommand.
type command interface {
	// subcommand returns the command's flags, bound to its fields.
	subcommand() *flaggy.Subcommand
	// run carries the command out.
	run(streams Streams) error
}

// Main runs the subcommand that args name and returns the exit code.
func Main(args []string, streams Streams) int {
	parser := newParser()
	commands := map[*flaggy.Subcommand]command{}
	for _, c := range topLevel() {
		sub := c.subcommand()
		parser.AttachSubcommand(sub, 1)
		commands[sub] = c
	}
	for _, g := range groups() {
		g.attach(parser, commands)
	}
	args, wantsHelp := withoutHelp(args)
	if slices.Equal(args, []string{"--version"}) {
		args = []string{"version"}
	}
	if err := parser.ParseArgs(args); err != nil {
		return report(streams, &UsageError{Cause: err})
	}
	if wantsHelp {
		return report(streams, writeHelp(parser, streams.Out))
	}
	for sub, c := range commands {
		if sub.Used {
			return report(streams, c.run(streams))
		}
	}
	_ = writeHelp(parser, streams.Err)
	return ExitUsage
}

func newParser() *flaggy.Parser {
	parser := flaggy.NewParser("poplarwheel")
	parser.Description = "load balancer for servers whose load shifts in milliseconds"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = true
	parser.ShowHelpWithHFlag = false
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = exitCodeHelp
	return parser
}

func topLevel() []command {
	return []command{
		&entryCommand{},
		&gatewayCommand{},
		&routesCommand{},
		&explainCommand{},
		&questionnaireCommand{},
		&proposeCommand{},
		&acceptCommand{},
		&statusCommand{},
		&historyCommand{},
		&servicesCommand{},
		&targetsCommand{},
		&dumpCommand{},
		&callCommand{},
		&loadCommand{},
		&demoCommand{},
		&versionCommand{},
	}
}

// readInput reads a file, or standard input for "-".
func readInput(streams Streams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(streams.In)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &InputError{Path: path, Cause: err}
	}
	return data, nil
}

func writeJSON(streams Streams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// interrupted returns a context that ends on SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
