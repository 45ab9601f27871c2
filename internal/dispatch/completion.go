package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// Finished takes the end of an attempt. The returned actions are valid until the
// next event.
func (s *Scheduler) Finished(now time.Time, attempt *Attempt, result Result) []Action {
	s.actions = s.actions[:0]
	s.learn(now, attempt, result)
	s.note(now, attempt.member)
	s.targets.release(attempt.member)
	call := attempt.Call
	call.removeAttempt(attempt)
	call.settleAllowance(attempt, result)
	s.conclude(now, call, result)
	s.drain(now)
	return s.actions
}

// conclude goes on with a call after the end of an attempt.
func (s *Scheduler) conclude(now time.Time, call *Call, result Result) {
	if call.state.done {
		s.late(call, result)
		return
	}
	if result.Kind != Answered {
		s.afterFailure(now, call, result.NoRetry)
		return
	}
	if result.ServerError && call.Type.Idempotent {
		call.state.failure = result.Answer
		s.afterFailure(now, call, result.NoRetry)
		return
	}
	s.finish(call, Reply, result.Answer, "")
}

func (s *Scheduler) late(call *Call, result Result) {
	if result.Kind == Answered {
		s.actions = append(s.actions, Action{Kind: Late, Call: call, Answer: result.Answer})
	}
}

// afterFailure goes on after an attempt without a good answer.
func (s *Scheduler) afterFailure(now time.Time, call *Call, noRetry bool) {
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
	s.giveUp(call, reason)
}

// retry starts another attempt if the rules and budgets allow it. Retries don't
// wait for a free slot: their budget bounds them.
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
	s.start(now, call, m, false)
	s.schedule(call)
	return true
}

// giveUp ends a call without a good answer.
func (s *Scheduler) giveUp(call *Call, reason Reason) {
	switch {
	case call.state.failure != nil:
		s.finish(call, Reply, call.state.failure, "")
	case call.mayHaveRun():
		s.finish(call, Unknown, nil, reason)
	default:
		s.finish(call, Refuse, nil, reason)
	}
}

// finish answers the call and cancels its idempotent attempts. Others go on, so
// that their outcome becomes known.
func (s *Scheduler) finish(call *Call, kind ActionKind, answer any, reason Reason) {
	if kind == Refuse && call.mayHaveRun() {
		invariant.Breached(invariant.NotRunIsTrue, "call %d refused for %s", call.ID, reason)
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
