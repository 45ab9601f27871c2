// Package monotonic keeps points in time in atomic variables. Changes of the time of day don't
// affect the time that has passed since them.
package monotonic

import (
	"sync/atomic"
	"time"
)

// origin is the point in time from which instants are measured.
var origin = time.Now()

// Instant is a point in time of this process. The zero value is unset. It is safe for
// concurrent use.
type Instant struct {
	// sinceOrigin is in nanoseconds, 0 if the instant is unset.
	sinceOrigin atomic.Int64
}

// Set sets the instant to a time that was read from the clock of this process.
func (i *Instant) Set(at time.Time) { i.sinceOrigin.Store(int64(at.Sub(origin))) }

// Clear makes the instant unset.
func (i *Instant) Clear() { i.sinceOrigin.Store(0) }

// Elapsed returns the time from the instant to now. It returns false if the instant is unset.
func (i *Instant) Elapsed(now time.Time) (time.Duration, bool) {
	sinceOrigin := i.sinceOrigin.Load()
	if sinceOrigin == 0 {
		return 0, false
	}
	return now.Sub(origin) - time.Duration(sinceOrigin), true
}
