package targetclient

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Causes of NotSentError and LostError.
var (
	// ErrCanceled means that Attempt.Cancel was called.
	ErrCanceled = errs.New("attempt canceled")
	// ErrTimeout means that the attempt's deadline passed.
	ErrTimeout = errs.New("attempt timed out")
	// ErrClosed means that the connection was closed, other than by this client, before
	// the response was complete.
	ErrClosed = errs.New("connection closed")
	// ErrTooLarge means that the response is larger than MaxResponseBytes.
	ErrTooLarge = errs.New("response too large")
	// ErrInterim means that too many interim responses came before the final one.
	ErrInterim = errs.New("too many interim responses")
	// ErrNoLength means that the response declares no length, so that a truncated
	// response can't be told from a whole one.
	ErrNoLength = errs.New("response has no declared length")
)

// NotSentError reports an attempt of which nothing was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("targetclient: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports an attempt that was sent, at least in part, and has no complete
// response. The target may have run it.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("targetclient: no response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// MismatchError reports a response to another attempt.
type MismatchError struct{ Want, Have string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response is for attempt %q, want %q", e.Have, e.Want)
}

// ConnectionLimitError reports that the limit of open connections was reached. Address is
// the target of the failed attempt.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connection limit of %d reached for %s", e.Limit, e.Address)
}
