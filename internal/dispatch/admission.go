package dispatch

import "time"

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 0.05

// serviceTime is a moving mean of the time that good answers take.
type movingMean struct{ mean time.Duration }

func (t *movingMean) observe(sample time.Duration) {
	if t.mean == 0 {
		t.mean = sample
		return
	}
	t.mean += time.Duration(serviceTimeWeight * float64(sample-t.mean))
}

// mayWait reports whether the call may wait for a free slot.
func (c *Call) mayWait() bool { return c.Type.QueueMs > 0 }

// enqueue lets a new call wait, or refuses it at once if it can't be answered in
// time.
func (s *Scheduler) enqueue(now time.Time, call *Call) {
	latest := s.latestStart(call)
	if s.queue.length >= maxQueued || now.Add(s.expectedQueueWait(now, call)).After(latest) {
		s.overflowOrRefuse(now, call)
		return
	}
	s.queue.push(call)
	s.timers.set(call, latest)
	s.startQueued(now)
}

// overflow sends a call that can't wait to another region, or refuses it.
func (s *Scheduler) overflowOrRefuse(now time.Time, call *Call) {
	if m := s.pickOverflow(now, call); m != nil {
		s.startFirst(now, call, m)
		return
	}
	s.failCall(call, ReasonOverload)
}

// latestStart is when a waiting call is refused.
func (s *Scheduler) latestStart(call *Call) time.Time {
	latest := call.state.arrived.Add(call.Type.QueueLimit())
	if lastUsefulStart := call.Deadline.Add(-s.serviceTime.mean); lastUsefulStart.Before(latest) {
		return lastUsefulStart
	}
	return latest
}

// expectedQueueWait estimates the wait of a new call from the calls ahead of it, the
// recent service times and the attempts that may run at once.
func (s *Scheduler) expectedQueueWait(now time.Time, call *Call) time.Duration {
	return s.queueWait(now, s.queue.ahead(call.Caller))
}

// queueWait estimates the time in which the given number of calls is started.
func (s *Scheduler) queueWait(now time.Time, calls int) time.Duration {
	capacity := 0
	for _, g := range s.targets.eligibleGroups(now) {
		capacity += g.capacity(now)
	}
	return s.serviceTime.mean * time.Duration(calls) / time.Duration(max(capacity, 1))
}

// capacity is the number of attempts that this daemon may have at the group's
// targets while calls wait.
func (g *group) capacity(now time.Time) int {
	capacity := 0
	for _, m := range g.members {
		if !m.Leaving {
			capacity += m.attemptLimit(now)
		}
	}
	return capacity
}

// drain starts waiting calls while targets have free slots.
func (s *Scheduler) startQueued(now time.Time) {
	for s.queue.length > 0 {
		call := s.queue.next()
		m := s.pick(now, call, true)
		if m == nil {
			m = s.pickSlow(now, call)
		}
		if m == nil {
			s.refuseQueuedWithoutTarget()
			return
		}
		s.queue.pop()
		s.startFirst(now, call, m)
	}
}

// refuseQueuedWithoutTarget refuses the waiting calls once no target is left.
func (s *Scheduler) refuseQueuedWithoutTarget() {
	if s.targets.anyActive() {
		return
	}
	for s.queue.length > 0 {
		s.failCall(s.queue.next(), ReasonNoTarget)
	}
}
