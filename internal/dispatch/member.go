package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// slotHeadroom is the number of attempts that may wait for a slot at the target
// itself, so that no slot is idle while a response is in transit.
const slotHeadroom = 1

// member is a target of the service with the scheduler's state of it.
type member struct {
	*balancer.Target
	group *group
	// health is the target's state in outlier detection.
	health outlier.Target
	// leavingSources are those that reported the target as leaving.
	leavingSources leavingSource
	check          checkState
	// lastState is the state last recorded by recordState; empty before the first
	// time.
	lastState TargetState
}

// group is a set of interchangeable targets of one region.
type group struct {
	members []*member
	// scratch is the reused result of activeHealth.
	scratch outlier.Group
}

// activeHealth returns the health of the active targets, those that aren't leaving.
// The result is valid until the next call.
func (g *group) activeHealth() outlier.Group {
	g.scratch = g.scratch[:0]
	for _, m := range g.members {
		if !m.Leaving {
			g.scratch = append(g.scratch, &m.health)
		}
	}
	return g.scratch
}

// attemptLimit returns the number of attempts up to which the target gets queued
// calls from this daemon: its slots that other daemons don't use plus
// slotHeadroom, or less during slow start.
func (m *member) attemptLimit(now time.Time) int {
	return m.health.ConcurrencyLimit(max(m.Slots+slotHeadroom-int(m.Others(now)+0.5), 1))
}

// hasFreeSlot reports whether the target is expected to have a slot free for another
// attempt.
func (m *member) hasFreeSlot(now time.Time) bool { return m.InFlight < m.attemptLimit(now) }
