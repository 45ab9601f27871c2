package dispatch

import "time"

// Idle reports whether the scheduler is idle: it has had no call for the given
// length of time, has no call or attempt in progress, and knows of no target that
// must not get calls. A new scheduler would then decide as well, so this one can be
// discarded.
func (s *Scheduler) Idle(now time.Time, length time.Duration) bool {
	if now.Sub(s.calledAt) < length || s.queue.length > 0 || len(s.timers) > 0 || len(s.targets.retired) > 0 {
		return false
	}
	for _, m := range s.targets.members {
		if !m.idle(now) {
			return false
		}
	}
	return true
}

// idle reports whether the target has no attempt or probe in progress and may get
// calls.
func (m *member) idle(now time.Time) bool {
	if m.InFlight > 0 || m.Probing {
		return false
	}
	state := m.state(now)
	return state == TargetIn || state == TargetCold
}
