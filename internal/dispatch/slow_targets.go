package dispatch

import "time"

// maxAttemptsAtSlow is the number of attempts that this daemon makes at a time at a target
// that is ejected as slow.
const maxAttemptsAtSlow = 1

// pickSlow returns the fastest of the targets that are ejected as slow, for a call
// that waits; nil if the call would be late there, or if the last call in the queue
// is expected to start sooner than an answer takes there.
func (s *Scheduler) pickSlow(now time.Time, call *Call) *member {
	limit := min(s.queueWait(now, s.queue.length), call.Deadline.Sub(now))
	var best *member
	for _, g := range s.targets.eligibleGroups(now) {
		for _, m := range g.members {
			usable := m.acceptsOverflow(now) && !call.hasTried(m.Target) && m.health.Latency() < limit
			if usable && (best == nil || m.health.Latency() < best.health.Latency()) {
				best = m
			}
		}
	}
	return best
}

// acceptsOverflow reports whether the target is out for its slowness alone and has
// room for an attempt.
func (m *member) acceptsOverflow(now time.Time) bool {
	return !m.Leaving && m.HasFreeConnection() && m.InFlight < maxAttemptsAtSlow && m.health.MerelySlow(now)
}
