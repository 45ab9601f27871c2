package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
)

// Request is a request of a caller that is to be sent to a target.
type Request struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts limits the number of targets to which the request is sent.
	MaxAttempts int
	// Priority orders requests; 0 comes first.
	Priority int
	// SoftDeadline is when the request is due: a response after it is late and worth
	// less to the caller.
	SoftDeadline time.Time
	// Deadline is when the caller must be answered at the latest.
	Deadline time.Time
	// ServiceTime is the expected execution time at a target of usual speed.
	ServiceTime time.Duration
	// Bytes is the expected size of the request and its response together.
	Bytes int
	// Flow is the workspace whose share of the targets the request uses.
	Flow Flow
	// Suspected is set if the request may crash targets. It is not hedged if hedges are
	// limited.
	Suspected bool
	// Payload belongs to the driver.
	Payload any

	arrived time.Time
	// use is that of the request's flow, nil if it has none.
	use   *flowUse
	tried []*Target
	// inFlight holds the attempts that have not ended.
	inFlight []*Attempt
	// mayHaveRun is set once a target may have started the request without a successful
	// response.
	mayHaveRun bool
	// failure is the latest response that reports a failure of a target.
	failure any
	// queued is set while the request is in the queue.
	queued bool
	// retryHeld is set while it is undecided whether the request may be sent again.
	retryHeld bool
	// queuedAsHedge is set when a limited hedge of the request is queued, until the attempt
	// in flight ends. The hedge is not sent after hedgeUntil.
	queuedAsHedge bool
	hedgeUntil    time.Time
	// finished is set once the caller has been answered or has disconnected.
	finished bool
}

// Attempt is one send of a request to a target.
type Attempt struct {
	Request *Request
	Target  *Target
	// Slowness is the estimated slowness of the target when the request was sent.
	Slowness float64
	// Handle belongs to the driver.
	Handle any

	sentAt   time.Time
	canceled bool
	// workDone is the estimated work done until workDoneAt, in time at usual speed.
	workDone   time.Duration
	workDoneAt time.Time
	// currentSlowness is the slowness of the target since workDoneAt.
	currentSlowness float64
	// checkAt is when the attempt is checked next; zero if it is not monitored.
	checkAt time.Time
	// hedge is set if another attempt of the request was in flight when this one was sent.
	hedge bool
	// With limited hedges, the target is probed at probeAt, and the attempt is overdue at
	// overdueAt; zero if that is unknown.
	probeAt   time.Time
	overdueAt time.Time
	// suppressed is the last reason why the attempt was not hedged.
	suppressed hedging.Reason
}

// IsHedge reports whether another attempt of the request was in flight when this one was sent.
func (a *Attempt) IsHedge() bool { return a.hedge }

// Canceled reports whether the attempt was canceled.
func (a *Attempt) Canceled() bool { return a.canceled }

// mayHedge reports whether the request may be sent to another target while an attempt
// is in flight.
func (r *Request) mayHedge() bool { return r.Idempotent && len(r.tried) < r.MaxAttempts }

// Attempts returns the number of targets to which the request was sent.
func (r *Request) Attempts() int { return len(r.tried) }

// hasTried reports whether the request was sent to the target.
func (r *Request) hasTried(t *Target) bool { return slices.Contains(r.tried, t) }

// inTime reports whether the request can still be answered before its soft deadline.
func (r *Request) inTime(now time.Time) bool {
	return now.Before(r.latestInTimeStart())
}

// CanBeInTime reports whether the request can still be answered before its soft deadline.
func (r *Request) CanBeInTime(now time.Time) bool { return r.inTime(now) }

// latestInTimeStart returns the latest time to send the request for a response before
// its soft deadline.
func (r *Request) latestInTimeStart() time.Time {
	return r.SoftDeadline.Add(-time.Duration(serviceTimeMargin * float64(r.ServiceTime)))
}

// serviceTimeMargin times the expected service time is the longest that a request is
// assumed to take.
const serviceTimeMargin = 1.15

// before defines the order of the queue: requests that can be in time first, then by
// priority, then by what their flows have used of their shares, then by soft deadline.
func (r *Request) before(other *Request, now time.Time) bool {
	if a, b := r.inTime(now), other.inTime(now); a != b {
		return a
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if order := r.fairOrder(other); order != 0 {
		return order < 0
	}
	return r.SoftDeadline.Before(other.SoftDeadline)
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered is a complete successful response.
	Answered Outcome = iota
	// Failed is a complete response that reports a failure of the target.
	Failed
	// NotRun means that the target declared that it has not run the request and will
	// not.
	NotRun
	// NotSent means that no byte of the request was sent.
	NotSent
	// WrongTarget means that another target now has the address. It has not run the request.
	WrongTarget
	// Lost means that there was no response and the target may have run the request.
	Lost
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "failed", "not_run", "not_sent", "wrong_target", "lost"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// Answer is the response, in a form that belongs to the driver.
	Answer any
	// Report is the load report in the response; nil if it has none.
	Report *Report
	// Announcement is what the response announces.
	Announcement Announcement
	// Quarantined forbids further sends of the request because it crashes targets.
	Quarantined bool
}

// ActionKind selects what the driver has to do.
type ActionKind int

// Kinds of actions.
const (
	// Probe requests the load of Target.
	Probe ActionKind = iota
	// Send starts Attempt.
	Send
	// Deliver passes Answer to the caller of Request.
	Deliver
	// Refuse tells the caller of Request that the request has not run.
	Refuse
	// OutcomeUnknown tells the caller of Request that the request may have run.
	OutcomeUnknown
	// Cancel stops Attempt. The driver must not report its end.
	Cancel
)

// Reason is a stable code for a response generated by the daemon.
type Reason string

// Reasons for responses generated by the daemon.
const (
	ReasonNoTarget Reason = "no_target"
	ReasonOverload Reason = "overload"
	// ReasonPaused means that all targets that are not leaving have asked for a pause.
	ReasonPaused Reason = "paused"
	// ReasonEvacuated means that the zones of all targets are evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonCold means that all targets are cold and can't take the request in time.
	ReasonCold         Reason = "cold"
	ReasonTimeout      Reason = "timeout"
	ReasonTargetLost   Reason = "target_lost"
	ReasonRetryBudget  Reason = "retry_budget"
	ReasonAttemptsUsed Reason = "attempts_used"
	// ReasonQuarantined means that the request crashes targets.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected means that the request may crash targets, and that it is not known
	// whether it has reached the limit.
	ReasonSuspected Reason = "suspected"
)

// Action is an instruction to the driver.
type Action struct {
	Kind    ActionKind
	Request *Request
	Attempt *Attempt
	// Target is set for Probe.
	Target *Target
	// Answer is set for Deliver, Reason for Refuse and OutcomeUnknown.
	Answer any
	Reason Reason
	// RetryAfter is the delay after which the caller of a refused request may retry; 0
	// means unspecified.
	RetryAfter time.Duration
}
