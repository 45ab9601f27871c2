package dispatch

import (
	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// targetKey identifies a target over changes of the configuration.
type targetKey struct{ name, address string }

// targetSet holds the targets of a service, and those taken out of the
// configuration that have attempts in flight.
type targetSet struct {
	all     []*balancer.Target
	byName  map[string]*balancer.Target
	retired map[targetKey]*balancer.Target
}

func newTargetSet() targetSet {
	return targetSet{byName: map[string]*balancer.Target{}, retired: map[targetKey]*balancer.Target{}}
}

// configure takes over the targets of a service. What is known of targets that
// stay is kept, also of those that come back while attempts are in flight.
func (t *targetSet) configure(service *config.Service) {
	for _, target := range t.all {
		t.retired[keyOf(target)] = target
	}
	t.all = nil
	t.byName = map[string]*balancer.Target{}
	for i := range service.Groups {
		t.addGroup(service, &service.Groups[i])
	}
	for key, target := range t.retired {
		if target.InFlight == 0 {
			delete(t.retired, key)
		}
	}
}

func (t *targetSet) addGroup(service *config.Service, group *config.TargetGroup) {
	for _, configured := range group.Targets {
		key := targetKey{name: configured.Name, address: configured.Address}
		target := t.retired[key]
		if target == nil {
			target = &balancer.Target{Name: configured.Name, Address: configured.Address}
		}
		delete(t.retired, key)
		target.Zone = configured.Zone
		target.Slots = group.Slots
		target.MaxConnections = max(group.MaxConnections/max(service.EntrySetSize, 1), 1)
		t.byName[target.Name] = target
		t.all = append(t.all, target)
	}
}

// release counts the end of an attempt.
func (t *targetSet) release(target *balancer.Target) {
	target.InFlight--
	invariant.Check(target.InFlight >= 0, invariant.InFlightBalanced, "%d at %s", target.InFlight, target.Name)
	key := keyOf(target)
	if target.InFlight == 0 && t.retired[key] == target {
		delete(t.retired, key)
	}
}

func keyOf(target *balancer.Target) targetKey {
	return targetKey{name: target.Name, address: target.Address}
}
