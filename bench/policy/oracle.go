package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// policyOracle names the policy that knows the true load of every target.
const policyOracle = "oracle"

// oracle picks a target with the fewest requests in flight at this instant,
// ties broken at random.
type oracle struct{ targets *sync.Map }

// Pick implements balancer.Policy.
func (o oracle) Pick(_ time.Time, rng *rand.Rand, candidates []*balancer.Target) *balancer.Target {
	var best *balancer.Target
	var least, ties int
	for _, candidate := range candidates {
		load := o.load(candidate)
		switch {
		case best == nil || load < least:
			best, least, ties = candidate, load, 1
		case load == least:
			ties++
			if rng.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// load is the true number of requests at a target, those on their way from this
// daemon included.
func (o oracle) load(candidate *balancer.Target) int {
	target, ok := o.targets.Load(candidate.Name)
	if !ok {
		return candidate.InFlight
	}
	return max(target.(*targetd.Target).InFlight(), candidate.InFlight)
}
