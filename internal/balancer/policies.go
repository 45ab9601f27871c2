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
	return least(rng, candidates, inFlight)
}

// LeastReports picks a candidate with the least load, by this daemon's attempts
// and the reports on answers.
type LeastReports struct{}

// Pick implements Policy.
func (LeastReports) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return least(rng, candidates, func(t *Target) float64 { return t.Load(now) })
}

// TwoChoices picks the better of two random candidates by this daemon's
// attempts in flight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return better(rng, candidates, inFlight)
}

// TwoReports picks the better of two random candidates by this daemon's attempts
// and the reports on answers.
type TwoReports struct{}

// Pick implements Policy.
func (TwoReports) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return better(rng, candidates, func(t *Target) float64 { return t.Load(now) })
}

func inFlight(t *Target) float64 { return float64(t.InFlight) }

// least returns a candidate with the lowest score, ties broken at random.
func least(rng *rand.Rand, candidates []*Target, score func(*Target) float64) *Target {
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

// better returns the lower score of two different random candidates.
func better(rng *rand.Rand, candidates []*Target, score func(*Target) float64) *Target {
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
