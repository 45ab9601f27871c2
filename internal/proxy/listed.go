package proxy

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
)

// SetListed takes what the platform's list of VMs says of targets: those that
// are leaving or gone get no new attempts, and those that are back do.
func (p *Proxy) SetListed(leaving, back []string) {
	for _, s := range *p.shards.Load() {
		s.event(nil, func(now time.Time) []dispatch.Action {
			for _, name := range leaving {
				s.scheduler.SetLeaving(name, true)
			}
			for _, name := range back {
				s.scheduler.SetLeaving(name, false)
			}
			return s.scheduler.Expire(now)
		})
	}
}
