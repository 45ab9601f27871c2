package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// pollInterval is the interval at which tests check a condition.
const pollInterval = 5 * time.Millisecond

// stateOf returns the state of a target, or "" if there is no such target.
func stateOf(p *Proxy, name string) dispatch.TargetState {
	for _, state := range p.Targets() {
		if state.Name == name {
			return state.State
		}
	}
	return ""
}

func TestHealthCheckDetectsALeavingTargetWithoutCalls(t *testing.T) {
	leaving, leavingAddress := startFakeTarget(t, targetd.Options{Name: "leaving", Slots: 3, Seed: 1})
	_, activeAddress := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(leavingAddress, activeAddress))
	require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
	leaving.SetFaults(targetd.Faults{Leaving: true})
	require.Eventually(t, func() bool { return stateOf(p, "target-0") != dispatch.TargetIn }, callTimeout, pollInterval)
	before := leaving.Counts().Requests
	for range 50 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
	}
	require.Equal(t, before, leaving.Counts().Requests)
}

func TestTargetsReportedAsLeavingByPlatformOrPeersGetNoCalls(t *testing.T) {
	first, firstAddress := startFakeTarget(t, targetd.Options{Name: "first", Slots: 3, Seed: 1})
	second, secondAddress := startFakeTarget(t, targetd.Options{Name: "second", Slots: 3, Seed: 1})
	_, activeAddress := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(firstAddress, secondAddress, activeAddress))
	p.SetTargetsLeavingByPlatform([]string{"target-0"}, []string{"target-1", "target-2"})
	p.SetTargetsLeavingByPeer([]string{"target-1"})
	for range 50 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
	}
	require.Zero(t, first.Counts().Requests+second.Counts().Requests)
	p.SetTargetsLeavingByPlatform(nil, []string{"target-0"})
	require.Eventually(t, func() bool {
		post(t, entry, "read", nil)
		return first.Counts().Requests > 0
	}, callTimeout, pollInterval)
	require.Zero(t, second.Counts().Requests)
}

func TestDeadTargetIsEjected(t *testing.T) {
	dead, deadAddress := startFakeTarget(t, targetd.Options{Name: "dead", Slots: 3, Seed: 1})
	_, activeAddress := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(deadAddress, activeAddress))
	require.NoError(t, dead.Close())
	require.Eventually(t, func() bool {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
		return stateOf(p, "target-0") == dispatch.TargetEjected
	}, callTimeout, pollInterval)
}
