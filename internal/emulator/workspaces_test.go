package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// busyWorkspace is a service at which one of ten workspaces sends 21 times its usual load for 5 s, so
// that the targets would have to bear three times their usual load.
func busyWorkspace(fair bool) Scenario {
	scenario := Scenarios()[0]
	scenario.Name = "busy-workspace"
	scenario.Workspaces, scenario.FairSharing = 10, fair
	scenario.Rate, scenario.BurstFactor = 50, 3
	return scenario
}

// workspaceShares returns the mean in-time shares of the busy workspace and of the others during the burst, and
// the number of all callers answered in time.
func workspaceShares(scenario Scenario) (busy, others float64, inTime int) {
	for seed := range uint64(runs) {
		result := Simulate(scenario, Placement, seed+1)
		var rest Window
		for _, window := range result.Workspaces[1:] {
			rest.Callers += window.Callers
			rest.InTime += window.InTime
		}
		busy += result.Workspaces[0].InTimeShare() / runs
		others += rest.InTimeShare() / runs
		inTime += result.Total().InTime
	}
	return busy, others, inTime
}

// A workspace that sends many times its usual load must not starve the others, which send less than
// their share. The targets do no less work for that.
func TestBusyWorkspaceDoesNotStarveOthers(t *testing.T) {
	_, before, inTimeBefore := workspaceShares(busyWorkspace(false))
	busy, others, inTime := workspaceShares(busyWorkspace(true))
	t.Logf("others in time: %.3f, with fair sharing %.3f; busy: %.3f; all: %d, %d", before, others, busy, inTimeBefore, inTime)
	require.Greater(t, others, before+0.2)
	require.Greater(t, others, busy)
	require.Greater(t, busy, 0.1)
	require.Greater(t, inTime, inTimeBefore*97/100)
}
