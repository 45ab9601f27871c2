package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// FinishAttempt handles the result of an attempt. The returned actions are valid until
// the next event.
func (s *Scheduler) FinishAttempt(now time.Time, attempt *Attempt, result Result) []Action {
	s.actions = s.actions[:0]
	s.recordFeedback(now, attempt, result)
	s.recordState(now, attempt.member)
	s.targets.release(attempt.member)
	call := attempt.Call
	call.removeAttempt(attempt)
	call.settleAllowance(attempt, result)
	s.continueCall(now, call, result)
	s.startQueued(now)
	return s.actions
}

// continueCall answers or retries a call after one of its attempts has ended.
func (s *Scheduler) continueCall(now time.Time, call *Call, result Result) {
	if call.state.done {
		s.reportLate(call, result)
		return
	}
	if result.Kind != Answered {
		s.retryOrFail(now, call, result.NoRetry)
		return
	}
	if result.ServerError && call.Type.Idempotent {
		call.state.failureResponse = result.Answer
		s.retryOrFail(now, call, result.NoRetry)
		return
	}
	s.endCall(call, Reply, result.Answer, "")
}

// reportLate hands a response to the driver that arrived after the caller got its
// reply.
func (s *Scheduler) reportLate(call *Call, result Result) {
	if result.Kind == Answered {
		s.actions = append(s.actions, Action{Kind: LateResponse, Call: call, Answer: result.Answer})
	}
}

// retryOrFail retries a call after a failed attempt, or ends it if it can't be
// retried. While another attempt is in flight, it does nothing.
func (s *Scheduler) retryOrFail(now time.Time, call *Call, noRetry bool) {
	if len(call.state.live) > 0 {
		return
	}
	if !noRetry && s.retry(now, call) {
		return
	}
	reason := ReasonUnavailable
	if call.mayHaveRun() {
		reason = ReasonTargetLost
	}
	s.failCall(call, reason)
}

// retry starts another attempt if the rules and budgets allow it. It reports
// whether it did. Retries aren't queued for a free slot, since the retry budget
// limits their number.
func (s *Scheduler) retry(now time.Time, call *Call) bool {
	if call.mayHaveRun() && !call.Type.Idempotent {
		return false
	}
	if !call.mayStart() || !call.Deadline.After(now) || !s.retries.available() {
		return false
	}
	m := s.pick(now, call, true)
	if m == nil {
		m = s.pick(now, call, false)
	}
	if m == nil {
		return false
	}
	s.retries.spend()
	s.startAttempt(now, call, m, false)
	s.scheduleTimer(call)
	return true
}

// failCall ends a call that got no successful response.
func (s *Scheduler) failCall(call *Call, reason Reason) {
	switch {
	case call.state.failureResponse != nil:
		s.endCall(call, Reply, call.state.failureResponse, "")
	case call.mayHaveRun():
		s.endCall(call, ReplyUnknown, nil, reason)
	default:
		s.endCall(call, Refuse, nil, reason)
	}
}

// endCall replies to the caller and cancels the attempts in flight of an idempotent
// call. Those of a non-idempotent call continue, so that their outcome becomes
// known.
func (s *Scheduler) endCall(call *Call, kind ActionKind, answer any, reason Reason) {
	if kind == Refuse && call.mayHaveRun() {
		invariant.Breached(invariant.NotRunIsTrue, "call %d refused as not run with reason %s although it may have run", call.ID, reason)
	}
	call.state.done = true
	s.timers.stop(call)
	if call.state.waiting {
		s.queue.remove(call)
	}
	if call.Type.Idempotent {
		for _, attempt := range call.state.live {
			attempt.canceled = true
			s.actions = append(s.actions, Action{Kind: Cancel, Call: call, Attempt: attempt})
		}
	}
	s.actions = append(s.actions, Action{
		Kind:   kind,
		Call:   call,
		Answer: answer,
		Reason: reason,
		Spent:  call.state.allowance.spent(),
	})
}
