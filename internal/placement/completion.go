package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// AttemptFinished handles the end of an attempt. The returned actions are valid until
// the next event.
func (p *Pool) AttemptFinished(now time.Time, a *Attempt, result Result) []Action {
	p.resetActions()
	r := a.Request
	r.retryHeld = false
	p.release(a)
	p.withdrawHedge(r)
	p.recordResult(now, a, result)
	if !r.finished {
		p.handleOutcome(now, r, result)
	}
	p.assign(now)
	return p.actions
}

// HoldRetry prevents the request of an attempt from being hedged while the cause of the
// attempt's failure is being determined. AttemptFinished lifts it.
func (p *Pool) HoldRetry(a *Attempt) {
	a.Request.retryHeld = true
	p.dequeue(a.Request)
}

// release removes a finished or canceled attempt from its request and its target.
func (p *Pool) release(a *Attempt) {
	a.Request.inFlight = remove(a.Request.inFlight, a)
	a.Target.release(a)
}

// recordResult updates the state of a target from the result of an attempt.
func (p *Pool) recordResult(now time.Time, a *Attempt, result Result) {
	t := a.Target
	serviceTime := a.Request.ServiceTime
	if result.Outcome != WrongTarget {
		p.recordAnnouncement(now, t, result.Announcement)
	}
	if result.Report != nil {
		p.observe(now, t, *result.Report, 1)
	}
	switch result.Outcome {
	case Answered:
		p.setNoReports(result.Report == nil)
		t.speedEstimate.record(now, now.Sub(a.sentAt), serviceTime)
		p.group.RecordSuccess(now, &t.health, now.Sub(a.sentAt))
		p.recordWinner(now, a)
	case Failed:
		p.group.RecordFailure(now, &t.health, outlier.ServerError, serviceTime)
	case Lost:
		p.group.RecordFailure(now, &t.health, outlier.NoResponse, serviceTime)
	case NotSent:
		if !result.Quarantined {
			p.group.RecordFailure(now, &t.health, outlier.NoConnection, serviceTime)
		}
	case NotRun:
		if result.Report == nil || result.Report.Running >= t.Slots {
			t.health.RecordOverload(now, serviceTime/4)
		}
	case WrongTarget:
		t.gone = true
		p.rebuildGroup()
	}
}

// handleOutcome answers, retries or fails a request after one of its attempts ended.
func (p *Pool) handleOutcome(now time.Time, r *Request, result Result) {
	switch result.Outcome {
	case Answered:
		p.complete(Action{Kind: Deliver, Request: r, Answer: result.Answer})
		return
	case Failed:
		r.failure = result.Answer
		r.mayHaveRun = true
	case Lost:
		r.mayHaveRun = true
	}
	if len(r.inFlight) > 0 || r.queued {
		return
	}
	if result.Quarantined {
		p.fail(now, r, ReasonQuarantined)
		return
	}
	if reason, ok := p.mayRetry(now, r, result.Outcome); !ok {
		p.fail(now, r, reason)
		return
	}
	p.enqueue(r)
}

// mayRetry reports whether a request may be sent to another target, and if not, the
// reason. It charges the retry budget.
func (p *Pool) mayRetry(now time.Time, r *Request, outcome Outcome) (Reason, bool) {
	switch {
	case r.mayHaveRun && !r.Idempotent:
		return ReasonTargetLost, false
	case len(r.tried) >= r.MaxAttempts && outcome != NotSent:
		return ReasonAttemptsUsed, false
	case !now.Add(r.ServiceTime / 2).Before(r.Deadline):
		return ReasonTimeout, false
	case !p.hasUntriedTarget(now, r, p.targetFilter(now)):
		return p.unavailableReason(now), false
	case p.coldExhausted(now, r, p.targetFilter(now), 0):
		return ReasonCold, false
	case outcome != NotSent && !p.budget.Take(now):
		return ReasonRetryBudget, false
	}
	if outcome == NotSent {
		// The target received nothing, so the send does not count as an attempt.
		r.MaxAttempts++
	}
	return "", true
}

// hasUntriedTarget reports whether a target accepts requests that the request was not sent
// to yet.
func (p *Pool) hasUntriedTarget(now time.Time, r *Request, filter targetFilter) bool {
	for _, t := range p.list {
		if filter.accepts(now, t) && !r.hasTried(t) {
			return true
		}
	}
	return false
}

// Timeout ends a request whose deadline has come. The returned actions are valid until
// the next event.
func (p *Pool) Timeout(now time.Time, r *Request) []Action {
	p.resetActions()
	if r.finished {
		return p.actions
	}
	for _, a := range r.inFlight {
		if now.Sub(a.sentAt) > stuckFactor*r.ServiceTime {
			p.group.RecordFailure(now, &a.Target.health, outlier.NoResponse, r.ServiceTime)
		}
		p.recordOvertaken(now, a)
	}
	p.withdraw(r)
	p.fail(now, r, ReasonTimeout)
	p.assign(now)
	return p.actions
}

// Abandon ends a request whose caller has disconnected. The returned actions are valid
// until the next event.
func (p *Pool) Abandon(now time.Time, r *Request) []Action {
	p.resetActions()
	if r.finished {
		return p.actions
	}
	r.finished = true
	if len(r.inFlight) > 0 && !r.Idempotent {
		// A non-idempotent request runs to completion: canceling it could leave its
		// effects incomplete.
		return p.actions
	}
	p.withdraw(r)
	p.assign(now)
	return p.actions
}

// withdraw removes a request from the queue and cancels its attempts in flight.
func (p *Pool) withdraw(r *Request) {
	p.dequeue(r)
	for len(r.inFlight) > 0 {
		a := r.inFlight[0]
		p.release(a)
		a.canceled = true
		r.mayHaveRun = true
		p.emit(Action{Kind: Cancel, Request: r, Attempt: a})
	}
}

// fail ends a request without a successful response.
func (p *Pool) fail(now time.Time, r *Request, reason Reason) {
	switch {
	case r.failure != nil:
		p.complete(Action{Kind: Deliver, Request: r, Answer: r.failure})
	case r.mayHaveRun:
		p.complete(Action{Kind: OutcomeUnknown, Request: r, Reason: reason})
	default:
		p.refuse(now, r, reason)
	}
}

// complete answers a request and cancels its remaining attempts.
func (p *Pool) complete(action Action) {
	p.withdraw(action.Request)
	action.Request.finished = true
	p.emit(action)
}
