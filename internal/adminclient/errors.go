package adminclient

import "fmt"

// TransportError reports a request without a usable answer.
type TransportError struct {
	// Address is the API address that was tried last.
	Address string
	// Sent is false if the API took no connection, so that it can't have seen the
	// request.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no usable answer from %s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// StatusError reports a failure whose body is not an adminapi.Error, such as that of
// a server that isn't the administration API.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d without an error of the administration API", e.Status)
}

// UnsureError reports a change that may or may not have taken effect.
type UnsureError struct {
	// RequestID identifies an acceptance. Accepting again under the same ID is safe.
	// It is empty for other changes.
	RequestID string
	Cause     error
}

// Error implements error.
func (e *UnsureError) Error() string {
	text := fmt.Sprintf("the change may or may not have taken effect: %v", e.Cause)
	if e.RequestID == "" {
		return text
	}
	return text + "; request ID " + e.RequestID
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Cause }

// NameError reports a name that can't be part of a path.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("%q is no name: want 1 to %d letters, digits, dots, hyphens and underscores", e.Name, maxNameBytes)
}

// RepeatedPageError reports a list whose pages don't end.
type RepeatedPageError struct{ After string }

// Error implements error.
func (e *RepeatedPageError) Error() string {
	return fmt.Sprintf("the page after %q names itself as the next one", e.After)
}
