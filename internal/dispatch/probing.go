package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// sample converts the result of the attempt for the balancer.
func (a *Attempt) sample(result Result) balancer.Sample {
	return balancer.Sample{
		Started:  a.Started,
		Answered: result.Kind == Answered && !result.ServerError,
		Canceled: a.canceled && result.Kind == Lost,
		Load:     result.Load,
	}
}

// staleReport is the age from which a load report is replaced by a probe under
// policies that don't rank targets by probes. With a newer report, a probe isn't
// worth its cost.
const staleReport = time.Second

// ProbeTarget returns the target to probe now, or nil. It is a random target if the
// policy ranks targets by probes, else the one with the oldest load report if that
// is stale.
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

// oldestReport returns the target with the oldest load report. Of the targets that
// are being probed, it considers only the first in the list.
func oldestReport(targets []*balancer.Target) *balancer.Target {
	oldest := targets[0]
	for _, target := range targets[1:] {
		if !target.Probing && target.LastReportAt().Before(oldest.LastReportAt()) {
			oldest = target
		}
	}
	return oldest
}

// RecordProbe records the response to a probe and passes it to a policy that ranks
// targets by probes.
func (s *Scheduler) RecordProbe(now time.Time, target *balancer.Target, probe balancer.Probe) {
	target.RecordLoad(now, probe.InFlight)
	if policy, ok := s.policy.(balancer.Prober); ok {
		policy.RecordProbe(now, target, probe)
	}
}
