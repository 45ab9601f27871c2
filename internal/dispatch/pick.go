package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
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
// With onlyFree, busy targets don't count. Targets that are out count only if no
// other does, and never with onlyFree.
func (s *Scheduler) pick(now time.Time, call *Call, onlyFree bool) *member {
	if s.targets.spansRegions() {
		if m := s.pickPreferLocal(now, call, onlyFree); m != nil || onlyFree {
			return m
		}
	}
	if m := s.pickUsable(now, call, s.targets.groups, onlyFree); m != nil || onlyFree {
		return m
	}
	s.scratch.addActive(call, s.targets.members)
	return s.pickCandidate(now)
}

// pickUsable returns a target of the given groups that is in and has room.
func (s *Scheduler) pickUsable(now time.Time, call *Call, groups []*group, onlyFree bool) *member {
	s.scratch.reset()
	for _, g := range groups {
		s.scratch.addUsable(now, call, g, onlyFree)
	}
	return s.pickCandidate(now)
}

// pickCandidate returns what the policy chooses among the candidates.
func (s *Scheduler) pickCandidate(now time.Time) *member {
	if len(s.scratch.targets) == 0 {
		return nil
	}
	return s.scratch.memberOf(s.policy.Pick(now, s.rng, s.scratch.targets))
}

// addUsable adds the targets of a group that are in and have room.
func (c *candidates) addUsable(now time.Time, call *Call, g *group, onlyFree bool) {
	exclusion := g.exclusion(now)
	for _, m := range g.members {
		if call.canUse(now, m, onlyFree) && !exclusion.covers(now, m) {
			c.add(m)
		}
	}
}

// canUse reports whether the call may be attempted at a target that is in. With
// onlyFree, a busy target won't do.
func (c *Call) canUse(now time.Time, m *member, onlyFree bool) bool {
	if m.Leaving || !m.HasFreeConnection() || c.hasTried(m.Target) {
		return false
	}
	return m.hasFreeSlot(now) || !onlyFree && !m.health.Cold()
}

// addActive adds every target that isn't leaving.
func (c *candidates) addActive(call *Call, members []*member) {
	for _, m := range members {
		if !m.Leaving && m.HasFreeConnection() && !call.hasTried(m.Target) {
			c.add(m)
		}
	}
}

// exclusion says which targets of a group are left out.
type exclusion int

const (
	// exclusionAll leaves out ejected, resting and unhealthy targets.
	exclusionAll exclusion = iota
	// exclusionEjected leaves out ejected targets.
	exclusionEjected
	// exclusionNone leaves out none: too many targets seem bad to believe it.
	exclusionNone
)

// exclusion returns the widest exclusion that leaves enough of the group in.
func (g *group) exclusion(now time.Time) exclusion {
	live, out, ejected := 0, 0, 0
	for _, m := range g.members {
		if m.Leaving {
			continue
		}
		m.health.Advance(now)
		live++
		if m.health.Out(now) {
			out++
		}
		if m.health.Ejected(now) {
			ejected++
		}
	}
	bound := outlier.MaxOut(live)
	switch {
	case out <= bound:
		return exclusionAll
	case ejected <= bound:
		return exclusionEjected
	}
	return exclusionNone
}

func (e exclusion) covers(now time.Time, m *member) bool {
	switch e {
	case exclusionAll:
		return m.health.Out(now)
	case exclusionEjected:
		return m.health.Ejected(now)
	}
	return false
}

func (c *candidates) memberOf(target *balancer.Target) *member {
	for i, candidate := range c.targets {
		if candidate == target {
			return c.members[i]
		}
	}
	return nil
}

// anyActive reports whether any target may get attempts.
func (t *targetSet) anyActive() bool {
	for _, m := range t.members {
		if !m.Leaving {
			return true
		}
	}
	return false
}
