package backoff

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An operation must be tried again, but not beyond its time limit.
func TestRetrierStopsAtItsTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Second
		start := time.Now()
		retrier := NewRetrier(Backoff{Base: 50 * time.Millisecond, Max: 200 * time.Millisecond}, limit)
		pauses := 0
		for retrier.Pause() {
			pauses++
			require.LessOrEqual(t, time.Since(start), limit)
		}
		require.GreaterOrEqual(t, pauses, int(limit/(200*time.Millisecond)))
		require.GreaterOrEqual(t, time.Since(start), limit-200*time.Millisecond)
	})
}
