// Package backoff computes pauses between retries: exponential, jittered and
// bounded.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses of one retried operation. It is not safe for
// concurrent use.
type Backoff struct {
	// Base is the first pause before jitter.
	Base time.Duration
	// Max bounds the pauses.
	Max      time.Duration
	failures int
}

// Next counts a failure and returns the pause before the next try: between half
// and all of Base doubled for each earlier failure.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	limit := b.Base
	for i := 0; i < b.failures && limit < b.Max; i++ {
		limit *= 2
	}
	b.failures++
	limit = min(limit, b.Max)
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Reset forgets the failures after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the failures since the last success.
func (b *Backoff) Failures() int { return b.failures }

// Jitter returns a duration between three and five quarters of d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d/2)+1))
}
