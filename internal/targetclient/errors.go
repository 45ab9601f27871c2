package targetclient

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Causes of the errors of attempts.
var (
	// ErrCanceled means that Attempt.Cancel was called.
	ErrCanceled = errs.New("attempt canceled")
	// ErrTimeout means that the attempt's deadline has passed.
	ErrTimeout = errs.New("attempt timed out")
	// ErrClosed means that the target closed the connection before a whole answer.
	ErrClosed = errs.New("connection closed")
	// ErrTooLarge means that the answer is above MaxAnswerBytes.
	ErrTooLarge = errs.New("answer too large")
	// ErrInterim means that the answer begins with too many interim responses.
	ErrInterim = errs.New("too many interim responses")
	// ErrNoLength means that the answer doesn't tell its length, so that a whole
	// one can't be told from a part.
	ErrNoLength = errs.New("answer without a length")
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
