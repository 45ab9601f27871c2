package placement

import (
	"slices"
	"time"

	xrate "golang.org/x/time/rate"
)

const (
	// probesPerRequest is the number of targets to probe for each queued request.
	probesPerRequest = 3
	// maxProbes limits the probes in flight in one pool.
	maxProbes = 12
	// freeProbeInterval is the minimum time between probes of a target that seems to
	// have room.
	freeProbeInterval = 8 * time.Millisecond
	// fullProbeInterval is the minimum time between probes of a target in the local
	// zone that seems to be full.
	fullProbeInterval = 30 * time.Millisecond
	// remoteProbeInterval is the minimum time between probes of a full target in
	// another availability zone.
	remoteProbeInterval = 80 * time.Millisecond
	// The probe limiter is a token bucket that holds at most the probes of
	// probeBurstPeriod and starts with those of initialProbePeriod.
	probeBurstPeriod   = 25 * time.Second
	initialProbePeriod = 5 * time.Second
	// maxLoadRank caps the contribution of a target's load to its probe rank.
	maxLoadRank = 16
)

// probeCandidates probes targets to which queued requests may be sent.
func (p *Pool) probeCandidates(now time.Time, filter targetFilter) {
	if p.noReports {
		return
	}
	wanted := min(probesPerRequest*len(p.queue), maxProbes) - p.probes
	if wanted <= 0 {
		return
	}
	candidates := p.candidates(now, filter)
	for _, t := range candidates[:min(wanted, len(candidates))] {
		p.startProbe(now, t)
	}
}

// startProbe probes a target unless the probe limiter is exhausted.
func (p *Pool) startProbe(now time.Time, t *Target) {
	if p.probeLimiter != nil && p.lacksProbes(now) {
		return
	}
	p.emitProbe(now, t)
}

// emitProbe probes a target if the probe limiter allows it.
func (p *Pool) emitProbe(now time.Time, t *Target) {
	if p.probeLimiter != nil && !p.probeLimiter.AllowN(now, 1) {
		return
	}
	t.probing = true
	t.probedAt = now
	p.probes++
	p.emit(Action{Kind: Probe, Target: t})
}

// SetProbeRate limits the probes of this daemon to perTarget a second for each target,
// on average. 0 means no limit.
func (p *Pool) SetProbeRate(now time.Time, perTarget float64) {
	p.probeRate = perTarget
	p.updateProbeLimiter(now)
}

// updateProbeLimiter adapts the probe limiter to the number of targets.
func (p *Pool) updateProbeLimiter(now time.Time) {
	limit := p.probeRate * float64(len(p.list))
	if limit <= 0 {
		p.probeLimiter = nil
		return
	}
	burst := max(int(limit*probeBurstPeriod.Seconds()), maxProbes)
	if p.probeLimiter == nil {
		p.probeLimiter = xrate.NewLimiter(xrate.Limit(limit), burst)
		p.probeLimiter.AllowN(now, burst-max(int(limit*initialProbePeriod.Seconds()), maxProbes))
		return
	}
	p.probeLimiter.SetLimitAt(now, xrate.Limit(limit))
	p.probeLimiter.SetBurstAt(now, burst)
}

// candidates returns the targets worth probing, best first.
func (p *Pool) candidates(now time.Time, filter targetFilter) []*Target {
	localOnly := !p.anyMayCrossZones(now) && p.hasLocalTarget(now, filter)
	var candidates []*Target
	for _, t := range p.list {
		if t.Zone != p.zone && localOnly {
			continue
		}
		if filter.allows(now, t) && !t.probing && !t.hasFreshReport(now) && t.ownLoad() < t.requestLimit(now) && now.Sub(t.probedAt) >= p.probeInterval(now, t) {
			candidates = append(candidates, t)
		}
	}
	p.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	slices.SortStableFunc(candidates, func(a, b *Target) int { return p.probeRank(now, a) - p.probeRank(now, b) })
	return candidates
}

// probeInterval returns the minimum time between two probes of a target.
func (p *Pool) probeInterval(now time.Time, t *Target) time.Duration {
	switch {
	case t.hasRoom(now):
		return freeProbeInterval
	case t.Zone == p.zone:
		return fullProbeInterval
	}
	return remoteProbeInterval
}

// probeRank returns the rank of a target in the order of probing, lowest first: targets
// with room come before full ones, and among these, those of the local zone first.
func (p *Pool) probeRank(now time.Time, t *Target) int {
	order := min(t.Load(now), maxLoadRank)
	if !t.hasRoom(now) {
		order += 2 * maxLoadRank
	}
	if t.Zone != p.zone {
		order += maxLoadRank
	}
	if t.isStarting(now) {
		order += maxLoadRank
	}
	return order
}
