package route

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("route")

// Problem describes why a route is invalid.
type Problem string

// Problems of a route.
const (
	InvalidPrefix      Problem = "the path prefix must begin and end with a slash"
	UnknownService     Problem = "the route refers to a service that is not configured"
	InvalidWeights     Problem = "the service weights must not be negative and their sum must be positive"
	InvalidMaxAttempts Problem = "the maximum number of attempts must be at least 1"
)

// InvalidError reports an invalid route, for which the whole configuration is rejected.
type InvalidError struct {
	Route   string
	Problem Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	return Error.Wrap(fmt.Errorf("route %q: %s", e.Route, e.Problem)).Error()
}
