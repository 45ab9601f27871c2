// Package backoff computes delays between retries: exponential with jitter, up to a
// maximum.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the retry delays of one operation. It is not safe for concurrent use.
type Backoff struct {
	// Base is the first delay before jitter.
	Base time.Duration
	// Max is the longest delay.
	Max time.Duration
	// failures counts the failures since the last success.
	failures int
}

// Next records a failure and returns the delay before the next retry. It is random
// between half and all of a limit, which is Base doubled for each earlier failure but
// at most Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	limit := b.Base
	for i := 0; i < b.failures && limit < b.Max; i++ {
		limit *= 2
	}
	b.failures++
	limit = min(limit, b.Max)
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Reset records a success, so that the next delay starts from Base again.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of failures since the last success.
func (b *Backoff) Failures() int { return b.failures }

// Jitter returns a random duration between 3/4 and 5/4 of d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d/2)+1))
}
