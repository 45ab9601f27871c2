package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// poolSize is the maximum number of probes in the pool.
	poolSize = 16
	// probeUses is the number of picks that one probe may serve.
	probeUses = 2
	// probeAge is how long a probe stays in the pool.
	probeAge = 100 * time.Millisecond
	// hotQuantile is the quantile of the pooled loads above which a target is hot.
	hotQuantile = 0.75
)

// Probe is a target's response to a probe request of this daemon.
type Probe struct {
	// InFlight is the number of requests at the target.
	InFlight int
	// Latency is the recent latency that the target reports.
	Latency time.Duration
}

// pooledProbe is a probe in the pool.
type pooledProbe struct {
	target *Target
	probe  Probe
	// at is when the probe was added.
	at time.Time
	// uses is the number of picks that the probe has served.
	uses int
	// started is the number of attempts that the policy has sent to the target
	// since the probe.
	started int
}

// PooledProbes picks from a pool of recent probes, each used at most probeUses
// times. Among targets that are not hot it picks the one with the lowest latency;
// if all are hot, the one with the lowest load. Without probes of a candidate it
// picks like LeastInFlight.
type PooledProbes struct{ pool []pooledProbe }

// Probed implements Prober. If the pool is full, it evicts the oldest probe.
func (p *PooledProbes) Probed(now time.Time, target *Target, probe Probe) {
	if len(p.pool) == poolSize {
		p.pool = slices.Delete(p.pool, 0, 1)
	}
	p.pool = append(p.pool, pooledProbe{target: target, probe: probe, at: now})
}

// Pick implements Policy.
func (p *PooledProbes) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	p.pool = slices.DeleteFunc(p.pool, func(e pooledProbe) bool { return now.Sub(e.at) > probeAge })
	best := p.best(candidates)
	if best < 0 {
		return LeastInFlight{}.Pick(now, rng, candidates)
	}
	return p.use(best)
}

// best returns the index of the best probe of any candidate, or -1 if there is
// none.
func (p *PooledProbes) best(candidates []*Target) int {
	hot := p.hotLimit()
	best := -1
	for i, entry := range p.pool {
		if !slices.Contains(candidates, entry.target) {
			continue
		}
		if best < 0 || entry.betterThan(p.pool[best], hot) {
			best = i
		}
	}
	return best
}

// hotLimit returns the load above which a target is hot.
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

// load returns the probed load plus the attempts started since the probe, but at
// least this daemon's attempts in flight.
func (e pooledProbe) load() int { return max(e.probe.InFlight+e.started, e.target.InFlight) }

// betterThan ranks targets that are not hot first, then by latency, and hot ones
// by load.
func (e pooledProbe) betterThan(other pooledProbe, hot int) bool {
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

// use consumes one use of the probe at index i, counts the new attempt in all
// probes of its target and returns the target.
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
