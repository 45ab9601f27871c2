package proxy

import "github.com/poplarwheel/poplarwheel/internal/dispatch"

// SetListed takes what the platform's list of VMs says of targets: those that
// are leaving or gone get no new attempts, and those that are back do.
func (p *Proxy) SetListed(leaving, back []string) {
	p.update(setOf(leaving, back), func(s *dispatch.Scheduler) {
		for _, name := range leaving {
			s.SetLeaving(name, true)
		}
		for _, name := range back {
			s.SetLeaving(name, false)
		}
	})
}
