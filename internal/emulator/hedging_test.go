package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	hedgeRatio = 0.05
	// hedgingRuns is the number of simulation runs in which response times are compared,
	// limitRuns that in which only the limit is checked.
	hedgingRuns, limitRuns = 16, 3
	// noise is the allowed relative difference of means over hedgingRuns simulation runs.
	noise = 0.05
	// fewerServed is the allowed difference of shares of callers.
	fewerServed = 0.005
)

// latencies holds means over simulation runs: response times in seconds and shares of
// callers.
type latencies struct {
	p50, p99, p999, inTime, served float64
}

// measure simulates a scenario with a hedge ratio and checks in each run that the extra
// attempts stay within it.
func measure(t *testing.T, scenario Scenario, ratio float64, runs int) latencies {
	t.Helper()
	scenario.HedgeRatio = ratio
	var mean latencies
	weight := 1 / float64(runs)
	for seed := range uint64(runs) {
		result := Simulate(scenario, Placement, seed+101)
		total := result.Total()
		if ratio > 0 {
			require.LessOrEqual(t, float64(result.Hedges), ratio*float64(total.Callers), "seed %d", seed)
		}
		mean.p50 += weight * result.Quantile(0.5).Seconds()
		mean.p99 += weight * result.Quantile(0.99).Seconds()
		mean.p999 += weight * result.Quantile(0.999).Seconds()
		mean.inTime += weight * total.InTimeShare()
		mean.served += weight * float64(total.Answered) / float64(total.Callers)
	}
	t.Logf("%s, no reports %v, hedge ratio %.2f: %+v", scenario.Name, scenario.NoReports, ratio, mean)
	return mean
}

// requireNotWorse guards against hedges that take room from first attempts.
func requireNotWorse(t *testing.T, off, on latencies) {
	t.Helper()
	require.LessOrEqual(t, on.p50, (1+noise)*off.p50, "p50")
	require.LessOrEqual(t, on.p99, (1+noise)*off.p99, "p99")
	require.GreaterOrEqual(t, on.inTime, off.inTime-fewerServed, "in time")
	require.GreaterOrEqual(t, on.served, off.served-fewerServed, "served")
}

// Guards against hedges that take room from first attempts when the targets are nearly or fully used.
func TestHedgingDoesNotHurtBusyTargets(t *testing.T) {
	for _, scenario := range HedgingScenarios()[2:] {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			requireNotWorse(t, measure(t, scenario, 0, hedgingRuns), measure(t, scenario, hedgeRatio, hedgingRuns))
		})
	}
}

// Guards against hedges that come too late, or are spent on requests that aren't slow, when 3 % of the
// responses take seven times as long.
func TestHedgingOvertakesSlowResponses(t *testing.T) {
	t.Parallel()
	stragglers := HedgingScenarios()[0]
	off, on := measure(t, stragglers, 0, hedgingRuns), measure(t, stragglers, hedgeRatio, hedgingRuns)
	requireNotWorse(t, off, on)
	require.Less(t, on.p99, 0.6*off.p99)
	require.Less(t, on.p999, 0.9*off.p999)
}

// Guards against hedges that stay at targets which have turned slow for some hundred milliseconds.
func TestHedgingOvertakesSlowTargets(t *testing.T) {
	t.Parallel()
	slowTargets := HedgingScenarios()[1]
	off, on := measure(t, slowTargets, 0, hedgingRuns), measure(t, slowTargets, hedgeRatio, hedgingRuns)
	requireNotWorse(t, off, on)
	require.Less(t, on.p99, 0.95*off.p99)
	require.Less(t, on.p999, 0.95*off.p999)
}

// Targets that don't report their load are hedged more often without a limit than the limit
// allows here, so this checks only the limit and the callers that are served.
func TestHedgingStaysWithinItsLimitWithoutLoadReports(t *testing.T) {
	for _, scenario := range HedgingScenarios() {
		scenario.NoReports = true
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			off, on := measure(t, scenario, 0, limitRuns), measure(t, scenario, hedgeRatio, limitRuns)
			require.GreaterOrEqual(t, on.served, off.served-4*fewerServed)
		})
	}
}
