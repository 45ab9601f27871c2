// Package wire defines the HTTP paths, headers and JSON bodies that callers, entry
// daemons and targets exchange.
package wire

// Request headers set by callers.
const (
	// HeaderService names the service.
	HeaderService = "Poplarwheel-Service"
	// HeaderType names the request type within the service.
	HeaderType = "Poplarwheel-Type"
	// HeaderTimeout is the time left until the response is due, in milliseconds. The
	// entry daemon subtracts the time already spent before it forwards the header to
	// the target.
	HeaderTimeout = "Poplarwheel-Timeout-Ms"
	// HeaderIdempotencyKey identifies a non-idempotent request across resends. It
	// starts with the session token and a colon.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResend is the resend count of a request; 0 is the first send.
	HeaderResend = "Poplarwheel-Resend"
	// HeaderAttempts is the number of attempts that this call and its downstream
	// calls may make, including the first one. A target passes it on with the calls
	// that it makes to serve the request.
	HeaderAttempts = "Poplarwheel-Attempts"
)

// Headers between entry daemons.
const (
	// HeaderForwarded is "true" on a call forwarded by another entry daemon. Such a
	// call is not forwarded again.
	HeaderForwarded = "Poplarwheel-Forwarded"
)

// Headers between entry daemons and targets.
const (
	// HeaderAttemptID identifies one attempt. A target returns it unchanged.
	HeaderAttemptID = "Poplarwheel-Attempt-Id"
	// HeaderNotRun is "true" on a target's response to a request that it did not run.
	HeaderNotRun = "Poplarwheel-Not-Run"
	// HeaderState is "leaving" on responses of a target that is shutting down.
	HeaderState = "Poplarwheel-State"
	// HeaderAttemptsSpent is the number of additional attempts made by a call and its
	// downstream calls. Entry daemons set it on their responses. A target returns the
	// sum over the calls that it made, or 0 if it made none.
	HeaderAttemptsSpent = "Poplarwheel-Attempts-Spent"
	// HeaderInFlight is the number of requests in flight at the target.
	HeaderInFlight = "Poplarwheel-In-Flight"
)

// Response headers set by entry daemons.
const (
	// HeaderOutcome is one of the Outcome values.
	HeaderOutcome = "Poplarwheel-Outcome"
	// HeaderReason is the error code of a response that the entry daemon itself
	// generated.
	HeaderReason = "Poplarwheel-Reason"
)

// Outcome values.
const (
	// OutcomeRan means that the response comes from the target.
	OutcomeRan = "ran"
	// OutcomeNotRun means that no target has started the request.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown = "unknown"
)

// Values of other headers.
const (
	// StateLeaving is the value of HeaderState while a target shuts down.
	StateLeaving = "leaving"
	// True is the value of boolean headers that are set.
	True = "true"
)

// Paths served by entry daemons on the caller port.
const (
	// PathEntries returns the entry VMs of the service in the "service" query
	// parameter.
	PathEntries = "/poplarwheel/v1/entries"
)

// Paths served by targets in addition to their own.
const (
	// PathHealth returns 200 while the target accepts requests.
	PathHealth = "/healthz"
	// PathLoad returns a LoadReport.
	PathLoad = "/load"
)

// EntriesReply is the response body of PathEntries.
type EntriesReply struct {
	// Service is the requested service.
	Service string `json:"service"`
	// Entries are the addresses ("ip:port") to use, in order of preference.
	Entries []string `json:"entries"`
	// KeepSeconds is how long callers may cache the list.
	KeepSeconds int `json:"keep_seconds"`
	// SessionToken is the prefix of this caller's idempotency keys.
	SessionToken string `json:"session_token"`
	// Revision is the configuration revision from which the list was made.
	Revision uint64 `json:"revision"`
}

// ErrorReply is the body of every response that an entry daemon itself generates.
type ErrorReply struct {
	// Outcome is one of the Outcome values.
	Outcome string `json:"outcome"`
	// Reason is a stable error code.
	Reason string `json:"reason"`
	// Detail is a human-readable description.
	Detail string `json:"detail"`
}

// LoadReport is the response body of PathLoad.
type LoadReport struct {
	// InFlight is the number of requests running or queued.
	InFlight int `json:"in_flight"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// LatencyMs is a recent mean of the service time, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// Leaving is set while the target shuts down.
	Leaving bool `json:"leaving"`
}
