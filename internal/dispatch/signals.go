package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// sample is what the end of the attempt says about its target.
func (a *Attempt) sample(result Result) balancer.Sample {
	return balancer.Sample{
		Started:  a.Started,
		Answered: result.Kind == Answered && !result.ServerError,
		Canceled: a.stopped && result.Kind == Lost,
		Load:     result.Load,
	}
}

// Probed passes the answer to a probe to the policy.
func (s *Scheduler) Probed(now time.Time, target *balancer.Target, probe balancer.Probe) {
	target.Observe(now, probe.InFlight)
	if policy, ok := s.policy.(balancer.Prober); ok {
		policy.Probed(now, target, probe)
	}
}
