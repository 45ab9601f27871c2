package proxy

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
)

// TargetState is one target in a dump.
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
	// LatencyMs is the mean latency of good answers, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// Others estimates the attempts of other daemons in flight at the target.
	Others float64 `json:"others"`
}

// Targets returns the targets as seen by this daemon.
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
func (s *shard) targetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.scheduler.Targets())
}

func (s *shard) targetStates(now time.Time) []TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []TargetState
	for _, status := range s.scheduler.Statuses(now) {
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

// SetTargetsLeavingByPeer takes another daemon's word that targets are leaving.
func (p *Proxy) SetTargetsLeavingByPeer(names []string) {
	p.update(func(s *dispatch.Scheduler) {
		for _, name := range names {
			s.SetLeavingByPeer(name)
		}
	})
}

// LeavingTargets returns the names of the targets that said themselves that they
// are leaving, for other daemons.
func (p *Proxy) LeavingTargets() []string {
	var names []string
	for _, s := range *p.shards.Load() {
		s.mu.Lock()
		names = append(names, s.scheduler.LeavingByAnswer()...)
		s.mu.Unlock()
	}
	return names
}

// update changes the targets of every service.
func (p *Proxy) update(change func(s *dispatch.Scheduler)) {
	for _, s := range *p.shards.Load() {
		s.event(nil, func(now time.Time) []dispatch.Action {
			change(s.scheduler)
			return s.scheduler.Expire(now)
		})
	}
}

func (s *shard) logChanges(changes []dispatch.Change) {
	for _, change := range changes {
		s.proxy.log.WithField("service", s.name).
			WithField("target", change.Target).
			WithField("from", change.From).
			WithField("to", change.To).
			WithField("reason", change.Reason).
			Info("target state changed")
	}
}
