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
	// ErrHeaderTooLarge means that the header of a response is larger than MaxHeaderBytes.
	ErrHeaderTooLarge = errs.New("response header too large")
	// ErrMalformed means that the bytes that arrived are no response.
	ErrMalformed = errs.New("malformed response")
	// ErrMemory means that the response needs more memory than Rules.MaxBufferedBytes leaves.
	ErrMemory = errs.New("incomplete responses take too much memory")
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

// MalformedError reports a part of a response that the codec rejects. It is an ErrMalformed.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed response: %v", e.Cause) }

// Unwrap returns ErrMalformed and the cause.
func (e *MalformedError) Unwrap() []error { return []error{ErrMalformed, e.Cause} }

// UnidentifiedError reports a response that doesn't say to which request it is.
type UnidentifiedError struct{ Status int }

// Error implements error.
func (e *UnidentifiedError) Error() string {
	return fmt.Sprintf("response with status %d names no attempt", e.Status)
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
