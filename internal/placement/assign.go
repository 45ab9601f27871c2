package placement

import (
	"slices"
	"time"

	xrate "golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// probesPerRequest is the number of targets asked for each waiting request.
	probesPerRequest = 3
	// maxProbes bounds the probes of a pool that are under way.
	maxProbes = 12
	// freeGap is the least time between probes of a target that seems to have room.
	freeGap = 8 * time.Millisecond
	// fullGap is the same for one that seems to have none.
	fullGap = 30 * time.Millisecond
	// farGap is the same in another availability zone.
	farGap = 80 * time.Millisecond
	// pressedAfter is how long a request that can be in time waits until it shows that
	// the targets are pressed, pressedFor how long that holds.
	pressedAfter = 20 * time.Millisecond
	pressedFor   = 200 * time.Millisecond
	// recheckEvery is the pause until waiting requests look again.
	recheckEvery = 5 * time.Millisecond
)

// assign sends waiting requests to targets that are known to have room, and asks
// others.
func (p *Pool) assign(now time.Time) {
	p.recheckAt = time.Time{}
	if len(p.queue) == 0 {
		p.busySince = time.Time{}
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *Request) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	exclusion := p.exclusion(now)
	waiting := p.queue[:0]
	for _, r := range p.queue {
		if len(r.live) > 0 && !r.inTime(now) {
			// Another send would not be in time either.
			r.waiting = false
			continue
		}
		if t := p.choose(now, r, exclusion); t != nil {
			p.send(now, r, t)
			continue
		}
		waiting = append(waiting, r)
	}
	clear(p.queue[len(waiting):])
	p.queue = waiting
	if len(p.queue) == 0 {
		p.busySince = time.Time{}
		return
	}
	if p.busySince.IsZero() {
		p.busySince = now
		p.rate.reset(now)
	}
	if first := p.queue[0]; first.inTime(now) && now.Sub(first.arrived) > pressedAfter {
		p.pressedAt = now
	}
	p.ask(now, exclusion)
	p.recheckAt = now.Add(recheckEvery)
}

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

// choose returns the target that a request goes to now, nil if it has to wait.
func (p *Pool) choose(now time.Time, r *Request, exclusion exclusion) *Target {
	blind := p.mute || len(r.live) == 0 && now.Sub(r.arrived) > blindAfter && p.probes == 0
	lacking := p.lacksPlaces(now, exclusion)
	near := now.Before(r.farFrom()) && p.hasNear(now, exclusion)
	var best *Target
	bestCost := 0.0
	for _, t := range p.list {
		if !exclusion.allows(now, t) || r.hasTried(t) || !t.free(now) {
			continue
		}
		if near && t.Zone != p.zone {
			continue
		}
		if !t.fresh(now) && !blind {
			continue
		}
		if t.mute && t.own() >= t.places && !lacking {
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

func (p *Pool) send(now time.Time, r *Request, t *Target) {
	if t.ends() {
		invariant.Breached(invariant.LeavingGetsNothing, "request sent to %s", t.ID)
	}
	if !r.Idempotent && (r.mayHaveRun || len(r.live) > 0) {
		invariant.Breached(invariant.DispatchedOnce, "request sent to %s", t.ID)
	}
	slowness := t.Slowness(now)
	a := &Attempt{Request: r, Target: t, Slowness: slowness, sentAt: now, doneAt: now, speed: slowness}
	r.waiting = false
	r.tried = append(r.tried, t)
	r.live = append(r.live, a)
	t.running = append(t.running, a)
	p.rate.sent(now)
	p.watch(now, a)
	p.act(Action{Kind: Send, Request: r, Attempt: a})
}

// ask probes targets that waiting requests may go to.
func (p *Pool) ask(now time.Time, exclusion exclusion) {
	if p.mute {
		return
	}
	wanted := min(probesPerRequest*len(p.queue), maxProbes) - p.probes
	if wanted <= 0 {
		return
	}
	candidates := p.candidates(now, exclusion)
	for _, t := range candidates[:min(wanted, len(candidates))] {
		p.startProbe(now, t)
	}
}

// startProbe asks a target, unless the budget of probes is used up.
func (p *Pool) startProbe(now time.Time, t *Target) {
	if p.limiter != nil && !p.limiter.AllowN(now, 1) {
		return
	}
	t.probing = true
	t.probedAt = now
	p.probes++
	p.act(Action{Kind: Probe, Target: t})
}

const (
	// probeBurst is how much of the budget of probes can be saved up, probeStart how
	// much of it there is at the start.
	probeBurst = 25 * time.Second
	probeStart = 5 * time.Second
)

// SetProbeRate bounds the probes of this daemon: so many a second and target on
// average. 0 is no bound.
func (p *Pool) SetProbeRate(now time.Time, perTarget float64) {
	p.probeRate = perTarget
	p.limitProbes(now)
}

// limitProbes brings the bound in line with the number of targets.
func (p *Pool) limitProbes(now time.Time) {
	limit := p.probeRate * float64(len(p.list))
	if limit <= 0 {
		p.limiter = nil
		return
	}
	burst := max(int(limit*probeBurst.Seconds()), maxProbes)
	if p.limiter == nil {
		p.limiter = xrate.NewLimiter(xrate.Limit(limit), burst)
		p.limiter.AllowN(now, burst-max(int(limit*probeStart.Seconds()), maxProbes))
		return
	}
	p.limiter.SetLimitAt(now, xrate.Limit(limit))
	p.limiter.SetBurstAt(now, burst)
}

// candidates returns the targets that are worth asking, the best first.
func (p *Pool) candidates(now time.Time, exclusion exclusion) []*Target {
	near := !p.mayGoFar(now) && p.hasNear(now, exclusion)
	var candidates []*Target
	for _, t := range p.list {
		if t.Zone != p.zone && near {
			continue
		}
		if exclusion.allows(now, t) && !t.probing && !t.fresh(now) && t.own() < t.limit() && now.Sub(t.probedAt) >= p.gap(now, t) {
			candidates = append(candidates, t)
		}
	}
	p.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	slices.SortStableFunc(candidates, func(a, b *Target) int { return p.askOrder(now, a) - p.askOrder(now, b) })
	return candidates
}

// gap is the least time between two probes of a target.
func (p *Pool) gap(now time.Time, t *Target) time.Duration {
	switch {
	case t.free(now):
		return freeGap
	case t.Zone == p.zone:
		return fullGap
	}
	return farGap
}

// askOrder ranks targets to ask: those of the own zone with room first.
func (p *Pool) askOrder(now time.Time, t *Target) int {
	order := min(t.Load(now), maxLoadRank)
	if !t.free(now) {
		order += 2 * maxLoadRank
	}
	if t.Zone != p.zone {
		order += maxLoadRank
	}
	if now.Before(t.coldUntil) {
		order += maxLoadRank
	}
	return order
}

// maxLoadRank bounds the part of a target's load in the order of asking.
const maxLoadRank = 16
