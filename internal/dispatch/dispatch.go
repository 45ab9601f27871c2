// Package dispatch decides how the calls of one service are attempted: at which
// target, when to retry, hedge, queue or refuse, and what the caller is told.
//
// Scheduler is a state machine without sockets, goroutines or a clock. The driver,
// the code that owns the connections, passes in events and the time and carries
// out the actions that each event returns.
package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

// Reason is the stable reason code of a response that the entry daemon generates
// itself.
type Reason string

// Reason codes.
const (
	ReasonNoTarget    Reason = "no_target"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonTargetLost  Reason = "target_lost"
	ReasonCallerGone  Reason = "caller_gone"
	ReasonUnavailable Reason = "unavailable"
)

// Call is one request of a caller.
type Call struct {
	// ID is unique in the daemon.
	ID uint64
	// Type holds the rules for requests of this type.
	Type *config.RequestType
	// Deadline is when the caller must have been answered.
	Deadline time.Time
	// Attempts is the number of attempts that the call and its downstream calls
	// (those that targets make to serve it) may use together, the first included.
	// The request type's MaxAttempts is the upper limit.
	Attempts int
	// Caller identifies the caller. Callers with queued calls are served in turn.
	Caller string
	// Payload is for the driver's use.
	Payload any

	state callState
}

// callState is the scheduler's state of a call.
type callState struct {
	arrived time.Time
	// started is the number of attempts started so far.
	started int
	// possiblyRun is the number of attempts that are in flight or have ended and
	// may have run.
	possiblyRun int
	// allowance holds the extra attempts for the call and its downstream calls.
	allowance allowance
	// done is set once the caller has its reply.
	done bool
	// live holds the attempts in flight, tried the targets of all attempts.
	live  []*Attempt
	tried []*balancer.Target
	// liveBuffer and triedBuffer are the initial storage of live and tried. They
	// are large enough for most calls, which saves allocations.
	liveBuffer  [2]*Attempt
	triedBuffer [2]*balancer.Target
	// failureResponse is the latest response with which a target reported a
	// failure. The caller gets it if no further attempt succeeds.
	failureResponse any
	// hedgeAt is when the call is to be hedged; zero means never.
	hedgeAt time.Time
	timer   timer
	// waiting is set while the call is queued. queueIndex is its position in the
	// heap of its caller.
	waiting    bool
	queueIndex int
}

// Attempt is one attempt of a call at a target.
type Attempt struct {
	ID      uint64
	Call    *Call
	Target  *balancer.Target
	Started time.Time
	// Hedge is set for an attempt made while another one is in flight.
	Hedge bool
	// Handle is for the driver's use.
	Handle any

	member *member
	// cost is what the attempt itself took from the call's allowance, delegated
	// what it passes on to downstream calls.
	cost      int
	delegated int
	canceled  bool
	// expired is set if the attempt was in flight at the call's deadline.
	expired bool
}

// DownstreamAttempts is the number of attempts that each direct downstream call of this
// attempt may use, the first included.
func (a *Attempt) DownstreamAttempts() int { return 1 + a.delegated }

// ResultKind is the kind of result of an attempt.
type ResultKind int

// Kinds of results.
const (
	// Answered means that the target sent a complete response.
	Answered ResultKind = iota
	// NotRun means that the target can't have started the request: it said so
	// itself, or no byte was sent.
	NotRun
	// Lost means that there is no response, but the target may have run the
	// request.
	Lost
)

// Result is the result of an attempt.
type Result struct {
	Kind ResultKind
	// ServerError is set if the response reports a failure of the target.
	ServerError bool
	// Leaving is set if the target reported that it is shutting down.
	Leaving bool
	// Load is the load report on the response.
	Load balancer.LoadReport
	// Unreachable is set if no connection to the target could be established.
	Unreachable bool
	// DownstreamSpent is the number of extra attempts that the downstream calls have
	// used, as reported by the target. Without a report all that was delegated to
	// them counts as used.
	DownstreamSpent int
	// DownstreamSpentKnown is set if the target reported SpentBelow.
	DownstreamSpentKnown bool
	// NoRetry is set if the call must not be retried.
	NoRetry bool
	// Answer is the response, in a form known to the driver only.
	Answer any
}

// ActionKind is what the driver has to do.
type ActionKind int

// Kinds of actions.
const (
	// Start sends Attempt to its target.
	Start ActionKind = iota
	// Cancel cancels Attempt.
	Cancel
	// Reply relays Answer to the caller of Call.
	Reply
	// Refuse tells the caller of Call that the request was not run.
	Refuse
	// ReplyUnknown tells the caller of Call that the request may have run.
	ReplyUnknown
	// LateResponse reports Answer, a response that arrived after the caller of Call got
	// its reply.
	LateResponse
)

// Action is one instruction to the driver.
type Action struct {
	Kind    ActionKind
	Call    *Call
	Attempt *Attempt
	Answer  any
	Reason  Reason
	// Spent is the number of extra attempts that the call and its downstream calls
	// have used. Those delegated to an attempt that has not reported back count as
	// used.
	Spent int
}
