package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAPlayIsDeterministic(t *testing.T) {
	load := Loads()[1]
	for _, policy := range Policies() {
		first, second := Play(load, policy, 3), Play(load, policy, 3)
		require.Equal(t, first.Spans, second.Spans, policy)
		require.Equal(t, first.Probes, second.Probes, policy)
	}
}

// plays is the number of plays whose mean is judged.
const plays = 4

// mean is what callers get on average of several plays: the shares in time, of the two
// worst windows, and answered.
func mean(load Load, policy Policy) (inTime, worst, served float64) {
	for seed := range uint64(plays) {
		result := Play(load, policy, seed+1)
		total := result.Total()
		inTime += total.Share() / plays
		worst += result.Worst() / plays
		served += float64(total.Answered) / float64(total.Asked) / plays
	}
	return inTime, worst, served
}

// Callers get what the placement is for: on each load, more answers in time than by a
// random choice, and no fewer than by one that knows every target but can't wait.
func TestPlacementServesCallersInTime(t *testing.T) {
	for _, load := range Loads() {
		random, _, _ := mean(load, Random)
		placed, worst, served := mean(load, Placement)
		oracle, oracleWorst, _ := mean(load, Oracle)
		require.Greater(t, placed, random+0.1, load.Name)
		require.GreaterOrEqual(t, placed, oracle, load.Name)
		require.GreaterOrEqual(t, worst, oracleWorst, load.Name)
		require.GreaterOrEqual(t, served, 0.98, load.Name)
	}
}

// Three times what the targets can do: those that are served are served in time, and
// the rest is told so.
func TestOverloadKeepsGoodput(t *testing.T) {
	load := Loads()[1]
	load.Rate, load.BurstFactor = 3*100, 1
	placed, oracle := Play(load, Placement, 1).Total(), Play(load, Oracle, 1).Total()
	require.Greater(t, placed.InTime, 3*oracle.InTime/2)
}

// Targets that don't tell their load are still used better than at random, above all in
// the worst windows.
func TestPlacementServesCallersOfMuteTargets(t *testing.T) {
	for _, load := range MuteLoads() {
		random, randomWorst, _ := mean(load, Random)
		placed, worst, served := mean(load, Placement)
		require.Greater(t, placed, random+0.05, load.Name)
		require.Greater(t, worst, randomWorst+0.1, load.Name)
		require.GreaterOrEqual(t, served, 0.97, load.Name)
	}
}
