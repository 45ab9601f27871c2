package balancer

import (
	"math/rand/v2"
	"time"
)

// FreeSlot holds calls at the entry daemon until a slot is believed free, and
// ranks as LeastWork does.
type FreeSlot struct{ LeastWork }

// Pick implements Policy. Candidates with a free slot come first.
func (p FreeSlot) Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target {
	return p.LeastWork.Pick(now, rng, candidates)
}

// Free implements Gate.
func (FreeSlot) Free(now time.Time, target *Target) bool {
	return target.Load(now) < float64(target.Slots)
}
