// Package dispatch decides how the calls of one service are attempted: which
// target, when to retry, hedge, queue or refuse, and what the caller is told.
//
// Scheduler is a plain state machine. Events and time are passed in, and each
// event returns the actions that the driver has to carry out. It has no sockets,
// goroutines or clock.
package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

// Reason is a stable code for an answer that the entry daemon makes itself.
type Reason string

// Reasons.
const (
	ReasonNoTarget    Reason = "no_target"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonTargetLost  Reason = "target_lost"
	ReasonCallerGone  Reason = "caller_gone"
	ReasonUnavailable Reason = "unavailable"
)

// Call is one call of a caller.
type Call struct {
	// ID is unique in the daemon.
	ID uint64
	// Type holds the rules that the call obeys.
	Type *config.RequestType
	// Deadline is when the answer stops counting.
	Deadline time.Time
	// Attempts is the number of attempts that the call and the calls below it may
	// spend, the first included. The request type's MaxAttempts bounds it.
	Attempts int
	// Caller identifies the caller. Callers that wait take turns.
	Caller string
	// Payload is the driver's own.
	Payload any

	state callState
}

type callState struct {
	arrived time.Time
	// started counts attempts.
	started int
	// dispatched counts attempts that are live or may have run.
	possiblyRun int
	// allowance holds the further attempts for the call and the calls below it.
	allowance allowance
	done      bool
	live      []*Attempt
	tried     []*balancer.Target
	// liveBuffer and triedBuffer hold the attempts of most calls.
	liveBuffer  [2]*Attempt
	triedBuffer [2]*balancer.Target
	// failure is the latest answer that reports a failure of a target.
	failureResponse any
	hedgeAt         time.Time
	timer           timer
	// waiting is set while the call is in the queue, at queueIndex.
	waiting    bool
	queueIndex int
}

// Attempt is one try of a call at a target.
type Attempt struct {
	ID      uint64
	Call    *Call
	Target  *balancer.Target
	Started time.Time
	// Hedge is set for an attempt made beside a live one.
	Hedge bool
	// Handle is the driver's own.
	Handle any

	member    *member
	cost      int
	delegated int
	canceled  bool
	// expired is set when the call's deadline ended the attempt.
	expired bool
}

// Allowance is the number of attempts that each call below this attempt may
// spend, the first included.
func (a *Attempt) Allowance() int { return 1 + a.delegated }

// ResultKind says how an attempt ended.
type ResultKind int

// Ends of attempts.
const (
	// Answered means a whole answer from the target.
	Answered ResultKind = iota
	// NotRun means that the target can't have begun: its own word, or no byte
	// was sent.
	NotRun
	// Lost means that the target may have run the request and gave no answer.
	Lost
)

// Result is the end of an attempt.
type Result struct {
	Kind ResultKind
	// ServerError is set for an answer that reports a failure of the target.
	ServerError bool
	// Leaving is set when the target said that it shuts down.
	Leaving bool
	// Load is the load report on the answer.
	Load balancer.Report
	// Unreachable is set when the target took no connection.
	Unreachable bool
	// SpentBelow is the number of further attempts that the target reports for the
	// calls below. Nothing is given back without a report.
	SpentBelow int
	// SpentKnown is set when the target reported SpentBelow.
	SpentKnown bool
	// NoRetry is set when the call must not be tried again.
	NoRetry bool
	// Answer is the driver's own.
	Answer any
}

// ActionKind tells the driver what to do.
type ActionKind int

// Kinds of actions.
const (
	// Start sends Attempt to its target.
	Start ActionKind = iota
	// Cancel stops Attempt.
	Cancel
	// Reply relays Answer to the caller of Call.
	Reply
	// Refuse tells the caller of Call that the request was not run.
	Refuse
	// Unknown tells the caller of Call that the request may have run.
	Unknown
	// Late reports Answer, which came after the caller of Call was answered.
	Late
)

// Action is one instruction to the driver.
type Action struct {
	Kind    ActionKind
	Call    *Call
	Attempt *Attempt
	Answer  any
	Reason  Reason
	// Spent is the number of further attempts that the call and the calls below it
	// have spent. What an attempt has not reported back counts as spent.
	Spent int
}
