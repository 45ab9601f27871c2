package platformd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// vmList is the list of VMs with its past, so that it can lag. The store's lock
// protects it.
type vmList struct {
	lag time.Duration
	// states are ordered by time. The first is what readers see at least.
	states []vmListState
}

type vmListState struct {
	at   time.Time
	list platform.VMList
}

// change appends a state derived from the latest one.
func (l *vmList) change(now time.Time, version platform.Version, name string, vm *platform.VM) {
	next := platform.VMList{Version: version}
	if len(l.states) > 0 {
		for _, other := range l.states[len(l.states)-1].list.VMs {
			if other.Name != name {
				next.VMs = append(next.VMs, other)
			}
		}
	}
	if vm != nil {
		next.VMs = append(next.VMs, *vm)
	}
	l.states = append(l.states, vmListState{at: now, list: next})
}

// visible returns the list as it was lag ago, and forgets what came before.
func (l *vmList) visible(now time.Time) platform.VMList {
	for len(l.states) > 1 && !l.states[1].at.Add(l.lag).After(now) {
		l.states = l.states[1:]
	}
	if len(l.states) == 0 || l.states[0].at.Add(l.lag).After(now) {
		return platform.VMList{}
	}
	return l.states[0].list
}

// SetListLag sets the age of the list that readers see.
func (s *Store) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.lag = lag
}

// SetVM adds or replaces a VM in the list.
func (s *Store) SetVM(vm platform.VM) { s.changeVM(vm.Name, &vm) }

// RemoveVM removes a VM from the list.
func (s *Store) RemoveVM(name string) { s.changeVM(name, nil) }

func (s *Store) changeVM(name string, vm *platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.change(time.Now(), s.advance(), name, vm)
	if s.list.lag > 0 {
		time.AfterFunc(s.list.lag+time.Millisecond, s.wake)
	}
}

// wake makes waiting readers look again.
func (s *Store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// VMs waits until the list's version is above after, for wait at most. The
// result is false on timeout.
func (s *Store) VMs(after platform.Version, wait time.Duration) (platform.VMList, bool) {
	var list platform.VMList
	ok := s.await(wait, func() bool {
		list = s.list.visible(time.Now())
		return list.Version > after
	})
	return list, ok
}
