package backoff

import (
	"math/rand/v2"
	"time"
)

// Retrier pauses between the tries of one operation until its time is used up. It is not safe
// for concurrent use.
type Retrier struct {
	backoff  Backoff
	deadline time.Time
	rng      *rand.Rand
}

// NewRetrier returns a retrier for an operation that starts now and takes at most limit. The
// delays are those of backoff.
func NewRetrier(backoff Backoff, limit time.Duration) *Retrier {
	return &Retrier{
		backoff:  backoff,
		deadline: time.Now().Add(limit),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Pause waits before the next try. It returns false at once if no time would be left after it.
func (r *Retrier) Pause() bool {
	delay := r.backoff.Next(r.rng)
	if time.Now().Add(delay).After(r.deadline) {
		return false
	}
	time.Sleep(delay)
	return true
}
