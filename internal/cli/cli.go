// Package cli holds the subcommands of the poplarwheel binary.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the command was understood and failed.
	ExitFailure = 1
	// ExitUsage means that the command line or an input file is wrong.
	ExitUsage = 2
	// ExitConflict means that another operator changed the configuration first.
	ExitConflict = 3
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

// UsageError reports a wrong command line or input file.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// Main runs the subcommand that args name and returns the exit code.
func Main(args []string, streams Streams) int {
	parser := flaggy.NewParser("poplarwheel")
	parser.Description = "load balancer for servers whose load shifts in milliseconds"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	commands := map[*flaggy.Subcommand]command{}
	for _, c := range topLevel() {
		sub := c.subcommand()
		parser.AttachSubcommand(sub, 1)
		commands[sub] = c
	}
	attachStandins(parser, commands)
	if err := parser.ParseArgs(args); err != nil {
		return report(streams, &UsageError{Cause: err})
	}
	for sub, c := range commands {
		if sub.Used {
			return report(streams, c.run(streams))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func topLevel() []command {
	return []command{
		&entryCommand{},
		&proposeCommand{},
		&acceptCommand{},
		&statusCommand{},
		&dumpCommand{},
		&callCommand{},
		&demoCommand{},
		&versionCommand{},
	}
}

func attachStandins(parser *flaggy.Parser, commands map[*flaggy.Subcommand]command) {
	parent := flaggy.NewSubcommand("standin")
	parent.Description = "run a small stand-in of an outside system, for tests"
	for _, c := range []command{&standinPlatformCommand{}, &standinTargetCommand{}} {
		sub := c.subcommand()
		parent.AttachSubcommand(sub, 1)
		commands[sub] = c
	}
	parser.AttachSubcommand(parent, 1)
}

func report(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(streams.Err, "poplarwheel:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	if isConflict(err) {
		return ExitConflict
	}
	return ExitFailure
}

// readInput reads a file, or standard input for "-".
func readInput(streams Streams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(streams.In)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{Cause: err}
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

// versionCommand prints the version.
type versionCommand struct{}

func (c *versionCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	return sub
}

func (c *versionCommand) run(streams Streams) error {
	_, err := fmt.Fprintln(streams.Out, "poplarwheel", Version)
	return err
}
