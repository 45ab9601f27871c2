package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// TargetState is the state of a target, which decides whether it gets attempts.
type TargetState string

// States of targets.
const (
	// TargetIn means that the target gets attempts without restriction.
	TargetIn TargetState = "in"
	// TargetCold means that the target is in slow start.
	TargetCold TargetState = "cold"
	// TargetEjected means that outlier detection excludes the target for some time.
	TargetEjected TargetState = "ejected"
	// TargetUnhealthy means that the target fails its health checks.
	TargetUnhealthy TargetState = "unhealthy"
	// TargetLeaving means that the target is shutting down and gets no attempts
	// until its process is replaced.
	TargetLeaving TargetState = "leaving"
)

// TargetStatus is the state of a target for status output.
type TargetStatus struct {
	Target *balancer.Target
	State  TargetState
	// Reason is why the target was last ejected; empty if it never was.
	Reason string
	// Latency is the mean latency of successful responses.
	Latency time.Duration
	// Others is the estimated number of requests of other daemons at the target.
	Others float64
}

// StateChange is a change of a target's state.
type StateChange struct {
	Target string
	From   TargetState
	To     TargetState
	Reason string
}

// TargetStatuses returns the status of each target.
func (s *Scheduler) TargetStatuses(now time.Time) []TargetStatus {
	statuses := make([]TargetStatus, 0, len(s.targets.members))
	for _, m := range s.targets.members {
		statuses = append(statuses, TargetStatus{
			Target:  m.Target,
			State:   m.state(now),
			Reason:  string(m.health.Reason()),
			Latency: m.health.Latency(),
			Others:  m.Target.Others(now),
		})
	}
	return statuses
}

// StateChanges returns the changes of target states since it was last called.
func (s *Scheduler) StateChanges() []StateChange {
	changes := s.changes
	s.changes = nil
	return changes
}

// state returns the state of the target. If several apply, the first one checked
// here counts.
func (m *member) state(now time.Time) TargetState {
	switch {
	case m.Leaving:
		return TargetLeaving
	case m.health.Ejected(now):
		return TargetEjected
	case m.health.Unhealthy():
		return TargetUnhealthy
	case m.health.InSlowStart():
		return TargetCold
	}
	return TargetIn
}

// recordState records a change of a target's state for Changes. A new target that
// is in counts as no change.
func (s *Scheduler) recordState(now time.Time, m *member) {
	state := m.state(now)
	if state == m.lastState {
		return
	}
	if m.lastState != "" || state != TargetIn {
		s.changes = append(s.changes, StateChange{Target: m.Name, From: m.lastState, To: state, Reason: string(m.health.Reason())})
	}
	m.lastState = state
}

// recordStates records the changes of all targets.
func (s *Scheduler) recordStates(now time.Time) {
	for _, m := range s.targets.members {
		s.recordState(now, m)
	}
}
