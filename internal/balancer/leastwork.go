package balancer

import (
	"math/rand/v2"
	"time"
)

// priorAnswers is the number of answers at the usual speed that every target is
// credited with, so that few answers say little.
const priorAnswers = 4.0

// LeastWork picks the candidate with the least expected work: this daemon's
// attempts in flight times the target's slowness. The slowness is the mean time of its recent answers, attempts that
// still run included, against that of all candidates.
type LeastWork struct{}

// Pick implements Policy.
func (LeastWork) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	typical := typicalTime(now, candidates)
	return least(rng, candidates, func(t *Target) float64 {
		return (inFlight(t) + 1) * t.slowness(now, typical)
	})
}

// typicalTime is the mean time of an attempt over the candidates, 0 if none is
// known.
func typicalTime(now time.Time, candidates []*Target) time.Duration {
	var answers float64
	var spent time.Duration
	for _, candidate := range candidates {
		n, d := candidate.recent(now)
		answers += n
		spent += d
	}
	if answers < 1 {
		return 0
	}
	return time.Duration(float64(spent) / answers)
}

// slowness is the target's time of an attempt in units of the typical one: the
// estimate of an exponential mean from answers and unfinished attempts.
func (t *Target) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 {
		return 1
	}
	answers, spent := t.recent(now)
	return (float64(spent)/float64(typical) + priorAnswers) / (answers + priorAnswers)
}
