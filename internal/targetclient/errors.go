package targetclient

import (
	"errors"
	"fmt"
)

// NotSentError reports an attempt of which no byte has left.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("targetclient: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports an attempt that was sent, at least in part, and has no whole
// answer. The target may have run it.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("targetclient: answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ForeignAnswerError reports an answer to another attempt.
type ForeignAnswerError struct{ Want, Have string }

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer is for attempt %q, want %q", e.Have, e.Want)
}

// ConnectionLimitError reports a target with as many open connections as this
// daemon may have.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections to %s are open", e.Limit, e.Address)
}

// ErrCanceled is the cause of the errors of canceled attempts.
var ErrCanceled = errors.New("attempt canceled")

// ErrNoLength is the cause of the errors of answers whose end can't be told from
// a lost connection.
var ErrNoLength = errors.New("answer without a length")

// ErrInterim is the cause of the errors of answers that begin with too many
// interim responses.
var ErrInterim = errors.New("too many interim responses")
