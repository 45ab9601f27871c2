package dispatch

import "time"

// SetRegion says in which region this daemon runs. Calls go to targets of that
// region, and to those of other regions while more than half of its own are lost,
// or if a call would be refused for lack of room. Targets without a region belong
// to every region. It must be called before Configure; without it, no region is
// preferred.
func (s *Scheduler) SetRegion(region string) { s.targets.region = region }

func (t *targetSet) newGroup(region string) *group {
	g := &group{}
	t.groups = append(t.groups, g)
	if region == "" || t.region == "" || region == t.region {
		t.local = append(t.local, g)
	}
	return g
}

// spansRegions reports whether the service has targets both in this daemon's region and
// elsewhere.
func (t *targetSet) spansRegions() bool {
	return len(t.local) > 0 && len(t.local) < len(t.groups)
}

// eligibleGroups returns the groups whose targets get attempts.
func (t *targetSet) eligibleGroups(now time.Time) []*group {
	if t.spansRegions() && t.localRegionUsable(now) {
		return t.local
	}
	return t.groups
}

// localRegionUsable reports whether at least half of the targets of this daemon's region
// can be used.
func (t *targetSet) localRegionUsable(now time.Time) bool {
	live, unavailable := 0, 0
	for _, g := range t.local {
		for _, m := range g.members {
			if m.Leaving {
				continue
			}
			live++
			if m.unavailable(now) {
				unavailable++
			}
		}
	}
	return live > 0 && 2*unavailable <= live
}

// lost reports whether the target is out or can't be reached.
func (m *member) unavailable(now time.Time) bool {
	m.health.Advance(now)
	return m.health.Out(now) || m.health.Unreachable()
}

// pickPreferLocal is pick for a service with targets in several regions.
func (s *Scheduler) pickPreferLocal(now time.Time, call *Call, onlyFree bool) *member {
	if s.targets.localRegionUsable(now) {
		if m := s.pickUsable(now, call, s.targets.local, onlyFree); m != nil || onlyFree {
			return m
		}
	}
	return s.pickAnyRegion(now, call, onlyFree)
}

// pickAnyRegion returns a target of any region that isn't lost and has room. No
// bound keeps lost targets in: other regions have some that work.
func (s *Scheduler) pickAnyRegion(now time.Time, call *Call, onlyFree bool) *member {
	s.scratch.reset()
	for _, m := range s.targets.members {
		if call.canUse(now, m, onlyFree) && !m.unavailable(now) {
			s.scratch.add(m)
		}
	}
	return s.pickCandidate(now)
}

// pickOverflow returns a target with room in any region for a call that this daemon's
// region has no room for.
func (s *Scheduler) pickOverflow(now time.Time, call *Call) *member {
	if !s.targets.spansRegions() {
		return nil
	}
	return s.pickAnyRegion(now, call, true)
}
