package dispatch

import (
	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/entryset"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// targetKey identifies a target across configuration changes.
type targetKey struct{ name, address string }

// targetSet holds the targets of a service, and those that were removed from its
// configuration but still have attempts in flight.
type targetSet struct {
	// region is the region of this daemon; empty means that no region is preferred.
	region  string
	members []*member
	// groups are all groups, local those of the local region (see SetRegion).
	groups []*group
	local  []*group
	// balancerTargets are the targets of members, in the same order.
	balancerTargets []*balancer.Target
	byName          map[string]*member
	// retired holds the removed targets that have attempts in flight.
	retired map[targetKey]*member
}

func newTargetSet() targetSet {
	return targetSet{byName: map[string]*member{}, retired: map[targetKey]*member{}}
}

// configure replaces the targets by those of the service's configuration. The state
// of targets that remain is kept, also that of removed targets that are added again
// while they have attempts in flight.
func (t *targetSet) configure(service *config.Service) {
	for _, m := range t.members {
		t.retired[m.key()] = m
	}
	isUpdate := len(t.members) > 0
	t.members = nil
	t.groups = nil
	t.local = nil
	t.balancerTargets = nil
	t.byName = map[string]*member{}
	for i := range service.Groups {
		t.addGroup(service, &service.Groups[i], isUpdate)
	}
	for key, m := range t.retired {
		if m.InFlight == 0 {
			delete(t.retired, key)
		}
	}
}

// addGroup adds the targets of one configured group, divided into one group per
// region. With isUpdate, the service already had targets, and new ones go through
// slow start.
func (t *targetSet) addGroup(service *config.Service, configuredGroup *config.TargetGroup, isUpdate bool) {
	byRegion := map[string]*group{}
	for _, configured := range configuredGroup.Targets {
		key := targetKey{name: configured.Name, address: configured.Address}
		m := t.retired[key]
		if m == nil {
			m = newMember(configured, isUpdate)
		}
		delete(t.retired, key)
		m.Zone = configured.Zone
		m.Slots = configuredGroup.Slots
		m.MaxConnections = entryset.ConnectionShare(configuredGroup.MaxConnections, service.EntryVMs())
		g := byRegion[configured.Region]
		if g == nil {
			g = t.newGroup(configured.Region)
			byRegion[configured.Region] = g
		}
		m.group = g
		g.members = append(g.members, m)
		t.byName[m.Name] = m
		t.members = append(t.members, m)
		t.balancerTargets = append(t.balancerTargets, m.Target)
	}
}

// newMember returns a member for a configured target. With cold, it goes through
// slow start.
func newMember(configured config.Target, cold bool) *member {
	m := &member{Target: &balancer.Target{Name: configured.Name, Address: configured.Address}}
	if cold {
		m.health.BeginSlowStart()
	}
	return m
}

// release records that an attempt at the target is no longer in flight. It forgets a
// removed target after its last attempt.
func (t *targetSet) release(m *member) {
	m.InFlight--
	if m.InFlight < 0 {
		invariant.Breached(invariant.InFlightBalanced, "%d attempts in flight at %s", m.InFlight, m.Name)
	}
	key := m.key()
	if m.InFlight == 0 && t.retired[key] == m {
		delete(t.retired, key)
	}
}

func (m *member) key() targetKey { return targetKey{name: m.Name, address: m.Address} }
