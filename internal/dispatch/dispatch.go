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
	// Attempts is the number of attempts that the call may spend, the first
	// included.
	Attempts int
	// Payload is the driver's own.
	Payload any

	state callState
}

type callState struct {
	arrived   time.Time
	started   int
	sent      bool
	done      bool
	live      []*Attempt
	tried     []*balancer.Target
	hedgeAt   time.Time
	heapIndex int
	wakeAt    time.Time
	queued    bool
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

	stopped bool
}

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
}
