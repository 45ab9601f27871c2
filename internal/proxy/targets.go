package proxy

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
)

// TargetState is the state of a target in a dump.
type TargetState struct {
	Service  string `json:"service"`
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	InFlight int    `json:"in_flight"`
	Leaving  bool   `json:"leaving"`
	// State is one of in, cold, ejected, unhealthy and leaving.
	State dispatch.TargetState `json:"state"`
	// Reason is why the target was last ejected.
	Reason string `json:"reason,omitempty"`
	// LatencyMs is the mean latency of successful responses, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// Others is the estimated number of attempts of other daemons in flight at the target.
	Others float64 `json:"others"`
}

// Targets returns the state of the targets in this daemon.
func (p *Proxy) Targets() []TargetState {
	shards := *p.shards.Load()
	count := 0
	for _, s := range shards {
		count += s.targetCount()
	}
	states := make([]TargetState, 0, count)
	now := time.Now()
	for _, s := range shards {
		states = append(states, s.targetStates(now)...)
	}
	return states
}

// targetCount returns the number of configured targets.
func (s *shard) targetCount() int { return s.service.Load().TargetCount() }

// targetStates returns the state of the targets of the service.
func (s *shard) targetStates(now time.Time) []TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return s.idleStates()
	}
	var states []TargetState
	for _, status := range s.scheduler.TargetStatuses(now) {
		target := status.Target
		states = append(states, TargetState{
			Service:   s.name,
			Name:      target.Name,
			Address:   target.Address,
			Zone:      target.Zone,
			InFlight:  target.InFlight,
			Leaving:   target.Leaving,
			State:     status.State,
			Reason:    status.Reason,
			LatencyMs: float64(status.Latency) / float64(time.Millisecond),
			Others:    status.Others,
		})
	}
	return states
}

// idleStates returns the state of the targets while the service has no scheduler. The lock
// is held.
func (s *shard) idleStates() []TargetState {
	var states []TargetState
	for target := range s.service.Load().Targets() {
		states = append(states, TargetState{
			Service: s.name,
			Name:    target.Name,
			Address: target.Address,
			Zone:    target.Zone,
			State:   dispatch.TargetIn,
		})
	}
	return states
}

// SetTargetsLeavingByPeer marks targets as leaving that another daemon reported as such.
func (p *Proxy) SetTargetsLeavingByPeer(names []string) {
	p.update(setOf(names), func(s *dispatch.Scheduler) {
		for _, name := range names {
			s.SetLeavingByPeer(name)
		}
	})
}

// LeavingTargets returns the names of the targets that reported to this daemon that they
// are leaving. They are sent to other daemons.
func (p *Proxy) LeavingTargets() []string {
	var names []string
	for _, s := range *p.shards.Load() {
		names = append(names, s.leavingTargets()...)
	}
	return names
}

// leavingTargets returns the names of the service's targets that reported that they are
// leaving.
func (s *shard) leavingTargets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.SelfReportedLeaving()
}

// update applies a change to the schedulers of the services that have one of the named
// targets.
func (p *Proxy) update(names map[string]bool, change func(s *dispatch.Scheduler)) {
	if len(names) == 0 {
		return
	}
	for _, s := range *p.shards.Load() {
		if !s.hasAnyTarget(names) {
			continue
		}
		s.handleEvent(nil, func(now time.Time) []dispatch.Action {
			s.ensureScheduler(now)
			change(s.scheduler)
			return s.scheduler.Expire(now)
		})
	}
}

// setOf returns the set of all given names.
func setOf(names ...[]string) map[string]bool {
	set := map[string]bool{}
	for _, name := range slices.Concat(names...) {
		set[name] = true
	}
	return set
}

// logChanges logs changes of the state of targets.
func (s *shard) logChanges(changes []dispatch.StateChange) {
	for _, change := range changes {
		s.proxy.log.WithField("service", s.name).
			WithField("target", change.Target).
			WithField("from", change.From).
			WithField("to", change.To).
			WithField("reason", change.Reason).
			Info("target state changed")
	}
}
