package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// exclusion says which targets are left out.
type exclusion int

const (
	// excludeOut leaves out ejected, resting and unhealthy targets.
	excludeOut exclusion = iota
	// excludeEjected leaves out ejected targets: too many seem bad to believe it.
	excludeEjected
)

// exclusion returns the widest exclusion that leaves enough targets in.
func (p *Pool) exclusion(now time.Time) exclusion {
	out := 0
	for _, health := range p.group {
		health.Advance(now)
		if health.Out(now) {
			out++
		}
	}
	if out <= outlier.MaxOut(len(p.group)) {
		return excludeOut
	}
	return excludeEjected
}

// allows reports whether a target may get new requests.
func (e exclusion) allows(now time.Time, t *Target) bool {
	if t.ends() {
		return false
	}
	if e == excludeOut {
		return !t.health.Out(now)
	}
	return !t.health.Ejected(now)
}

// choice is what holds for the choice of a request's target at a moment.
type choice struct {
	exclusion exclusion
	// blind is set if targets without a fresh report are taken, too.
	blind bool
	// near is set if only targets of the own zone are.
	near bool
	// spare is set if places of other daemons are used.
	spare bool
}

// choiceFor returns what holds for a request's choice.
func (p *Pool) choiceFor(now time.Time, r *Request, exclusion exclusion) choice {
	return choice{
		exclusion: exclusion,
		blind:     p.mute || len(r.live) == 0 && now.Sub(r.arrived) > blindAfter && p.probes == 0,
		near:      now.Before(r.farFrom()) && p.hasNear(now, exclusion),
		spare:     p.lacksPlaces(now, exclusion),
	}
}

// allows reports whether a request of the given zone may go to a target.
func (c choice) allows(now time.Time, t *Target, r *Request, zone string) bool {
	switch {
	case !c.exclusion.allows(now, t), r.hasTried(t), !t.free(now):
		return false
	case c.near && t.Zone != zone:
		return false
	case t.mute && t.own() >= t.places && !c.spare:
		return false
	}
	return c.blind || t.fresh(now)
}

// choose returns the target that a request goes to now, nil if it has to wait.
func (p *Pool) choose(now time.Time, r *Request, exclusion exclusion) *Target {
	choice := p.choiceFor(now, r, exclusion)
	var best *Target
	bestCost := 0.0
	for _, t := range p.list {
		if !choice.allows(now, t, r, p.zone) {
			continue
		}
		if cost := t.cost(now, r, p.zone); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil || !p.accepts(now, r, best) {
		return nil
	}
	return best
}

// pressed reports whether requests that can be in time have lately had to wait.
func (p *Pool) pressed(now time.Time) bool { return now.Sub(p.pressedAt) < pressedFor }

// accepts reports whether a request takes its best target rather than wait for a
// better one.
func (p *Pool) accepts(now time.Time, r *Request, t *Target) bool {
	slowness := t.Slowness(now)
	if len(r.live) > 0 {
		return slowness <= goodSlowness
	}
	if !r.inTime(now) && p.pressed(now) && t.Load(now) >= max(1, t.limit()-1) {
		// It must not take the room of requests that can still be in time.
		return false
	}
	if slowness <= goodSlowness {
		return true
	}
	if now.Sub(r.arrived) < patience {
		return false
	}
	if !r.inTime(now) {
		return !p.pressed(now)
	}
	return now.Add(expectedTime(r.Work, slowness)).Before(r.Due)
}
