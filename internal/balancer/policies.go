package balancer

import (
	"math/rand/v2"
	"time"
)

// Random picks a candidate uniformly at random.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return candidates[rng.IntN(len(candidates))]
}

// RoundRobin cycles through the candidates.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, _ *rand.Rand, candidates []*Target) *Target {
	p.next = (p.next + 1) % len(candidates)
	return candidates[p.next]
}

// LeastInFlight picks the candidate with the fewest attempts of this daemon in
// flight. Ties are broken at random.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return lowestScore(rng, candidates, inFlight)
}

// LeastReports picks the candidate with the lowest estimated load, from this
// daemon's attempts in flight and the load reports on responses (Target.Load).
type LeastReports struct{}

// Pick implements Policy.
func (LeastReports) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return lowestScore(rng, candidates, func(t *Target) float64 { return t.Load(now) })
}

// TwoChoices picks the one of two random candidates that has fewer attempts of
// this daemon in flight (power of two choices).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return betterOfTwo(rng, candidates, inFlight)
}

// TwoChoicesReports picks the one of two random candidates that has the lower
// estimated load (Target.Load).
type TwoChoicesReports struct{}

// Pick implements Policy.
func (TwoChoicesReports) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return betterOfTwo(rng, candidates, func(t *Target) float64 { return t.Load(now) })
}

// inFlight scores a target by the attempts of this daemon in flight.
func inFlight(t *Target) float64 { return float64(t.InFlight) }

// lowestScore returns the candidate with the lowest score. Ties are broken at
// random.
func lowestScore(rng *rand.Rand, candidates []*Target, score func(*Target) float64) *Target {
	best := candidates[0]
	lowest := score(best)
	ties := 1
	for _, candidate := range candidates[1:] {
		current := score(candidate)
		switch {
		case current < lowest:
			best, lowest, ties = candidate, current, 1
		case current == lowest:
			ties++
			if rng.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// betterOfTwo picks two different candidates at random and returns the one with the
// lower score.
func betterOfTwo(rng *rand.Rand, candidates []*Target, score func(*Target) float64) *Target {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := rng.IntN(len(candidates))
	j := rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if score(candidates[j]) < score(candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}
