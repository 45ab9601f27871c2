package dispatch

import (
	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/entryset"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// targetKey identifies a target over changes of the configuration.
type targetKey struct{ name, address string }

// targetSet holds the targets of a service, and those taken out of the
// configuration that have attempts in flight.
type targetSet struct {
	members []*member
	list    []*balancer.Target
	byName  map[string]*member
	retired map[targetKey]*member
}

func newTargetSet() targetSet {
	return targetSet{byName: map[string]*member{}, retired: map[targetKey]*member{}}
}

// configure takes over the targets of a service. What is known of targets that
// stay is kept, also of those that come back while attempts are in flight.
func (t *targetSet) configure(service *config.Service) {
	for _, m := range t.members {
		t.retired[m.key()] = m
	}
	t.members = nil
	t.list = nil
	t.byName = map[string]*member{}
	for i := range service.Groups {
		t.addGroup(service, &service.Groups[i])
	}
	for key, m := range t.retired {
		if m.InFlight == 0 {
			delete(t.retired, key)
		}
	}
}

func (t *targetSet) addGroup(service *config.Service, group *config.TargetGroup) {
	for _, configured := range group.Targets {
		key := targetKey{name: configured.Name, address: configured.Address}
		m := t.retired[key]
		if m == nil {
			m = &member{Target: &balancer.Target{Name: configured.Name, Address: configured.Address}}
		}
		delete(t.retired, key)
		m.Zone = configured.Zone
		m.Slots = group.Slots
		m.MaxConnections = entryset.ConnectionShare(group.MaxConnections, service.EntryVMs())
		t.byName[m.Name] = m
		t.members = append(t.members, m)
		t.list = append(t.list, m.Target)
	}
}

// release counts the end of an attempt.
func (t *targetSet) release(m *member) {
	m.InFlight--
	invariant.Check(m.InFlight >= 0, invariant.InFlightBalanced, "%d at %s", m.InFlight, m.Name)
	key := m.key()
	if m.InFlight == 0 && t.retired[key] == m {
		delete(t.retired, key)
	}
}

func (m *member) key() targetKey { return targetKey{name: m.Name, address: m.Address} }
