package dispatch

import (
	"time"
)

// hedge starts a second attempt while one is in flight, if the call's limits and the
// hedge budget allow it. A call of a type that may be queued is hedged only at a
// target with a free slot.
func (s *Scheduler) hedge(now time.Time, call *Call) {
	if !call.mayStart() || !s.hedges.available() {
		return
	}
	if m := s.pick(now, call, call.mayWait()); m != nil {
		s.hedges.spend()
		s.startAttempt(now, call, m, true)
	}
}

// StopHedging keeps a call from being hedged while the driver finds out whether it
// may be retried after a failed attempt. The returned actions are valid until the
// next event.
func (s *Scheduler) StopHedging(_ time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done || call.state.hedgeAt.IsZero() {
		return s.actions
	}
	call.state.hedgeAt = time.Time{}
	s.scheduleTimer(call)
	return s.actions
}
