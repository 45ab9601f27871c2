// Package command holds what the command lines of the benches have in common.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

const (
	// defaultBinary is where make build puts the binary.
	defaultBinary = "bin/poplarwheel"
	// defaultSeed is the seed unless another is given.
	defaultSeed = 1
)

// Exit codes.
const (
	// ExitFailure means that a measurement failed.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

// Command is a bench's command line.
type Command struct {
	*flaggy.Parser
}

// New returns a command line without flags.
func New(name, description string) *Command {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	return &Command{Parser: parser}
}

// Binary adds the flag for the path of the poplarwheel binary.
func (c *Command) Binary(path *string) {
	*path = defaultBinary
	c.String(path, "", "binary", "path of the poplarwheel binary")
}

// Seed adds the flag for the seed of everything random.
func (c *Command) Seed(seed *int) {
	*seed = defaultSeed
	c.Int(seed, "", "seed", "seed of arrivals, service times and faults")
}

// UsageError reports a flag whose value can't be used.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// Run parses the command line, calls run and ends the process if either fails.
func (c *Command) Run(run func() error) {
	err := c.Parse()
	if err != nil {
		err = &UsageError{Cause: err}
	} else {
		err = run()
	}
	if err == nil {
		return
	}
	_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name, err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}
