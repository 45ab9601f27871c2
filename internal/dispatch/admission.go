package dispatch

import "time"

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 0.05

// movingMean is an exponentially weighted moving average of durations. The
// scheduler keeps that of the time until a successful response, the service time.
type movingMean struct{ mean time.Duration }

func (m *movingMean) observe(sample time.Duration) {
	if m.mean == 0 {
		m.mean = sample
		return
	}
	m.mean += time.Duration(serviceTimeWeight * float64(sample-m.mean))
}

// mayWait reports whether the call may be queued until a slot is free.
func (c *Call) mayWait() bool { return c.Type.QueueMs > 0 }

// enqueue queues a new call. A call that can't be expected to start in time goes to
// another region instead or is refused at once.
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

// overflowOrRefuse sends a call that can't be queued to another region, or refuses
// it if there is no free slot.
func (s *Scheduler) overflowOrRefuse(now time.Time, call *Call) {
	if m := s.pickOverflow(now, call); m != nil {
		s.startFirst(now, call, m)
		return
	}
	s.failCall(call, ReasonOverload)
}

// latestStart returns when a queued call is refused if it hasn't started: at its
// queueing limit, or when the time to the deadline is less than the mean service
// time.
func (s *Scheduler) latestStart(call *Call) time.Time {
	latest := call.state.arrived.Add(call.Type.QueueLimit())
	if lastUsefulStart := call.Deadline.Add(-s.serviceTime.mean); lastUsefulStart.Before(latest) {
		return lastUsefulStart
	}
	return latest
}

// expectedQueueWait estimates how long a new call of this caller would be queued.
func (s *Scheduler) expectedQueueWait(now time.Time, call *Call) time.Duration {
	return s.queueWait(now, s.queue.ahead(call.Caller))
}

// queueWait estimates how long it takes to start the given number of queued calls,
// from the mean service time and the attempts that may run concurrently.
func (s *Scheduler) queueWait(now time.Time, calls int) time.Duration {
	capacity := 0
	for _, g := range s.targets.eligibleGroups(now) {
		capacity += g.capacity(now)
	}
	return s.serviceTime.mean * time.Duration(calls) / time.Duration(max(capacity, 1))
}

// capacity returns the number of attempts that this daemon may have in flight at
// the group's targets while calls are queued.
func (g *group) capacity(now time.Time) int {
	capacity := 0
	for _, m := range g.members {
		if !m.Leaving {
			capacity += m.attemptLimit(now)
		}
	}
	return capacity
}

// startQueued starts queued calls while targets have free slots.
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

// refuseQueuedWithoutTarget refuses all queued calls if every target is leaving.
func (s *Scheduler) refuseQueuedWithoutTarget() {
	if s.targets.anyActive() {
		return
	}
	for s.queue.length > 0 {
		s.failCall(s.queue.next(), ReasonNoTarget)
	}
}
