package monotonic_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/monotonic"
	"github.com/poplarwheel/poplarwheel/internal/monotonic/monotonictest"
)

func TestElapsedDoesNotFollowTheTimeOfDay(t *testing.T) {
	set := time.Now()
	var instant monotonic.Instant
	instant.Set(set)
	for _, jump := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		now := monotonictest.Jump(set.Add(time.Second), jump)
		elapsed, ok := instant.Elapsed(now)
		require.True(t, ok)
		require.Equal(t, time.Second, elapsed, "jump of %v", jump)
	}
}

func TestUnsetInstantHasNoElapsedTime(t *testing.T) {
	var instant monotonic.Instant
	_, ok := instant.Elapsed(time.Now())
	require.False(t, ok)
	instant.Set(time.Now())
	instant.Clear()
	_, ok = instant.Elapsed(time.Now())
	require.False(t, ok)
}

// Guards against a clock that stands still or counts in another unit.
func TestSinceBootAdvancesWithTime(t *testing.T) {
	before, began := monotonic.SinceBoot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := monotonic.SinceBoot() - before
	require.GreaterOrEqual(t, passed, 20*time.Millisecond)
	require.LessOrEqual(t, passed, time.Since(began)+time.Millisecond)
}
