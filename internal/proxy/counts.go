package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// AttemptCounts count the attempts of a service since the daemon's start.
type AttemptCounts struct {
	// First counts first attempts.
	First uint64 `json:"first"`
	// Retries counts attempts made after another one failed.
	Retries uint64 `json:"retries"`
	// Hedges counts attempts made beside a live one.
	Hedges uint64 `json:"hedges"`
}

// ServiceState is one service in a dump.
type ServiceState struct {
	Service string `json:"service"`
	// ProbesPerSecond is the measuring budget of the whole system.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// ProbeShare is this daemon's share of it.
	ProbeShare float64 `json:"probe_share"`
	// RetryShare is the share of calls that may be retried.
	RetryShare float64 `json:"retry_share"`
	// HedgeShare is the share of calls that may be hedged.
	HedgeShare float64       `json:"hedge_share"`
	Attempts   AttemptCounts `json:"attempts"`
	// InFlight is the number of attempts in flight.
	InFlight int `json:"in_flight"`
	// Waiting is the number of calls that wait for a free slot.
	Waiting int `json:"waiting"`
	// Targets is the number of configured targets.
	Targets int `json:"targets"`
	// Leaving is the number of targets known to be leaving.
	Leaving int `json:"leaving"`
}

// Services returns the services as seen by this daemon.
func (p *Proxy) Services() []ServiceState {
	shards := *p.shards.Load()
	states := make([]ServiceState, 0, len(shards))
	for name, s := range shards {
		states = append(states, s.state(name))
	}
	return states
}

func (s *shard) state(name string) ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service.Load()
	state := ServiceState{
		Service:         name,
		ProbesPerSecond: service.ProbesPerSecond,
		ProbeShare:      s.proxy.share(service),
		RetryShare:      service.RetryShare,
		HedgeShare:      service.HedgeShare,
		Attempts:        s.attempts,
		Targets:         service.TargetCount(),
	}
	if s.scheduler == nil {
		return state
	}
	state.Waiting = s.scheduler.Queued()
	for _, target := range s.scheduler.Targets() {
		state.InFlight += target.InFlight
		if target.Leaving {
			state.Leaving++
		}
	}
	return state
}

// count counts the attempts that actions start. The lock is held.
func (s *shard) count(actions []dispatch.Action) {
	for _, action := range actions {
		if action.Kind != dispatch.Start {
			continue
		}
		payload := action.Call.Payload.(*call)
		switch {
		case action.Attempt.Hedge:
			s.attempts.Hedges++
		case payload.attempts > 0:
			s.attempts.Retries++
		default:
			s.attempts.First++
		}
		payload.attempts++
	}
}
