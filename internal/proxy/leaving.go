package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// SetTargetsLeavingByPlatform takes the names of targets according to the platform's list
// of VMs. Leaving are those that are leaving or missing from the list; they get no new
// attempts. Active are those that were leaving or missing before and can be used again.
func (p *Proxy) SetTargetsLeavingByPlatform(leaving, active []string) {
	p.update(setOf(leaving, active), func(s *dispatch.Scheduler) {
		for _, name := range leaving {
			s.SetLeaving(name, true)
		}
		for _, name := range active {
			s.SetLeaving(name, false)
		}
	})
}
