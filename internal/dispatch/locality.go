package dispatch

import "time"

// SetRegion sets the region of this daemon, the local region. Calls go to its
// targets. They go to other regions only while more than half of the local targets
// are unavailable, or if a call would be refused because no local slot is free.
// Targets without a region count as local to every region. SetRegion must be called
// before Configure; without it, no region is preferred.
func (s *Scheduler) SetRegion(region string) { s.targets.region = region }

// newGroup adds an empty group of targets of one region.
func (t *targetSet) newGroup(region string) *group {
	g := &group{}
	t.groups = append(t.groups, g)
	if region == "" || t.region == "" || region == t.region {
		t.local = append(t.local, g)
	}
	return g
}

// spansRegions reports whether the service has targets both in the local region and
// in others.
func (t *targetSet) spansRegions() bool {
	return len(t.local) > 0 && len(t.local) < len(t.groups)
}

// eligibleGroups returns the groups whose targets get attempts at present.
func (t *targetSet) eligibleGroups(now time.Time) []*group {
	if t.spansRegions() && t.localRegionUsable(now) {
		return t.local
	}
	return t.groups
}

// localRegionUsable reports whether at least half of the active (not leaving) local
// targets are available.
func (t *targetSet) localRegionUsable(now time.Time) bool {
	active, unavailable := 0, 0
	for _, g := range t.local {
		for _, m := range g.members {
			if m.Leaving {
				continue
			}
			active++
			if m.unavailable(now) {
				unavailable++
			}
		}
	}
	return active > 0 && 2*unavailable <= active
}

// unavailable reports whether outlier detection excludes the target or it can't be
// reached.
func (m *member) unavailable(now time.Time) bool {
	m.health.EndExpiredEjection(now)
	return m.health.Excluded(now) || m.health.Unreachable()
}

// pickPreferLocal is pick for a service that spans regions: it picks a local target
// while the local region is usable, else one of any region.
func (s *Scheduler) pickPreferLocal(now time.Time, call *Call, onlyFree bool) *member {
	if s.targets.localRegionUsable(now) {
		if m := s.pickUsable(now, call, s.targets.local, onlyFree); m != nil || onlyFree {
			return m
		}
	}
	return s.pickAnyRegion(now, call, onlyFree)
}

// pickAnyRegion picks an available target with capacity in any region. Unlike
// pickUsable, it leaves out all unavailable targets, however many they are, since
// other regions have available ones.
func (s *Scheduler) pickAnyRegion(now time.Time, call *Call, onlyFree bool) *member {
	s.scratch.reset()
	for _, m := range s.targets.members {
		if call.canUse(now, m, onlyFree) && !m.unavailable(now) {
			s.scratch.add(m)
		}
	}
	return s.pickCandidate(now)
}

// pickOverflow picks a target with a free slot in any region for a call that has to
// be refused otherwise. It returns nil if the service doesn't span regions.
func (s *Scheduler) pickOverflow(now time.Time, call *Call) *member {
	if !s.targets.spansRegions() {
		return nil
	}
	return s.pickAnyRegion(now, call, true)
}
