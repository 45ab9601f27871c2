package cli

import (
	"errors"
	"fmt"

	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
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
	// ExitUnsure means that a change may or may not have taken effect.
	ExitUnsure = 4
)

// exitCodeHelp ends the help of the binary.
const exitCodeHelp = `
Exit codes: 0 success, 1 failure, 2 wrong command line or input file,
3 another operator changed the configuration first, 4 a change may or may not
have taken effect. docs/CLI.md describes every subcommand.`

// UsageError reports a wrong command line.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// MissingFlagError reports a flag that the subcommand needs.
type MissingFlagError struct{ Flag string }

// Error implements error.
func (e *MissingFlagError) Error() string { return fmt.Sprintf("flag --%s must be given", e.Flag) }

// BadFlagError reports a flag whose value can't be used.
type BadFlagError struct {
	Flag string
	// Want says what would be right.
	Want string
}

// Error implements error.
func (e *BadFlagError) Error() string { return fmt.Sprintf("flag --%s must be %s", e.Flag, e.Want) }

// InputError reports an input file that can't be read or used.
type InputError struct {
	// Path is the file, or - for standard input.
	Path  string
	Cause error
}

// Error implements error.
func (e *InputError) Error() string {
	if e.Path == "-" {
		return fmt.Sprintf("standard input: %v", e.Cause)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// requirement is a flag and whether it was given.
type requirement struct {
	flag  string
	value string
}

// requireFlags returns a *MissingFlagError for the first flag without a value.
func requireFlags(requirements ...requirement) error {
	for _, r := range requirements {
		if r.value == "" {
			return &MissingFlagError{Flag: r.flag}
		}
	}
	return nil
}

// report prints the error, if any, and returns the exit code.
func report(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(streams.Err, "poplarwheel:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		usage   *UsageError
		missing *MissingFlagError
		bad     *BadFlagError
		input   *InputError
		invalid *strictjson.InvalidError
		stale   *rollout.StaleError
		unsure  *rollout.UnsureError
	)
	switch {
	case errors.As(err, &stale):
		return ExitConflict
	case errors.As(err, &unsure):
		return ExitUnsure
	case errors.As(err, &usage), errors.As(err, &missing), errors.As(err, &bad), errors.As(err, &input), errors.As(err, &invalid):
		return ExitUsage
	}
	return ExitFailure
}
