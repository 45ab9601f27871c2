package cli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/adminclient"
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

// ExclusiveFlagsError reports flags of which more than one, or none, was given.
type ExclusiveFlagsError struct {
	Flags []string
	// Required is set if one of them must be given.
	Required bool
}

// Error implements error.
func (e *ExclusiveFlagsError) Error() string {
	names := "--" + strings.Join(e.Flags, " and --")
	if e.Required {
		return "exactly one of " + names + " must be given"
	}
	return "only one of " + names + " can be given"
}

// MissingTokenError reports a command of the administration API without a token.
type MissingTokenError struct{}

// Error implements error.
func (e *MissingTokenError) Error() string {
	return "a token must be given by --token-file or " + tokenVariable
}

// BadTokenError reports a token that can't be one. It doesn't show the token.
type BadTokenError struct{}

// Error implements error.
func (e *BadTokenError) Error() string {
	return "the token must be one line of printable ASCII without spaces"
}

// UnconfirmedError reports entry VMs that didn't confirm a lifted quarantine.
type UnconfirmedError struct{ Entries []string }

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return "not confirmed by " + strings.Join(e.Entries, ", ")
}

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
	var refused *adminapi.Error
	if errors.As(err, &refused) {
		reportChanges(streams, refused)
	}
	return exitCode(err)
}

// reportChanges prints what others accepted since the base of a refused change.
func reportChanges(streams Streams, refused *adminapi.Error) {
	for _, change := range refused.Changes {
		verb := "changed"
		if change.Removed {
			verb = "removed"
		}
		_, _ = fmt.Fprintf(streams.Err, "  %s: %s in revision %d by %s\n", change.Service, verb, change.Revision, change.By)
	}
}

func exitCode(err error) int {
	var (
		unsure  *adminclient.UnsureError
		stale   *rollout.StaleError
		refused *adminapi.Error
	)
	switch {
	case errors.As(err, &unsure):
		return ExitUnsure
	case errors.As(err, &stale):
		return ExitConflict
	case errors.As(err, &refused):
		return refusalCode(refused.Code)
	case isUsage(err):
		return ExitUsage
	}
	return ExitFailure
}

// refusalCode returns the exit code for an error of the administration API.
func refusalCode(code adminapi.Code) int {
	switch code {
	case adminapi.CodeStale:
		return ExitConflict
	case adminapi.CodeUnsure:
		return ExitUnsure
	case adminapi.CodeInvalid, adminapi.CodeTooLarge:
		return ExitUsage
	}
	return ExitFailure
}

// isUsage reports whether the command line or its input is at fault.
func isUsage(err error) bool {
	var (
		usage     *UsageError
		missing   *MissingFlagError
		bad       *BadFlagError
		exclusive *ExclusiveFlagsError
		noToken   *MissingTokenError
		badToken  *BadTokenError
		name      *adminclient.NameError
		input     *InputError
		invalid   *strictjson.InvalidError
	)
	return errors.As(err, &usage) || errors.As(err, &missing) || errors.As(err, &bad) || errors.As(err, &exclusive) ||
		errors.As(err, &noToken) || errors.As(err, &badToken) || errors.As(err, &name) || errors.As(err, &input) || errors.As(err, &invalid)
}
