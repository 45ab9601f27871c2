package dispatch

import "time"

// maxAttemptsAtSlow is the number of concurrent attempts of this daemon at a target
// that is ejected as slow.
const maxAttemptsAtSlow = 1

// pickSlow returns the fastest target that is ejected as slow, for a queued call. It
// returns nil if the response would come after the call's deadline, or if even the
// last queued call is expected to start elsewhere before the response would come.
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

// acceptsOverflow reports whether the target is excluded only for being slow and can
// take another attempt.
func (m *member) acceptsOverflow(now time.Time) bool {
	return !m.Leaving && m.HasFreeConnection() && m.InFlight < maxAttemptsAtSlow && m.health.OnlySlow(now)
}
