package dispatch

import "time"

// Unused reports whether the scheduler has had no call for a time, has nothing
// under way and knows of no target that must not get calls. A new scheduler then
// decides as well as this one.
func (s *Scheduler) Unused(now time.Time, length time.Duration) bool {
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

// idle reports whether nothing is under way at the target and nothing keeps it
// from getting calls.
func (m *member) idle(now time.Time) bool {
	if m.InFlight > 0 || m.Probing {
		return false
	}
	state := m.state(now)
	return state == TargetIn || state == TargetCold
}
