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
		Canceled: a.canceled && result.Kind == Lost,
		Load:     result.Load,
	}
}

// staleReport is the age of a load report above which a probe is worth its cost
// to policies that rank by other signs.
const staleReport = time.Second

// ProbeTarget returns the target that a probe tells most about, or nil: a random
// one if the policy ranks probes, else the one with the oldest report.
func (s *Scheduler) ProbeTarget(now time.Time) *balancer.Target {
	if len(s.targets.balancerTargets) == 0 {
		return nil
	}
	target := s.targets.balancerTargets[s.rng.IntN(len(s.targets.balancerTargets))]
	if _, ok := s.policy.(balancer.Prober); !ok {
		target = oldestReport(s.targets.balancerTargets)
		if now.Sub(target.LastReportAt()) < staleReport {
			return nil
		}
	}
	if target.Probing || target.Leaving || !target.HasFreeConnection() {
		return nil
	}
	return target
}

func oldestReport(targets []*balancer.Target) *balancer.Target {
	oldest := targets[0]
	for _, target := range targets[1:] {
		if !target.Probing && target.LastReportAt().Before(oldest.LastReportAt()) {
			oldest = target
		}
	}
	return oldest
}

// Probed passes the answer to a probe to the policy.
func (s *Scheduler) Probed(now time.Time, target *balancer.Target, probe balancer.Probe) {
	target.RecordLoad(now, probe.InFlight)
	if policy, ok := s.policy.(balancer.Prober); ok {
		policy.Probed(now, target, probe)
	}
}
