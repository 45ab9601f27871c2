package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// TargetState says what a target may get.
type TargetState string

// States of targets.
const (
	// TargetIn gets attempts.
	TargetIn TargetState = "in"
	// TargetCold is in slow start.
	TargetCold TargetState = "cold"
	// TargetEjected gets nothing for a while.
	TargetEjected TargetState = "ejected"
	// TargetUnhealthy fails its health checks.
	TargetUnhealthy TargetState = "unhealthy"
	// TargetLeaving gets nothing until its process is replaced.
	TargetLeaving TargetState = "leaving"
)

// Status is a target for inspection.
type Status struct {
	Target *balancer.Target
	State  TargetState
	// Reason is why the target was last ejected; empty if it never was.
	Reason string
	// Latency is the mean latency of good answers.
	Latency time.Duration
	// Others estimates the attempts of other daemons at the target.
	Others float64
}

// Change is a change of a target's state.
type Change struct {
	Target string
	From   TargetState
	To     TargetState
	Reason string
}

// Statuses returns the targets for inspection.
func (s *Scheduler) Statuses(now time.Time) []Status {
	statuses := make([]Status, 0, len(s.targets.members))
	for _, m := range s.targets.members {
		statuses = append(statuses, Status{
			Target:  m.Target,
			State:   m.state(now),
			Reason:  string(m.health.Reason()),
			Latency: m.health.Latency(),
			Others:  m.Target.Others(now),
		})
	}
	return statuses
}

// Changes returns the changes of targets since the last call.
func (s *Scheduler) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

func (m *member) state(now time.Time) TargetState {
	switch {
	case m.Leaving:
		return TargetLeaving
	case m.health.Ejected(now):
		return TargetEjected
	case m.health.Unhealthy():
		return TargetUnhealthy
	case m.health.Cold():
		return TargetCold
	}
	return TargetIn
}

// recordState records a change of a target's state.
func (s *Scheduler) recordState(now time.Time, m *member) {
	state := m.state(now)
	if state == m.lastState {
		return
	}
	if m.lastState != "" || state != TargetIn {
		s.changes = append(s.changes, Change{Target: m.Name, From: m.lastState, To: state, Reason: string(m.health.Reason())})
	}
	m.lastState = state
}

func (s *Scheduler) recordStates(now time.Time) {
	for _, m := range s.targets.members {
		s.recordState(now, m)
	}
}
