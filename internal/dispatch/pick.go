package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// candidates are the targets among which the policy picks that of an attempt.
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

// pick returns the target of the call's next attempt, or nil if there is none. With
// onlyFree, it returns a target with a free slot or nil. Without, it falls back to
// targets without a free slot, and then to those that outlier detection excludes.
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

// pickUsable picks a target of the given groups that isn't excluded and can take the
// call.
func (s *Scheduler) pickUsable(now time.Time, call *Call, groups []*group, onlyFree bool) *member {
	s.scratch.reset()
	for _, g := range groups {
		s.scratch.addUsable(now, call, g, onlyFree)
	}
	return s.pickCandidate(now)
}

// pickCandidate returns the candidate that the policy picks, or nil without
// candidates.
func (s *Scheduler) pickCandidate(now time.Time) *member {
	if len(s.scratch.targets) == 0 {
		return nil
	}
	return s.scratch.memberOf(s.policy.Pick(now, s.rng, s.scratch.targets))
}

// addUsable adds the targets of a group that aren't excluded and can take the call.
func (c *candidates) addUsable(now time.Time, call *Call, g *group, onlyFree bool) {
	exclusion := g.exclusion(now)
	for _, m := range g.members {
		if call.canUse(now, m, onlyFree) && !exclusion.covers(now, m) {
			c.add(m)
		}
	}
}

// canUse reports whether the target can take an attempt of the call, apart from
// outlier detection. With onlyFree, it must have a free slot; without, only a
// target in slow start must.
func (c *Call) canUse(now time.Time, m *member, onlyFree bool) bool {
	if m.Leaving || !m.HasFreeConnection() || c.hasTried(m.Target) {
		return false
	}
	return m.hasFreeSlot(now) || !onlyFree && !m.health.InSlowStart()
}

// addActive adds every active target that the call has not tried and that has a free
// connection.
func (c *candidates) addActive(call *Call, members []*member) {
	for _, m := range members {
		if !m.Leaving && m.HasFreeConnection() && !call.hasTried(m.Target) {
			c.add(m)
		}
	}
}

// exclusion is which targets of a group get no attempts because of their health.
type exclusion int

const (
	// exclusionAll excludes ejected, backing-off and unhealthy targets.
	exclusionAll exclusion = iota
	// exclusionEjected excludes ejected targets only.
	exclusionEjected
	// exclusionNone excludes no target. So many targets of the group seem bad that
	// the signals of their health are unlikely to be right.
	exclusionNone
)

// exclusion returns the strictest exclusion that stays within the number of targets
// that may be excluded from the group.
func (g *group) exclusion(now time.Time) exclusion {
	active, excluded, ejected := 0, 0, 0
	for _, m := range g.members {
		if m.Leaving {
			continue
		}
		m.health.EndExpiredEjection(now)
		active++
		if m.health.Excluded(now) {
			excluded++
		}
		if m.health.Ejected(now) {
			ejected++
		}
	}
	limit := outlier.MaxExcluded(active)
	switch {
	case excluded <= limit:
		return exclusionAll
	case ejected <= limit:
		return exclusionEjected
	}
	return exclusionNone
}

// covers reports whether the target is excluded.
func (e exclusion) covers(now time.Time, m *member) bool {
	switch e {
	case exclusionAll:
		return m.health.Excluded(now)
	case exclusionEjected:
		return m.health.Ejected(now)
	}
	return false
}

// memberOf returns the candidate's member, or nil if the target is no candidate.
func (c *candidates) memberOf(target *balancer.Target) *member {
	for i, candidate := range c.targets {
		if candidate == target {
			return c.members[i]
		}
	}
	return nil
}

// anyActive reports whether any target is active.
func (t *targetSet) anyActive() bool {
	for _, m := range t.members {
		if !m.Leaving {
			return true
		}
	}
	return false
}
