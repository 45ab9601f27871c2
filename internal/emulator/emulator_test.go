package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSimulationIsDeterministic(t *testing.T) {
	scenario := Scenarios()[1]
	for _, policy := range Policies() {
		first, second := Simulate(scenario, policy, 3), Simulate(scenario, policy, 3)
		require.Equal(t, first.Windows, second.Windows, policy)
		require.Equal(t, first.Probes, second.Probes, policy)
	}
}

// runs is the number of simulation runs over which results are averaged.
const runs = 4

// meanShares returns averages over several runs: the share of callers answered in time,
// that share in the two worst windows, and the share of callers answered at all.
func meanShares(scenario Scenario, policy Policy) (inTime, worst, served float64) {
	for seed := range uint64(runs) {
		result := Simulate(scenario, policy, seed+1)
		total := result.Total()
		inTime += total.InTimeShare() / runs
		worst += result.WorstWindowsShare() / runs
		served += float64(total.Answered) / float64(total.Callers) / runs
	}
	return inTime, worst, served
}

// Checks the purpose of placement: in each scenario it answers clearly more callers in
// time than a random choice, and at least as many as a policy that knows the state of
// all targets but does not queue requests.
func TestPlacementServesCallersInTime(t *testing.T) {
	for _, scenario := range Scenarios() {
		random, _, _ := meanShares(scenario, Random)
		placed, worst, served := meanShares(scenario, Placement)
		oracle, oracleWorst, _ := meanShares(scenario, Oracle)
		require.Greater(t, placed, random+0.1, scenario.Name)
		require.GreaterOrEqual(t, placed, oracle, scenario.Name)
		require.GreaterOrEqual(t, worst, oracleWorst, scenario.Name)
		require.GreaterOrEqual(t, served, 0.98, scenario.Name)
	}
}

// At three times the rate that the targets can sustain, placement must refuse the
// excess and still answer the rest in time.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	scenario := Scenarios()[1]
	scenario.Rate, scenario.BurstFactor = 3*100, 1
	placed, oracle := Simulate(scenario, Placement, 1).Total(), Simulate(scenario, Oracle, 1).Total()
	require.Greater(t, placed.InTime, 3*oracle.InTime/2)
}

// Without load reports, placement must still be better than a random choice, most of
// all in the worst windows.
func TestPlacementWithoutLoadReportsServesCallersInTime(t *testing.T) {
	for _, scenario := range NonReportingScenarios() {
		random, randomWorst, _ := meanShares(scenario, Random)
		placed, worst, served := meanShares(scenario, Placement)
		require.Greater(t, placed, random+0.05, scenario.Name)
		require.Greater(t, worst, randomWorst+0.1, scenario.Name)
		require.GreaterOrEqual(t, served, 0.97, scenario.Name)
	}
}
