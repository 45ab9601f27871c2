package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// AttemptCounts counts the attempts of a service since the daemon's start.
type AttemptCounts struct {
	// First counts first attempts.
	First uint64 `json:"first"`
	// Retries counts attempts that were made after another one had failed.
	Retries uint64 `json:"retries"`
	// Hedges counts attempts that were made while another one was in flight.
	Hedges uint64 `json:"hedges"`
}

// ServiceState is the state of a service in a dump.
type ServiceState struct {
	Service string `json:"service"`
	// ProbesPerSecond is the measuring budget of the service: the limit on probes per
	// second of all daemons together.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// ProbeShare is this daemon's share of the measuring budget.
	ProbeShare float64 `json:"probe_share"`
	// RetryShare is the share of calls that may be retried.
	RetryShare float64 `json:"retry_share"`
	// HedgeShare is the share of calls that may be hedged.
	HedgeShare float64       `json:"hedge_share"`
	Attempts   AttemptCounts `json:"attempts"`
	// InFlight is the number of attempts in flight.
	InFlight int `json:"in_flight"`
	// Queued is the number of calls that wait for a free slot.
	Queued int `json:"waiting"`
	// Targets is the number of configured targets.
	Targets int `json:"targets"`
	// Leaving is the number of targets that are known to be leaving.
	Leaving int `json:"leaving"`
}

// Services returns the state of the services in this daemon.
func (p *Proxy) Services() []ServiceState {
	shards := *p.shards.Load()
	states := make([]ServiceState, 0, len(shards))
	for name, s := range shards {
		states = append(states, s.state(name))
	}
	return states
}

// state returns the state of the service.
func (s *shard) state(name string) ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service.Load()
	state := ServiceState{
		Service:         name,
		ProbesPerSecond: service.ProbesPerSecond,
		ProbeShare:      s.proxy.probeShare(service),
		RetryShare:      service.RetryShare,
		HedgeShare:      service.HedgeShare,
		Attempts:        s.attempts,
		Targets:         service.TargetCount(),
	}
	if s.scheduler == nil {
		return state
	}
	state.Queued = s.scheduler.Queued()
	for _, target := range s.scheduler.Targets() {
		state.InFlight += target.InFlight
		if target.Leaving {
			state.Leaving++
		}
	}
	return state
}

// count counts the attempts that the actions start. The lock is held.
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
