package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// poolSize bounds the probes that are kept.
	poolSize = 16
	// probeUses is how often one probe may be used.
	probeUses = 2
	// probeAge is how long a probe is kept.
	probeAge = 100 * time.Millisecond
	// hotQuantile is the quantile of load above which a target counts as hot.
	hotQuantile = 0.75
)

// Probe is a load report that the daemon asked for.
type Probe struct {
	// InFlight is the number of requests at the target.
	InFlight int
	// Latency is the target's recent latency.
	Latency time.Duration
}

type pooled struct {
	target  *Target
	probe   Probe
	at      time.Time
	uses    int
	started int
}

// PooledProbes picks by a pool of recent probes, each used at most probeUses
// times: among targets that are not hot the one with the least latency, else the
// one with the fewest requests in flight. Without probes it picks as
// LeastInFlight.
type PooledProbes struct{ pool []pooled }

// Probed implements Prober. The oldest probe makes room.
func (p *PooledProbes) Probed(now time.Time, target *Target, probe Probe) {
	if len(p.pool) == poolSize {
		p.pool = slices.Delete(p.pool, 0, 1)
	}
	p.pool = append(p.pool, pooled{target: target, probe: probe, at: now})
}

// Pick implements Policy.
func (p *PooledProbes) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	p.pool = slices.DeleteFunc(p.pool, func(e pooled) bool { return now.Sub(e.at) > probeAge })
	best := p.best(candidates)
	if best < 0 {
		return LeastInFlight{}.Pick(now, rng, candidates)
	}
	return p.use(best)
}

// best returns the index of the best probe of a candidate, or -1.
func (p *PooledProbes) best(candidates []*Target) int {
	hot := p.hotLimit()
	best := -1
	for i, entry := range p.pool {
		if !slices.Contains(candidates, entry.target) {
			continue
		}
		if best < 0 || entry.better(p.pool[best], hot) {
			best = i
		}
	}
	return best
}

// hotLimit is the load above which a target is hot.
func (p *PooledProbes) hotLimit() int {
	if len(p.pool) == 0 {
		return 0
	}
	loads := make([]int, len(p.pool))
	for i, entry := range p.pool {
		loads[i] = entry.load()
	}
	slices.Sort(loads)
	return loads[int(hotQuantile*float64(len(loads)-1))]
}

// load is the probed load and what this daemon has added since, at least its
// own attempts.
func (e pooled) load() int { return max(e.probe.InFlight+e.started, e.target.InFlight) }

func (e pooled) better(other pooled, hot int) bool {
	cold, otherCold := e.load() <= hot, other.load() <= hot
	switch {
	case cold != otherCold:
		return cold
	case cold && e.probe.Latency != other.probe.Latency:
		return e.probe.Latency < other.probe.Latency
	default:
		return e.load() < other.load()
	}
}

// use spends one use of a probe and counts the attempt in all probes of its
// target.
func (p *PooledProbes) use(i int) *Target {
	target := p.pool[i].target
	p.pool[i].uses++
	for j := range p.pool {
		if p.pool[j].target == target {
			p.pool[j].started++
		}
	}
	if p.pool[i].uses >= probeUses {
		p.pool = slices.Delete(p.pool, i, i+1)
	}
	return target
}
