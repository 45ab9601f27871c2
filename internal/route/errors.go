package route

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("route")

// Problem describes why a configuration is invalid.
type Problem string

// Problems of a route.
const (
	MissingName        Problem = "the route has no name"
	DuplicateName      Problem = "another route has the same name"
	DuplicatePrefix    Problem = "another route has the same host and path prefix"
	MissingHost        Problem = "the route has no host"
	InvalidHost        Problem = "the host must be a name without port, which no other characters surround"
	InvalidTimeout     Problem = "the timeout must be positive and at most a year"
	InvalidObjective   Problem = "the latency objective must not be negative or more than a year"
	InvalidPrefix      Problem = "the path prefix must begin and end with a slash and have no query"
	UnknownService     Problem = "the route refers to a service that is not configured"
	InvalidWeights     Problem = "the service weights must not be negative and their sum must be positive and finite"
	InvalidMaxAttempts Problem = "the maximum number of attempts must be at least 1"
)

// Problems of a service.
const (
	MissingServiceName   Problem = "a service has no name"
	DuplicateServiceName Problem = "two services have the same name"
	InvalidColdStart     Problem = "the cold start and the rate during it must be finite and not negative"
)

// Problems of a workspace. They don't tell its keys.
const (
	MissingWorkspaceName   Problem = "a workspace has no name"
	DuplicateWorkspaceName Problem = "two workspaces have the same name"
	EmptyKey               Problem = "a key is empty"
	DuplicateKey           Problem = "a key is given twice"
	InvalidQuota           Problem = "the rate and the burst of a quota must be finite and not negative"
	InvalidPriority        Problem = "the priority must not be negative"
)

// Problems of the limits.
const (
	InvalidHeaderBytes    Problem = "the maximum size of a header must be positive"
	InvalidBodyBytes      Problem = "the maximum size of a body must not be negative"
	InvalidReceiveTimeout Problem = "the time for receiving a request must be positive"
	InvalidIdleTimeout    Problem = "the idle timeout must be positive"
)

// InvalidError reports a configuration that is rejected as a whole, because a route, a service
// or the limits are invalid.
type InvalidError struct {
	// Route is the name of the invalid route, its host and path prefix if it has no name, or
	// empty if another part is invalid.
	Route string
	// Workspace is the name of the invalid workspace, or empty.
	Workspace string
	Problem   Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	part := "services, workspaces or limits"
	switch {
	case e.Route != "":
		part = fmt.Sprintf("route %q", e.Route)
	case e.Workspace != "":
		part = fmt.Sprintf("workspace %q", e.Workspace)
	}
	return Error.Wrap(fmt.Errorf("%s: %s", part, e.Problem)).Error()
}
