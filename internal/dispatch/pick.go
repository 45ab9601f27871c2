package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// candidates are the targets that an attempt may go to.
type candidates struct {
	members []*member
	targets []*balancer.Target
}

func (c *candidates) reset() {
	c.members = c.members[:0]
	c.targets = c.targets[:0]
}

func (c *candidates) add(m *member) {
	c.members = append(c.members, m)
	c.targets = append(c.targets, m.Target)
}

// pick returns the target of the call's next attempt, nil if there is none.
// With onlyFree, busy targets don't count.
func (s *Scheduler) pick(now time.Time, call *Call, onlyFree bool) *member {
	s.scratch.reset()
	for _, m := range s.targets.members {
		if m.Leaving || !m.HasConnection() || call.hasTried(m.Target) {
			continue
		}
		if onlyFree && !m.free(now) {
			continue
		}
		s.scratch.add(m)
	}
	if len(s.scratch.targets) == 0 {
		return nil
	}
	return s.scratch.memberOf(s.policy.Pick(now, s.rng, s.scratch.targets))
}

func (c *candidates) memberOf(target *balancer.Target) *member {
	for i, candidate := range c.targets {
		if candidate == target {
			return c.members[i]
		}
	}
	return nil
}

// anyLive reports whether any target may get attempts.
func (t *targetSet) anyLive() bool {
	for _, m := range t.members {
		if !m.Leaving {
			return true
		}
	}
	return false
}
