// Package wire names the HTTP paths and headers that callers, entry daemons and
// targets exchange.
package wire

// Request headers set by callers.
const (
	// HeaderService names the service.
	HeaderService = "Poplarwheel-Service"
	// HeaderType names the request type within the service.
	HeaderType = "Poplarwheel-Type"
	// HeaderTimeout is the time left for the answer, in milliseconds. The entry
	// daemon passes it on to the target less the time already spent.
	HeaderTimeout = "Poplarwheel-Timeout-Ms"
	// HeaderIdempotencyKey identifies a non-idempotent request over resends. It
	// starts with the session token and a colon.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResend numbers the resends of a request, from 0.
	HeaderResend = "Poplarwheel-Resend"
	// HeaderAttempts is the number of attempts that this call and the calls below
	// it may spend, the first included. A target passes it on with the calls that
	// it makes to serve the request.
	HeaderAttempts = "Poplarwheel-Attempts"
)

// Headers between entry daemons.
const (
	// HeaderForwarded is "true" on a call that another entry daemon passes on. It
	// is not passed on again.
	HeaderForwarded = "Poplarwheel-Forwarded"
)

// Headers between entry daemons and targets.
const (
	// HeaderAttemptID identifies one attempt. A target returns it unchanged.
	HeaderAttemptID = "Poplarwheel-Attempt-Id"
	// HeaderNotRun is "true" on a target's answer to a request it has not run.
	HeaderNotRun = "Poplarwheel-Not-Run"
	// HeaderState is "leaving" on answers of a target that is shutting down.
	HeaderState = "Poplarwheel-State"
	// HeaderAttemptsSpent is the number of further attempts that a call and the
	// calls below it have spent. Entry daemons set it on their answers. A target
	// returns the sum of the calls that it made, 0 if it made none.
	HeaderAttemptsSpent = "Poplarwheel-Attempts-Spent"
	// HeaderInFlight is the number of requests in flight at the target.
	HeaderInFlight = "Poplarwheel-In-Flight"
)

// Answer headers set by entry daemons.
const (
	// HeaderOutcome is one of the Outcome values.
	HeaderOutcome = "Poplarwheel-Outcome"
	// HeaderReason is the error code of an answer that the entry daemon made.
	HeaderReason = "Poplarwheel-Reason"
)

// Outcome values.
const (
	// OutcomeRan means that the answer is the target's own.
	OutcomeRan = "ran"
	// OutcomeNotRun means that no target has begun the request.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown = "unknown"
)

// Values of other headers.
const (
	// StateLeaving is the value of HeaderState while a target shuts down.
	StateLeaving = "leaving"
	// True is the value of headers that mark a fact.
	True = "true"
)

// Paths served by entry daemons on the caller port.
const (
	// PathEntries returns the entry VMs of the service in the "service" query
	// argument.
	PathEntries = "/poplarwheel/v1/entries"
)

// Paths served by targets besides their own.
const (
	// PathHealth returns 200 while the target accepts work.
	PathHealth = "/healthz"
	// PathLoad returns a LoadReport.
	PathLoad = "/load"
)

// EntriesReply answers PathEntries.
type EntriesReply struct {
	// Service is the service that was asked for.
	Service string `json:"service"`
	// Entries are the addresses ("ip:port") to use, best first.
	Entries []string `json:"entries"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds int `json:"keep_seconds"`
	// SessionToken starts the idempotency keys of this caller.
	SessionToken string `json:"session_token"`
	// Revision is the configuration revision that the answer is based on.
	Revision uint64 `json:"revision"`
}

// ErrorReply is the body of each answer that an entry daemon makes itself.
type ErrorReply struct {
	// Outcome is one of the Outcome values.
	Outcome string `json:"outcome"`
	// Reason is a stable error code.
	Reason string `json:"reason"`
	// Detail is a sentence for people.
	Detail string `json:"detail"`
}

// LoadReport answers PathLoad.
type LoadReport struct {
	// InFlight is the number of requests running or queued.
	InFlight int `json:"in_flight"`
	// Slots is the number of requests run at once.
	Slots int `json:"slots"`
	// LatencyMs is a recent mean of the service time, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// Leaving is set while the target shuts down.
	Leaving bool `json:"leaving"`
}
