package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// SetListed takes the names of targets whose state in the platform's list of VMs has changed.
// Leaving are those that are leaving or missing from the list; they get no new attempts.
// Active are those that were leaving or missing before and can be used again.
func (p *Proxy) SetListed(leaving, active []string) {
	p.update(setOf(leaving, active), func(s *dispatch.Scheduler) {
		for _, name := range leaving {
			s.SetLeaving(name, true)
		}
		for _, name := range active {
			s.SetLeaving(name, false)
		}
	})
}
