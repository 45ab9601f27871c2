package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// checkInterval is the pause between two health checks of a target.
	checkInterval = 2 * time.Second
	// noResponseCheckInterval is the same for a target without a recent answer.
	noResponseCheckInterval = 1 * time.Second
	// checksPerSecond bounds the health checks of a service by this daemon.
	checksPerSecond = 10.0
	// checkBurst is the number of checks that may be saved up.
	checkBurst = 10.0
	// idleAfter is the time without calls after which a service isn't checked.
	idleAfter = 30 * time.Second
	// maxDrainTime is the time after which a target that is leaving and yet
	// healthy all along is taken for a new process.
	maxDrainTime = 10 * time.Minute
)

// checkState is the state of a target's health checks.
type checkState struct {
	respondedAt time.Time
	lastCheckAt time.Time
	// unreachableAt is when a leaving target was first found unreachable.
	unreachableAt time.Time
	// healthyWhileLeavingSince is when a check first met a leaving target.
	healthyWhileLeavingSince time.Time
}

// Check is a health check to be made.
type Check struct {
	Name    string
	Address string
	// Target is the target that is checked.
	Target *balancer.Target
}

// CheckResult is the end of a health check.
type CheckResult int

// Ends of health checks.
const (
	// CheckHealthy is an answer that the target accepts work.
	CheckHealthy CheckResult = iota
	// CheckUnhealthy is an answer that it doesn't.
	CheckUnhealthy
	// CheckLeaving is an answer that the target shuts down.
	CheckLeaving
	// CheckUnreachable is no answer.
	CheckUnreachable
	// CheckSkipped says nothing of the target.
	CheckSkipped
)

// ChecksDue returns at most limit health checks to be made now, within the
// service's budget, and counts them as made.
func (s *Scheduler) ChecksDue(now time.Time, limit int) []Check {
	s.checkCredit = min(s.checkCredit+now.Sub(s.checkedAt).Seconds()*checksPerSecond, checkBurst)
	s.checkedAt = now
	if now.Sub(s.calledAt) > idleAfter {
		return nil
	}
	var due []Check
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
		due = append(due, Check{Name: m.Name, Address: m.Address, Target: m.Target})
	}
	return due
}

func (c *checkState) due(now time.Time) bool {
	interval := checkInterval
	if now.Sub(c.respondedAt) > noResponseCheckInterval {
		interval = noResponseCheckInterval
	}
	return now.Sub(c.lastCheckAt) >= interval
}

// Checked takes the end of a health check. The driver calls Expire afterwards.
func (s *Scheduler) Checked(now time.Time, check Check, result CheckResult) {
	check.Target.Probing = false
	if m := s.targets.byName[check.Name]; m != nil && m.Target == check.Target {
		s.applyHealthCheck(now, m, result)
	}
}

func (s *Scheduler) applyHealthCheck(now time.Time, m *member, result CheckResult) {
	switch result {
	case CheckSkipped:
		return
	case CheckLeaving:
		m.markLeaving(sourceTarget)
	case CheckUnreachable:
		s.applyUnreachable(now, m)
		return
	default:
		m.health.Check(result == CheckHealthy)
	}
	m.check.clearLeavingIfReplaced(now, m, result)
}

// applyUnreachable counts a failed check, unless the target answers calls.
func (s *Scheduler) applyUnreachable(now time.Time, m *member) {
	if m.Leaving {
		m.check.unreachableAt = now
		return
	}
	if now.Sub(m.check.respondedAt) < noResponseCheckInterval {
		return
	}
	m.group.activeHealth().Failed(now, &m.health, outlier.NoConnection, s.serviceTime.mean)
}

// answered takes a leaving target back if its process must be a new one: it was
// gone before, or has been healthy for longer than any process drains.
func (c *checkState) clearLeavingIfReplaced(now time.Time, m *member, result CheckResult) {
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
