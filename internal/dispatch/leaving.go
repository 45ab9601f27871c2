package dispatch

import "github.com/poplarwheel/poplarwheel/internal/balancer"

// leavingSource is a bit set of who reported that a target is leaving, that is,
// shutting down.
type leavingSource uint8

// Sources.
const (
	// sourceTarget is the target itself.
	sourceTarget leavingSource = 1 << iota
	// sourcePlatform is the platform's list of VMs.
	sourcePlatform
	// sourcePeer is another entry daemon.
	sourcePeer
)

// markLeaving marks the target as leaving.
func (m *member) markLeaving(source leavingSource) {
	m.leavingSources |= source
	m.Leaving = true
}

// clearLeaving discards the reports of the given sources, because the target's
// process is a new one. The target goes through slow start.
func (m *member) clearLeaving(leavingSources leavingSource) {
	m.leavingSources &^= leavingSources
	m.Leaving = m.leavingSources != 0
	m.health.BeginSlowStart()
}

// SetLeaving records whether the platform lists a target as leaving. A target that
// was listed as leaving and no longer is must be a new process, so all sources are
// cleared. If it was never listed as leaving, the list may lag behind the other
// sources, which therefore stay. The driver must call Expire afterwards.
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

// SetLeavingByPeer records that another daemon reported a target as leaving. The
// driver must call Expire afterwards.
func (s *Scheduler) SetLeavingByPeer(name string) {
	if m := s.targets.byName[name]; m != nil {
		m.markLeaving(sourcePeer)
	}
}

// SetLeavingByTarget records that a target reported itself as leaving in its
// response to a probe. The driver must call Expire afterwards.
func (s *Scheduler) SetLeavingByTarget(target *balancer.Target) {
	if m := s.targets.byName[target.Name]; m != nil && m.Target == target {
		m.markLeaving(sourceTarget)
	}
}

// SelfReportedLeaving returns the names of the targets that reported themselves as
// leaving. The driver passes them on to other daemons.
func (s *Scheduler) SelfReportedLeaving() []string {
	var names []string
	for _, m := range s.targets.members {
		if m.leavingSources&sourceTarget != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}
