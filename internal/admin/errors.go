package admin

import (
	"fmt"
	"strings"
	"time"
)

// CorruptError reports a stored object that can't be used.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("admin: object %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// MissingError reports something that doesn't exist, or isn't shown to the caller.
type MissingError struct {
	// What is the kind of thing, for example "team".
	What string
	Name string
}

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("there is no %s %q", e.What, e.Name) }

// ExistsError reports a new team whose name is taken.
type ExistsError struct{ Team string }

// Error implements error.
func (e *ExistsError) Error() string { return fmt.Sprintf("team %q exists", e.Team) }

// VersionError reports a change of a team that is based on an older state of it.
type VersionError struct{ Team string }

// Error implements error.
func (e *VersionError) Error() string { return fmt.Sprintf("team %q was changed by another", e.Team) }

// FullError reports that no more teams or tokens can be kept.
type FullError struct {
	What  string
	Limit int
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("there can be at most %d %s", e.Limit, e.What) }

// HasServicesError reports the removal of a team that has services.
type HasServicesError struct {
	Team     string
	Services int
}

// Error implements error.
func (e *HasServicesError) Error() string {
	return fmt.Sprintf("team %q has %d services; remove them first", e.Team, e.Services)
}

// ForbiddenError reports what a team may not do.
type ForbiddenError struct{ Reason string }

// Error implements error.
func (e *ForbiddenError) Error() string { return e.Reason }

// LimitError reports a change that passes a limit of the team.
type LimitError struct {
	// What is the limited quantity, for example "services".
	What  string
	Want  int
	Limit int
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the team would have %d %s; its limit is %d", e.Want, e.What, e.Limit)
}

// UnsureError reports a change of the teams that may or may not have taken effect.
type UnsureError struct{ Cause error }

// Error implements error.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("the change may or may not have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Cause }

// UnauthenticatedError reports a request without a known token.
type UnauthenticatedError struct{ Reason string }

// Error implements error.
func (e *UnauthenticatedError) Error() string { return e.Reason }

// MethodError reports a method that a path doesn't take.
type MethodError struct {
	Method string
	Path   string
	// Allowed are the methods that it takes.
	Allowed []string
}

// Error implements error.
func (e *MethodError) Error() string {
	return fmt.Sprintf("%s takes %s, not %s", e.Path, e.allowed(), e.Method)
}

func (e *MethodError) allowed() string { return strings.Join(e.Allowed, ", ") }

// RateError reports that a team sends too many requests.
type RateError struct {
	// Wait is the time after which another one may pass.
	Wait time.Duration
}

// Error implements error.
func (e *RateError) Error() string { return "the team sends too many requests" }

// BusyError reports that the server has too many requests under way.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many requests are under way; nothing was changed" }

// BodyTooLargeError reports a body above bodyBytes.
type BodyTooLargeError struct{}

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", bodyBytes)
}

// TooSlowError reports a body that didn't arrive in time.
type TooSlowError struct{}

// Error implements error.
func (e *TooSlowError) Error() string { return "the request took too long to arrive" }

// ConditionError reports a change without the condition that it needs.
type ConditionError struct{}

// Error implements error.
func (e *ConditionError) Error() string {
	return "send If-Match with the ETag that the change is based on, or If-None-Match: * for a new team"
}

// PanicError reports a fault of the program.
type PanicError struct{ Cause any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("fault of the program: %v", e.Cause) }
