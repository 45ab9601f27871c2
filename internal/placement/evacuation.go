package placement

import (
	"slices"
	"time"
)

// SetEvacuated sets the availability zones whose targets get no requests. Attempts in flight
// go on. When the evacuation of a zone ends, the load of its targets rises gradually, and if
// requests to cold targets are limited, they count as cold until a health check shows
// otherwise. The returned actions are valid until the next event.
func (p *Pool) SetEvacuated(now time.Time, zones []string) []Action {
	p.resetActions()
	p.evacuated = slices.Clone(zones)
	for _, t := range p.list {
		was := t.evacuated
		t.evacuated = p.isEvacuated(t.Zone)
		if was && !t.evacuated {
			t.rampFrom = now
			p.assumeCold(now, t, p.cold.limit.Start)
		}
	}
	p.assignPermits()
	p.assign(now)
	return p.actions
}

// isEvacuated reports whether the targets of a zone get no requests.
func (p *Pool) isEvacuated(zone string) bool { return slices.Contains(p.evacuated, zone) }

// allEvacuated reports whether all targets that are listed and not leaving are in evacuated zones.
func (p *Pool) allEvacuated() bool {
	found := false
	for _, t := range p.list {
		if t.isLeaving() {
			continue
		}
		if !t.evacuated {
			return false
		}
		found = true
	}
	return found
}
