package balancer

import (
	"math/rand/v2"
	"time"
)

// Random picks any candidate.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return candidates[rng.IntN(len(candidates))]
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, _ *rand.Rand, candidates []*Target) *Target {
	p.next = (p.next + 1) % len(candidates)
	return candidates[p.next]
}

// LeastInFlight picks a candidate with the fewest attempts of this daemon, ties
// broken at random.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	best := candidates[0]
	ties := 1
	for _, candidate := range candidates[1:] {
		switch {
		case candidate.InFlight < best.InFlight:
			best, ties = candidate, 1
		case candidate.InFlight == best.InFlight:
			ties++
			if rng.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// TwoChoices picks the better of two random candidates by this daemon's
// attempts in flight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	first := candidates[rng.IntN(len(candidates))]
	second := candidates[rng.IntN(len(candidates))]
	if second.InFlight < first.InFlight {
		return second
	}
	return first
}
