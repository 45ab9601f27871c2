package dispatch

import "time"

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 0.05

// serviceTime is a moving mean of the time that good answers take.
type serviceTime struct{ mean time.Duration }

func (t *serviceTime) observe(sample time.Duration) {
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
	if s.queue.length >= maxQueued || now.Add(s.expectedWait(now, call)).After(latest) {
		s.overflow(now, call)
		return
	}
	s.queue.push(call)
	s.timers.set(call, latest)
	s.drain(now)
}

// overflow sends a call that can't wait to another region, or refuses it.
func (s *Scheduler) overflow(now time.Time, call *Call) {
	if m := s.spill(now, call); m != nil {
		s.begin(now, call, m)
		return
	}
	s.giveUp(call, ReasonOverload)
}

// latestStart is when a waiting call is refused.
func (s *Scheduler) latestStart(call *Call) time.Time {
	latest := call.state.arrived.Add(call.Type.QueueLimit())
	if inTime := call.Deadline.Add(-s.service.mean); inTime.Before(latest) {
		return inTime
	}
	return latest
}

// expectedWait estimates the wait of a new call from the calls ahead of it, the
// recent service times and the attempts that may run at once.
func (s *Scheduler) expectedWait(now time.Time, call *Call) time.Duration {
	return s.waitBehind(now, s.queue.ahead(call.Caller))
}

// waitBehind estimates the time in which the given number of calls is started.
func (s *Scheduler) waitBehind(now time.Time, calls int) time.Duration {
	capacity := 0
	for _, g := range s.targets.inUse(now) {
		capacity += g.capacity(now)
	}
	return s.service.mean * time.Duration(calls) / time.Duration(max(capacity, 1))
}

// capacity is the number of attempts that this daemon may have at the group's
// targets while calls wait.
func (g *group) capacity(now time.Time) int {
	capacity := 0
	for _, m := range g.members {
		if !m.Leaving {
			capacity += m.limit(now)
		}
	}
	return capacity
}

// drain starts waiting calls while targets have free slots.
func (s *Scheduler) drain(now time.Time) {
	for s.queue.length > 0 {
		call := s.queue.next()
		m := s.pick(now, call, true)
		if m == nil {
			m = s.pickSlow(now, call)
		}
		if m == nil {
			s.refuseWithoutTarget()
			return
		}
		s.queue.pop()
		s.begin(now, call, m)
	}
}

// refuseWithoutTarget refuses the waiting calls once no target is left.
func (s *Scheduler) refuseWithoutTarget() {
	if s.targets.anyLive() {
		return
	}
	for s.queue.length > 0 {
		s.giveUp(s.queue.next(), ReasonNoTarget)
	}
}
