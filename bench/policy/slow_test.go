package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowedRowHasAllDurationsMultipliedAndTheRateDivided(t *testing.T) {
	for _, faults := range []faults{usual, lagging, drains} {
		r := chosen
		r.faults = faults
		slowed := r.slowed(4)
		require.Equal(t, 4*hedgeAfter, slowed.hedgeAfter)
		require.Equal(t, times{service: 4 * meanService, deadline: 4 * deadline, queueLimit: 4 * queueLimit, warmUp: 4 * warmUp, maxLag: 4 * maxLag}, slowed.times)
		require.Equal(t, 4*faults.noise.Every, slowed.faults.noise.Every)
		require.Equal(t, 4*faults.noise.For, slowed.faults.noise.For)
		require.Equal(t, 4*faults.reportLag, slowed.faults.reportLag)
		require.Equal(t, 4*faults.drainAfter, slowed.faults.drainAfter)
		for i, step := range faults.script {
			require.Equal(t, 4*step.length, slowed.faults.script[i].length)
		}
		some := size{name: "routes", targets: 10}
		require.InDelta(t, rate(some, r)/4, rate(some, slowed), 1e-9)
		require.Equal(t, 500*time.Millisecond, stragglers[0].length, "the row as it was stays")
	}
}
