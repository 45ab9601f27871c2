package dispatch

import "github.com/poplarwheel/poplarwheel/internal/balancer"

// leavingSource say who reported that a target is leaving.
type leavingSource uint8

// Signs.
const (
	// sourceTarget is the target's own word.
	sourceTarget leavingSource = 1 << iota
	// sourcePlatform is the platform's list of VMs.
	sourcePlatform
	// sourcePeer is another entry daemon's word.
	sourcePeer
)

// leave marks the target as leaving.
func (m *member) markLeaving(source leavingSource) {
	m.leavingSources |= source
	m.Leaving = true
}

// clearLeaving takes signs back: the target's process is a new one.
func (m *member) clearLeaving(leavingSources leavingSource) {
	m.leavingSources &^= leavingSources
	m.Leaving = m.leavingSources != 0
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
		m.markLeaving(sourcePlatform)
	case m.leavingSources&sourcePlatform != 0:
		m.clearLeaving(sourceTarget | sourcePlatform | sourcePeer)
	}
}

// SetLeavingByPeer takes another daemon's word that a target is leaving. The
// driver calls Expire afterwards.
func (s *Scheduler) SetLeavingByPeer(name string) {
	if m := s.targets.byName[name]; m != nil {
		m.markLeaving(sourcePeer)
	}
}

// SetLeavingByReport takes a load report that says that the target shuts down.
// The driver calls Expire afterwards.
func (s *Scheduler) SetLeavingByReport(target *balancer.Target) {
	if m := s.targets.byName[target.Name]; m != nil && m.Target == target {
		m.markLeaving(sourceTarget)
	}
}

// LeavingByAnswer returns the names of the targets that said themselves that they
// are leaving, for other daemons.
func (s *Scheduler) LeavingByAnswer() []string {
	var names []string
	for _, m := range s.targets.members {
		if m.leavingSources&sourceTarget != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}
