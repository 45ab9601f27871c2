package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// checkInterval is the interval between the health checks of a target.
	checkInterval = 2 * time.Second
	// noResponseCheckInterval is the interval for a target that has not responded to
	// an attempt recently.
	noResponseCheckInterval = 1 * time.Second
	// checksPerSecond limits the rate of this daemon's health checks of a service.
	checksPerSecond = 10.0
	// checkBurst is the maximum number of unused checks that accumulate.
	checkBurst = 10.0
	// idleAfter is the time without calls after which the targets of a service
	// are no longer checked.
	idleAfter = 30 * time.Second
	// maxDrainTime is the longest time that a process takes to shut down. A leaving
	// target that stays healthy for this long must be a new process.
	maxDrainTime = 10 * time.Minute
)

// checkState is the state of a target's health checks.
type checkState struct {
	// respondedAt is when the target last responded to an attempt.
	respondedAt time.Time
	// lastCheckAt is when the last check started.
	lastCheckAt time.Time
	// unreachableAt is when a check last found the target leaving and unreachable;
	// zero means never.
	unreachableAt time.Time
	// healthyWhileLeavingSince is when the checks began to find the target healthy
	// although it is leaving; zero if the last response was another.
	healthyWhileLeavingSince time.Time
}

// HealthCheck is a health check that the driver has to make.
type HealthCheck struct {
	Name    string
	Address string
	// Target is the target to check.
	Target *balancer.Target
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult int

// Results of health checks.
const (
	// CheckHealthy means that the target accepts requests.
	CheckHealthy HealthCheckResult = iota
	// CheckUnhealthy means that the target responded that it accepts none.
	CheckUnhealthy
	// CheckLeaving means that the target responded that it is shutting down.
	CheckLeaving
	// CheckUnreachable means that the target didn't respond.
	CheckUnreachable
	// CheckSkipped means that the check tells nothing about the target.
	CheckSkipped
)

// DueHealthChecks returns the health checks to be made now, at most limit and within the
// service's check rate, and counts them as started.
func (s *Scheduler) DueHealthChecks(now time.Time, limit int) []HealthCheck {
	s.checkCredit = min(s.checkCredit+now.Sub(s.checkedAt).Seconds()*checksPerSecond, checkBurst)
	s.checkedAt = now
	if now.Sub(s.calledAt) > idleAfter {
		return nil
	}
	var due []HealthCheck
	for _, m := range s.targets.members {
		if s.checkCredit < 1 || len(due) == limit {
			break
		}
		if !m.check.due(now) || m.Probing || !m.HasFreeConnection() {
			continue
		}
		s.checkCredit--
		m.check.lastCheckAt = now
		m.Probing = true
		due = append(due, HealthCheck{Name: m.Name, Address: m.Address, Target: m.Target})
	}
	return due
}

// due reports whether the next check of the target is due.
func (c *checkState) due(now time.Time) bool {
	interval := checkInterval
	if now.Sub(c.respondedAt) > noResponseCheckInterval {
		interval = noResponseCheckInterval
	}
	return now.Sub(c.lastCheckAt) >= interval
}

// RecordHealthCheck handles the result of a health check. The driver must call Expire
// afterwards.
func (s *Scheduler) RecordHealthCheck(now time.Time, check HealthCheck, result HealthCheckResult) {
	check.Target.Probing = false
	if m := s.targets.byName[check.Name]; m != nil && m.Target == check.Target {
		s.applyHealthCheck(now, m, result)
	}
}

// applyHealthCheck updates the state of a target with the result of a health check.
func (s *Scheduler) applyHealthCheck(now time.Time, m *member, result HealthCheckResult) {
	switch result {
	case CheckSkipped:
		return
	case CheckLeaving:
		m.markLeaving(sourceTarget)
	case CheckUnreachable:
		s.applyUnreachable(now, m)
		return
	default:
		m.health.RecordHealthCheck(result == CheckHealthy)
	}
	m.check.clearLeavingIfReplaced(now, m, result)
}

// applyUnreachable records a health check without a response. It counts as a
// failure unless the target has recently responded to attempts.
func (s *Scheduler) applyUnreachable(now time.Time, m *member) {
	if m.Leaving {
		m.check.unreachableAt = now
		return
	}
	if now.Sub(m.check.respondedAt) < noResponseCheckInterval {
		return
	}
	m.group.activeHealth().RecordFailure(now, &m.health, outlier.NoConnection, s.serviceTime.mean)
}

// clearLeavingIfReplaced returns a leaving target to service if its process must be
// a new one: the target is healthy, and was unreachable before or has been healthy
// for maxDrainTime. It is called for each check that got a response.
func (c *checkState) clearLeavingIfReplaced(now time.Time, m *member, result HealthCheckResult) {
	if !m.Leaving || result != CheckHealthy {
		c.healthyWhileLeavingSince = time.Time{}
		return
	}
	if c.healthyWhileLeavingSince.IsZero() {
		c.healthyWhileLeavingSince = now
	}
	if !c.unreachableAt.IsZero() || now.Sub(c.healthyWhileLeavingSince) >= maxDrainTime {
		c.unreachableAt = time.Time{}
		c.healthyWhileLeavingSince = time.Time{}
		m.clearLeaving(sourceTarget | sourcePeer)
	}
}
