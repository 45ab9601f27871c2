package placement

import (
	"slices"
	"time"

	xrate "golang.org/x/time/rate"
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
	// probeBurst is how much of the budget of probes can be saved up, probeStart how
	// much of it there is at the start.
	probeBurst = 25 * time.Second
	probeStart = 5 * time.Second
	// maxLoadRank bounds the part of a target's load in the order of asking.
	maxLoadRank = 16
)

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
