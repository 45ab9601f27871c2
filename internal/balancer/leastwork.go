package balancer

import (
	"math/rand/v2"
	"time"
)

// priorSamples is the number of attempts of typical duration that every target is
// credited with, so that a few responses change its estimate only a little.
const priorSamples = 4.0

// LeastWork picks the candidate with the least expected work: this daemon's
// attempts in flight, the new one included, times the target's slowness. Slowness
// is the mean duration of the target's recent attempts, unfinished ones included,
// relative to that of all candidates.
type LeastWork struct{}

// Pick implements Policy.
func (LeastWork) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	typical := typicalDuration(now, candidates)
	return lowestScore(rng, candidates, func(t *Target) float64 {
		return (inFlight(t) + 1) * t.slowness(now, typical)
	})
}

// typicalDuration returns the mean duration of an attempt over all candidates, or
// 0 if there are too few recent responses to tell.
func typicalDuration(now time.Time, candidates []*Target) time.Duration {
	var count float64
	var total time.Duration
	for _, candidate := range candidates {
		n, d := candidate.recentSamples(now)
		count += n
		total += d
	}
	if count < 1 {
		return 0
	}
	return time.Duration(float64(total) / count)
}

// slowness estimates the target's mean attempt duration as a multiple of the
// typical one. It treats durations as exponentially distributed: the estimate of
// the mean is the total time of finished and unfinished attempts per response.
func (t *Target) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 {
		return 1
	}
	count, total := t.recentSamples(now)
	return (float64(total)/float64(typical) + priorSamples) / (count + priorSamples)
}
