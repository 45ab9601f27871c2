package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// SetListed marks targets as leaving, or as no longer leaving, by their names according to
// the platform's list of VMs. Leaving targets get no new attempts.
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
