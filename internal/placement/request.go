package placement

import (
	"slices"
	"time"
)

// Request is one request of a caller on its way to a target.
type Request struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts bounds the targets that the request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 comes first.
	Priority int
	// Due is when an answer stops being worth most.
	Due time.Time
	// Deadline is when the caller has to be answered.
	Deadline time.Time
	// Work is the time that a target is expected to take.
	Work time.Duration
	// Bytes is the expected size of the request and its answer together.
	Bytes int
	// Payload is the driver's own.
	Payload any

	arrived time.Time
	tried   []*Target
	// live holds the sends without an end.
	live []*Attempt
	// mayHaveRun is set once a target may have begun the request without an answer
	// that counts.
	mayHaveRun bool
	// failure is the latest answer that reports a failure of a target.
	failure any
	// waiting is set while the request is in the queue.
	waiting bool
	// held is set while it is not known whether the request may be sent once more.
	held bool
	over bool
}

// Attempt is one send of a request to a target.
type Attempt struct {
	Request *Request
	Target  *Target
	// Slowness is the target's slowness as it was known at the start.
	Slowness float64
	// Handle is the driver's own.
	Handle any

	sentAt   time.Time
	canceled bool
	// done is the work that the target has done, as it takes at its usual speed, up
	// to doneAt.
	done   time.Duration
	doneAt time.Time
	// speed is the target's slowness since doneAt.
	speed float64
	// checkAt is when the attempt is looked at next; zero if it isn't.
	checkAt time.Time
}

// Canceled reports whether the attempt is not wanted any more.
func (a *Attempt) Canceled() bool { return a.canceled }

// maySendBeside reports whether the request may be sent to another target while one has
// it.
func (r *Request) maySendBeside() bool { return r.Idempotent && len(r.tried) < r.MaxAttempts }

// Attempts returns the number of targets that the request was sent to.
func (r *Request) Attempts() int { return len(r.tried) }

// hasTried reports whether the request was sent to a target.
func (r *Request) hasTried(t *Target) bool { return slices.Contains(r.tried, t) }

// inTime reports whether an answer can still be worth most.
func (r *Request) inTime(now time.Time) bool {
	return now.Before(r.latestInTime())
}

// latestInTime is until when the request has to be sent for its answer to be worth
// most.
func (r *Request) latestInTime() time.Time {
	return r.Due.Add(-time.Duration(workMargin * float64(r.Work)))
}

// workMargin times its mean is the work that a request is expected to take at most.
const workMargin = 1.15

// before orders the queue: requests that can be in time first, then by priority,
// then by the time they are due.
func (r *Request) before(other *Request, now time.Time) bool {
	if a, b := r.inTime(now), other.inTime(now); a != b {
		return a
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Due.Before(other.Due)
}

// Outcome is the end of a request at a target.
type Outcome int

// Outcomes.
const (
	// Answered is a whole answer of the target.
	Answered Outcome = iota
	// Failed is a whole answer that reports a failure of the target.
	Failed
	// NotRun means that the target has not begun the request and won't: its own
	// word.
	NotRun
	// NotSent means that no byte of the request has left.
	NotSent
	// Wrong means that another target has the address. It has not run the request.
	Wrong
	// Lost means that the target may have run the request and gave no answer.
	Lost
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	names := [...]string{"answered", "failed", "not_run", "not_sent", "wrong_target", "lost"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Result is the end of a request at a target.
type Result struct {
	Outcome Outcome
	// Answer is the driver's own.
	Answer any
	// Report is the load report on the answer, nil without one.
	Report *Report
	// Quarantined forbids to send the request once more: it crashes targets.
	Quarantined bool
}

// ActionKind tells the driver what to do.
type ActionKind int

// Kinds of actions.
const (
	// Probe asks Target for its load.
	Probe ActionKind = iota
	// Send makes Attempt.
	Send
	// Deliver passes Answer on to the caller of Request.
	Deliver
	// Refuse tells the caller of Request that it has not run.
	Refuse
	// Unknown tells the caller of Request that it may have run.
	Unknown
	// Cancel stops Attempt; its end is not reported.
	Cancel
)

// Reason is a stable code for an answer that the daemon makes itself.
type Reason string

// Reasons.
const (
	ReasonNoTarget Reason = "no_target"
	ReasonOverload Reason = "overload"
	ReasonTimeout  Reason = "timeout"
	ReasonLost     Reason = "target_lost"
	ReasonBudget   Reason = "retry_budget"
	ReasonAttempts Reason = "attempts_used"
	// ReasonQuarantined means that the request crashes targets.
	ReasonQuarantined Reason = "quarantined"
)

// Action is one instruction to the driver.
type Action struct {
	Kind    ActionKind
	Request *Request
	Attempt *Attempt
	// Target is set for a probe.
	Target *Target
	Answer any
	Reason Reason
	// RetryAfter is when the caller of a refused request may come back; 0 says
	// nothing.
	RetryAfter time.Duration
}
