package client

import "fmt"

// NoEntryError reports that no known entry VM says which entry VMs to use. No
// request was sent.
type NoEntryError struct {
	// Cause is the error of the last entry VM that was asked, or nil if none is
	// known.
	Cause error
}

// Error implements error.
func (e *NoEntryError) Error() string { return fmt.Sprintf("client: no entry VM answers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoEntryError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected answer to the question which entry VMs to
// use.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Reason is the reason code, or empty.
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("client: status %d, reason %q", e.Status, e.Reason)
}

// NotSentError reports a request of which no byte has left: it was not run.
type NotSentError struct {
	// Entry is the address of the entry VM.
	Entry string
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("client: not sent to %s: %v", e.Entry, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports a request that was sent, at least in part, and has no whole
// answer: its outcome is unknown.
type LostError struct {
	// Entry is the address of the entry VM.
	Entry string
	Cause error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("client: answer from %s lost: %v", e.Entry, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
