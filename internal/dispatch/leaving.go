package dispatch

import "github.com/poplarwheel/poplarwheel/internal/balancer"

// leavingSigns say who reported that a target is leaving.
type leavingSigns uint8

// Signs.
const (
	// signAnswer is the target's own word.
	signAnswer leavingSigns = 1 << iota
	// signList is the platform's list of VMs.
	signList
	// signPeer is another entry daemon's word.
	signPeer
)

// leave marks the target as leaving.
func (m *member) leave(sign leavingSigns) {
	m.signs |= sign
	m.Leaving = true
}

// comeBack takes signs back: the target's process is a new one.
func (m *member) comeBack(signs leavingSigns) {
	m.signs &^= signs
	m.Leaving = m.signs != 0
	m.health.Restart()
}

// SetLeaving takes the platform's view of a target. A target that the list took
// back after listing it as leaving is a new process; before that, the list may
// lag behind other signs and takes none of them back. The driver calls Expire
// afterwards.
func (s *Scheduler) SetLeaving(name string, leaving bool) {
	m := s.targets.byName[name]
	switch {
	case m == nil:
	case leaving:
		m.leave(signList)
	case m.signs&signList != 0:
		m.comeBack(signAnswer | signList | signPeer)
	}
}

// SetLeavingByPeer takes another daemon's word that a target is leaving. The
// driver calls Expire afterwards.
func (s *Scheduler) SetLeavingByPeer(name string) {
	if m := s.targets.byName[name]; m != nil {
		m.leave(signPeer)
	}
}

// SetLeavingByReport takes a load report that says that the target shuts down.
// The driver calls Expire afterwards.
func (s *Scheduler) SetLeavingByReport(target *balancer.Target) {
	if m := s.targets.byName[target.Name]; m != nil && m.Target == target {
		m.leave(signAnswer)
	}
}

// LeavingByAnswer returns the names of the targets that said themselves that they
// are leaving, for other daemons.
func (s *Scheduler) LeavingByAnswer() []string {
	var names []string
	for _, m := range s.targets.members {
		if m.signs&signAnswer != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}
