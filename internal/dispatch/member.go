package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// slotHeadroom is the number of attempts that may wait at a target for a slot,
// so that no slot idles while an answer is on its way.
const slotHeadroom = 1

// member is a target with what the scheduler knows of it.
type member struct {
	*balancer.Target
	group *group
	// health judges the target's answers.
	health outlier.Target
	// signs say why the target is leaving.
	leavingSources leavingSource
	check          checkState
	lastState      TargetState
}

// group is a set of interchangeable targets of one region.
type group struct {
	members []*member
	scratch outlier.Group
}

// live returns the records of the targets that aren't leaving. It is valid until
// the next call.
func (g *group) activeHealth() outlier.Group {
	g.scratch = g.scratch[:0]
	for _, m := range g.members {
		if !m.Leaving {
			g.scratch = append(g.scratch, &m.health)
		}
	}
	return g.scratch
}

// limit is the number of attempts that this daemon keeps at the target while
// calls wait.
func (m *member) attemptLimit(now time.Time) int {
	return m.health.Limit(max(m.Slots+slotHeadroom-int(m.Others(now)+0.5), 1))
}

// free reports whether the target is believed to have room for an attempt.
func (m *member) hasFreeSlot(now time.Time) bool { return m.InFlight < m.attemptLimit(now) }
